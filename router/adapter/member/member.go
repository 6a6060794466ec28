// Package member implements the membership exchange between entries over twirp.
package member

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/router/adapter/fleet"
	"gooseberrypin.example/router/adapter/wire"
	"gooseberrypin.example/router/membership"
)

const (
	// maxResponseBytes bounds the response of an entry, whose usual size is about 7 KB. A stale address may belong to
	// an unrelated server by now.
	maxResponseBytes = 64 << 10
)

type (
	// Client implements membership.Peers over HTTP.
	Client struct {
		client *http.Client
	}

	// boundedTransport limits the body of each response: reading more than maxResponseBytes returns an error.
	boundedTransport struct {
		http.RoundTripper
	}

	// Server implements the service Members for a group.
	Server struct {
		group *membership.Group
	}
)

// NewClient returns a client that calls entries by their fleet address, as IP:port. It limits the size of their
// responses.
func NewClient(client *http.Client) *Client {
	bounded := *client
	if bounded.Transport == nil {
		bounded.Transport = http.DefaultTransport
	}
	bounded.Transport = boundedTransport{bounded.Transport}
	return &Client{client: &bounded}
}

// RoundTrip implements http.RoundTripper.
func (b boundedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := b.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	response.Body = http.MaxBytesReader(nil, response.Body, maxResponseBytes)
	return response, nil
}

// NewHandler returns the HTTP handler of the service Members for a group.
func NewHandler(group *membership.Group) fleetv1.TwirpServer {
	return fleetv1.NewMembersServer(&Server{group: group})
}

// Exchange implements membership.Peers. It returns an error when the entry can't be reached or its response is invalid
// or too large.
func (c *Client) Exchange(ctx context.Context, address string, update membership.Update) (membership.Update, error) {
	members := fleetv1.NewMembersProtobufClient(fleet.URL(address), c.client)
	response, err := members.Meet(ctx, &fleetv1.MeetRequest{News: toMessage(update)})
	if err != nil {
		return membership.Update{}, eris.Wrapf(err, "entry %s", address)
	}
	return fromMessage(response.GetNews()), nil
}

// Meet implements the service Members. It merges the update of the request and returns the update of this entry.
func (s *Server) Meet(_ context.Context, request *fleetv1.MeetRequest) (*fleetv1.MeetResponse, error) {
	return &fleetv1.MeetResponse{News: toMessage(s.group.Exchange(fromMessage(request.GetNews())))}, nil
}

func toMessage(update membership.Update) *fleetv1.News {
	m := &fleetv1.News{Members: toMessages(update.Members), Suspects: wire.FromSuspects(update.Suspects), Ejected: update.Ejected, Limits: toLimits(update.Limits)}
	appendReports(m, update.Reports, time.Now())
	appendSpeeds(m, update.Speeds, time.Now())
	return m
}

func fromMessage(m *fleetv1.News) membership.Update {
	now := time.Now()
	return membership.Update{
		Members: fromMessages(m.GetMembers()), Suspects: wire.ToSuspects(m.GetSuspects()), Ejected: m.GetEjected(),
		Limits: fromLimits(m.GetLimits()), Reports: reportsOf(m, now), Speeds: speedsOf(m, now),
	}
}

func toMessages(members []membership.Member) []*fleetv1.Member {
	messages := make([]*fleetv1.Member, 0, len(members))
	for _, m := range members {
		messages = append(messages, &fleetv1.Member{
			Address:     m.Address,
			Incarnation: m.Incarnation,
			Beat:        m.Heartbeat,
			SilentMs:    m.SinceHeartbeat.Milliseconds(),
			Left:        m.Left,
		})
	}
	return messages
}

// fromMessages returns the members of messages. It omits members without an address.
func fromMessages(messages []*fleetv1.Member) []membership.Member {
	members := make([]membership.Member, 0, len(messages))
	for _, m := range messages {
		if m.GetAddress() == "" {
			continue
		}
		members = append(members, membership.Member{
			Address:        m.GetAddress(),
			Incarnation:    m.GetIncarnation(),
			Heartbeat:      m.GetBeat(),
			SinceHeartbeat: max(0, wire.Milliseconds(m.GetSilentMs())),
			Left:           m.GetLeft(),
		})
	}
	return members
}
