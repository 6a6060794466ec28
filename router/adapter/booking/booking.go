// Package booking asks the sidecars of other plain services over twirp.
package booking

import (
	"context"
	"errors"
	"net/http"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"

	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/router/adapter/fleet"
	"gooseberrypin.example/router/booking"
	"gooseberrypin.example/router/port"
)

type (
	// Client implements port.Bookings.
	Client struct {
		client *http.Client
	}
)

// NewClient returns a client over the fleet's HTTP client.
func NewClient(client *http.Client) *Client {
	return &Client{client: client}
}

// Acknowledge implements port.Bookings.
func (c *Client) Acknowledge(ctx context.Context, from string, q booking.Question) port.AcknowledgeOutcome {
	answer, err := c.bookings(q.Member).Acknowledge(ctx, &fleetv1.AcknowledgeRequest{Revision: q.Revision, From: from})
	if err != nil {
		return failed(err)
	}
	return port.Acknowledged{Acknowledgement: booking.Acknowledgement{
		Revision: answer.GetRevision(),
		Running:  int(answer.GetRunning()),
	}}
}

// HandOver implements port.Bookings.
func (c *Client) HandOver(ctx context.Context, to booking.Member, o booking.HandOver) (int, error) {
	answer, err := c.bookings(to).HandOver(ctx, FromHandOver(o))
	if err != nil {
		return 0, eris.Wrapf(err, "hand over to %s", to.Upstream)
	}
	return int(answer.GetAccepted()), nil
}

func (c *Client) bookings(m booking.Member) fleetv1.Bookings {
	return fleetv1.NewBookingsProtobufClient(fleet.URL(m.Address), c.client)
}

func failed(err error) port.AcknowledgeOutcome {
	var t twirp.Error
	if errors.As(err, &t) && t.Code() == twirp.BadRoute {
		return port.AcknowledgeUnsupported{}
	}
	return port.AcknowledgeFailed{Err: eris.Wrap(err, "acknowledge")}
}
