package peer_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/router/adapter/peer"
	"gooseberrypin.example/router/port"
)

type (
	// source returns the same update for each watch and the same part for each hash. It records the view of the last
	// watch.
	source struct {
		lastView port.View
		update   port.Update
		part     []byte
	}

	server struct {
		*peer.Publisher
		fleetv1.Peers
	}
)

func (s *source) Watch(_ context.Context, view port.View, _ time.Duration) port.Update {
	s.lastView = view
	return s.update
}

func (s *source) Part(string) []byte {
	return s.part
}

func (s server) Watch(ctx context.Context, r *fleetv1.WatchRequest) (*fleetv1.WatchResponse, error) {
	return s.Publisher.Watch(ctx, r)
}

func (s server) Part(ctx context.Context, r *fleetv1.PartRequest) (*fleetv1.PartResponse, error) {
	return s.Publisher.Part(ctx, r)
}

func TestWatchAndPart(t *testing.T) {
	cases := map[string]struct {
		update port.Update
		part   []byte
		fails  bool
	}{
		"no newer state": {update: port.Update{View: port.View{Revision: 3, Digest: "d", VMsVersion: 2}}},
		"new manifest and VM list": {
			update: port.Update{View: port.View{Revision: 4}, Manifest: []byte(`{"revision":4}`), VMs: []byte(`{"version":9}`)},
			part:   bytes.Repeat([]byte(`{"name":"quilt"}`), 50_000),
		},
		"content above the limit": {update: port.Update{Manifest: make([]byte, 5<<20)}, fails: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &source{update: c.update, part: c.part}
			httpServer := httptest.NewServer(fleetv1.NewPeersServer(server{Publisher: peer.NewPublisher(s)}))
			defer httpServer.Close()
			address := strings.TrimPrefix(httpServer.URL, "http://")
			client := peer.NewClient(httpServer.Client())
			view := port.View{Revision: 3, Digest: "c", VMsVersion: 8}

			got, err := client.Watch(context.Background(), address, view, time.Millisecond)
			is.Equal(err != nil, c.fails)
			if c.fails {
				return
			}
			is.Equal(got, c.update)
			is.Equal(s.lastView, view)
			part, err := client.Part(context.Background(), address, "x")
			is.NoErr(err)
			is.True(bytes.Equal(part, c.part))
		})
	}
}
