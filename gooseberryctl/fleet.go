package gooseberryctl

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/router/access"
	"gooseberrypin.example/router/adapter/fleet"
	"gooseberrypin.example/router/adapter/operator"
	"gooseberrypin.example/router/adapter/platform"
	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/subscription"
	"gooseberrypin.example/router/vm"
)

const (
	// maxConcurrentQueries is the maximum number of processes that are queried concurrently.
	maxConcurrentQueries = 64
	queryTimeout         = 2 * time.Second
	// senderName is the sender's name in heartbeats. This sender holds no leases.
	senderName = "gooseberryctl"
)

type (
	// Source selects the processes to query: by their operators' addresses, or by the platform's VM list, which
	// requires the fleet key.
	Source struct {
		Addresses    []string `arg:"" optional:"" help:"Operators' IP:port of the processes. Default: all processes of the platform's VM list."`
		Platform     string   `help:"IP:port of the platform." env:"GOOSEBERRY_PLATFORM"`
		FleetKeyFile string   `type:"existingfile" help:"File with the fleet key."`
		FleetKey     string   `hidden:"" env:"GOOSEBERRY_FLEET_KEY"`
	}

	// Process is the state of one process, as far as it could be queried.
	Process struct {
		Name       string `json:"name"`
		Kind       string `json:"kind"`
		DataCentre string `json:"data_centre"`
		Address    string `json:"address"`
		Revision   int64  `json:"revision"`
		Digest     string `json:"digest"`
		// AgeMS is the time in milliseconds since the revision came into force. Zero: unknown.
		AgeMS    int64         `json:"age_ms,omitempty"`
		Load     *fleetv1.Load `json:"load,omitempty"`
		Draining bool          `json:"draining"`
		// RefusedRevision is a newer or conflicting revision that the process rejected. Zero: none.
		RefusedRevision int64 `json:"refused_revision,omitempty"`
		// Problem is the error of the query. Empty: the process answered.
		Problem string `json:"problem,omitempty"`
		State   string `json:"state"`
	}

	// stateDump is the part that the state dumps of all processes have in common.
	stateDump struct {
		Process       operator.Process   `json:"process"`
		Configuration subscription.State `json:"configuration"`
	}
)

// processes queries the processes concurrently and returns one Process for each, also for those that did not answer.
func (s *Source) processes(ctx context.Context) ([]Process, error) {
	if len(s.Addresses) > 0 {
		return queryAll(s.Addresses, func(address string) Process { return queryOperator(ctx, address) }), nil
	}
	if s.Platform == "" {
		return nil, eris.New("no processes: pass their operators' addresses or set --platform")
	}
	keys, err := s.keys()
	if err != nil {
		return nil, err
	}
	content, err := platform.NewClient(s.Platform, httpClient).VMs(ctx, 0, 0)
	if err != nil {
		return nil, err
	}
	var list vm.List
	if err := json.Unmarshal(content, &list); err != nil {
		return nil, eris.Wrap(err, "decode the platform's VM list")
	}
	client := fleet.NewClient(keys, nil)
	defer client.CloseIdleConnections()
	return queryAll(list.VMs, func(v vm.VM) Process { return queryPeer(ctx, client, v) }), nil
}

// keys returns the fleet key from its file or the environment.
func (s *Source) keys() (access.Keys, error) {
	key := s.FleetKey
	if s.FleetKeyFile != "" {
		content, err := os.ReadFile(s.FleetKeyFile)
		if err != nil {
			return access.Keys{}, eris.Wrap(err, "fleet key")
		}
		key = strings.TrimSpace(string(content))
	}
	if key == "" {
		return access.Keys{}, eris.New("no fleet key: set --fleet-key-file or GOOSEBERRY_FLEET_KEY")
	}
	return access.NewKeys(key), nil
}

// published returns the revision that the platform serves, or 0 if it is unknown.
func (s *Source) published(ctx context.Context) int64 {
	if s.Platform == "" {
		return 0
	}
	content, err := platform.NewClient(s.Platform, httpClient).Manifest(ctx, 0, 0)
	if err != nil {
		return 0
	}
	m, faults := configuration.ReadManifest(content)
	if len(faults) > 0 {
		return 0
	}
	return m.Revision
}

// queryAll queries the items concurrently and returns the results in the order of the items.
func queryAll[T any](items []T, query func(T) Process) []Process {
	answers := make([]Process, len(items))
	slots := make(chan struct{}, maxConcurrentQueries)
	var wg sync.WaitGroup
	for n, item := range items {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			answers[n] = query(item)
		})
	}
	wg.Wait()
	return answers
}

// queryPeer queries a process by a heartbeat that renews no leases.
func queryPeer(ctx context.Context, client *http.Client, v vm.VM) Process {
	p := Process{Name: v.Name, Kind: string(v.Role), DataCentre: v.DataCentre, Address: v.FleetAddress}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	peers := fleetv1.NewPeersProtobufClient(fleet.URL(v.FleetAddress), client)
	answer, err := peers.Heartbeat(ctx, &fleetv1.HeartbeatRequest{From: &fleetv1.Process{Name: senderName}})
	if err != nil {
		p.Problem = err.Error()
		return p
	}
	p.Name, p.Kind = answer.GetProcess().GetName(), answer.GetProcess().GetKind()
	p.Revision, p.Digest = answer.GetView().GetRevision(), answer.GetView().GetDigest()
	p.Draining = answer.GetProcess().GetDraining() || v.State == vm.Leaving
	p.Load = answer.GetLoad()
	return p
}

// queryOperator queries a process by its state dump.
func queryOperator(ctx context.Context, address string) Process {
	p := Process{Name: address, Address: address}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	content, err := request(ctx, http.MethodGet, address, "/debug/state")
	if err != nil {
		p.Problem = err.Error()
		return p
	}
	var d stateDump
	if err := json.Unmarshal(content, &d); err != nil {
		p.Problem = "invalid state dump: " + err.Error()
		return p
	}
	p.Name, p.Kind, p.DataCentre = d.Process.Name, d.Process.Kind, d.Process.DataCentre
	p.Revision, p.Digest = d.Configuration.Revision, d.Configuration.Digest
	p.RefusedRevision = d.Configuration.RefusedRevision
	p.Draining = d.Process.Draining
	if since := d.Configuration.InForceSince; !since.IsZero() {
		p.AgeMS = time.Since(since).Milliseconds()
	}
	return p
}
