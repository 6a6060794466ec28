// Package member carries exchanges between entries over twirp.
package member

import (
	"context"
	"net/http"

	"github.com/rotisserie/eris"

	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/router/adapter/fleet"
	"gooseberrypin.example/router/adapter/wire"
	"gooseberrypin.example/router/membership"
)

const (
	// maxAnswerBytes bounds the answer of an entry, which takes some 7 KB. A stale address may belong to
	// anybody by now.
	maxAnswerBytes = 64 << 10
)

type (
	// Client implements membership.Peers.
	Client struct {
		client *http.Client
	}

	// boundedTransport fails on the bodies of answers beyond maxAnswerBytes.
	boundedTransport struct {
		http.RoundTripper
	}

	// Server implements the service Members.
	Server struct {
		group *membership.Group
	}
)

// NewClient returns a client that calls entries by their address.
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
	a, err := b.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	a.Body = http.MaxBytesReader(nil, a.Body, maxAnswerBytes)
	return a, nil
}

// NewHandler returns the handler of the service Members.
func NewHandler(group *membership.Group) fleetv1.TwirpServer {
	return fleetv1.NewMembersServer(&Server{group: group})
}

// Exchange implements membership.Peers.
func (c *Client) Exchange(ctx context.Context, address string, news membership.Update) (membership.Update, error) {
	members := fleetv1.NewMembersProtobufClient(fleet.URL(address), c.client)
	response, err := members.Meet(ctx, &fleetv1.MeetRequest{News: toMessage(news)})
	if err != nil {
		return membership.Update{}, eris.Wrapf(err, "entry %s", address)
	}
	return fromMessage(response.GetNews()), nil
}

// Meet implements the service Members.
func (s *Server) Meet(_ context.Context, request *fleetv1.MeetRequest) (*fleetv1.MeetResponse, error) {
	return &fleetv1.MeetResponse{News: toMessage(s.group.Exchange(fromMessage(request.GetNews())))}, nil
}

func toMessage(news membership.Update) *fleetv1.News {
	return &fleetv1.News{Members: toMessages(news.Members), Suspects: wire.FromSuspects(news.Suspects), Ejected: news.Ejected}
}

func fromMessage(m *fleetv1.News) membership.Update {
	return membership.Update{Members: fromMessages(m.GetMembers()), Suspects: wire.ToSuspects(m.GetSuspects()), Ejected: m.GetEjected()}
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

// fromMessages leaves out members without an address.
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
