// Package peer distributes the published state between the system's own processes over twirp.
package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/router/adapter/fleet"
	"gooseberrypin.example/router/port"
)

type (
	// Source provides the published state that a process holds. subscription.Reader implements it.
	Source interface {
		// Watch returns once the process holds newer state than view, or after wait.
		Watch(ctx context.Context, view port.View, wait time.Duration) port.Update
		// Part returns the part with the given SHA-256 in hexadecimal, or nil when the process does not have it.
		Part(sha256 string) []byte
	}

	// Client implements port.Peers.
	Client struct {
		client *http.Client
	}

	// Publisher implements Watch and Part of the service Peers. It sends contents compressed by gzip. A process embeds
	// a Publisher and adds Heartbeat.
	Publisher struct {
		source     Source
		compressor compressor
	}
)

// NewClient returns a client that calls peers by their fleet address.
func NewClient(client *http.Client) *Client {
	return &Client{client: client}
}

// NewPublisher returns a publisher of the state that source holds.
func NewPublisher(source Source) *Publisher {
	return &Publisher{source: source}
}

// Watch implements port.Peers.
func (c *Client) Watch(ctx context.Context, address string, view port.View, wait time.Duration) (port.Update, error) {
	response, err := c.peers(address).Watch(ctx, &fleetv1.WatchRequest{View: FromView(view), WaitMs: wait.Milliseconds()})
	if err != nil {
		return port.Update{}, eris.Wrapf(err, "peer %s", address)
	}
	u := port.Update{View: ToView(response.GetView())}
	if u.Manifest, err = decompress(response.GetManifest()); err != nil {
		return port.Update{}, err
	}
	if u.VMs, err = decompress(response.GetVms()); err != nil {
		return port.Update{}, err
	}
	return u, nil
}

// Part implements port.Peers.
func (c *Client) Part(ctx context.Context, address, sha256 string) ([]byte, error) {
	response, err := c.peers(address).Part(ctx, &fleetv1.PartRequest{Sha256: sha256})
	if err != nil {
		return nil, eris.Wrapf(err, "peer %s", address)
	}
	return decompress(response.GetContent())
}

func (c *Client) peers(address string) fleetv1.Peers {
	return fleetv1.NewPeersProtobufClient(fleet.URL(address), c.client)
}

// Watch implements the service Peers.
func (p *Publisher) Watch(ctx context.Context, request *fleetv1.WatchRequest) (*fleetv1.WatchResponse, error) {
	wait := time.Duration(request.GetWaitMs()) * time.Millisecond
	u := p.source.Watch(ctx, ToView(request.GetView()), wait)
	return &fleetv1.WatchResponse{View: FromView(u.View), Manifest: p.compressor.compress(u.Manifest), Vms: p.compressor.compress(u.VMs)}, nil
}

// Part implements the service Peers.
func (p *Publisher) Part(_ context.Context, request *fleetv1.PartRequest) (*fleetv1.PartResponse, error) {
	return &fleetv1.PartResponse{Content: p.compressor.compress(p.source.Part(request.GetSha256()))}, nil
}

// FromView returns the message of a view.
func FromView(v port.View) *fleetv1.View {
	return &fleetv1.View{Revision: v.Revision, Digest: v.Digest, VmsVersion: v.VMsVersion}
}

// ToView returns the view of a message.
func ToView(m *fleetv1.View) port.View {
	return port.View{Revision: m.GetRevision(), Digest: m.GetDigest(), VMsVersion: m.GetVmsVersion()}
}
