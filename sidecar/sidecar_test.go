package sidecar_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/router/access"
	"gooseberrypin.example/router/adapter/fleet"
	sidecarclient "gooseberrypin.example/router/adapter/sidecar"
	"gooseberrypin.example/router/adapter/wire"
	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/label"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/settings"
	"gooseberrypin.example/sidecar"
	standin "gooseberrypin.example/standin/engine"
)

const (
	fleetKey     = "0123456789abcdef"
	model        = "care"
	keeper       = "entry-1@1"
	testTimeout  = 10 * time.Second
	pollInterval = 5 * time.Millisecond
)

// testPlatform publishes one configuration and an empty VM list.
type testPlatform struct {
	manifest []byte
	parts    map[string][]byte
}

func (p *testPlatform) Manifest(ctx context.Context, after int64, wait time.Duration) ([]byte, error) {
	if after < 1 {
		return p.manifest, nil
	}
	return nil, waitFor(ctx, wait)
}

func (p *testPlatform) Part(_ context.Context, sha256 string) ([]byte, error) {
	return p.parts[sha256], nil
}

func (p *testPlatform) VMs(ctx context.Context, after int64, wait time.Duration) ([]byte, error) {
	if after < 1 {
		return []byte(`{"version":1,"vms":[]}`), nil
	}
	return nil, waitFor(ctx, wait)
}

// waitFor waits for the end of a long poll.
func waitFor(ctx context.Context, wait time.Duration) error {
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// testbed is a prefill engine and a decode engine with their sidecars on the loopback interface.
type testbed struct {
	is             *is.I
	sidecars       port.Sidecars
	http           *http.Client
	engineAddress  map[string]string
	sidecarAddress map[string]string
}

func newTestbed(t *testing.T, engine standin.Command) *testbed {
	t.Helper()
	b := &testbed{is: is.New(t), engineAddress: make(map[string]string), sidecarAddress: make(map[string]string)}
	roles := []string{"prefill", "decode"}
	listeners := make(map[string]net.Listener)
	for _, role := range roles {
		server := httptest.NewServer(standin.NewEngine(engine, func(int) {}).Handler())
		t.Cleanup(server.Close)
		b.engineAddress[role] = strings.TrimPrefix(server.URL, "http://")
		l, err := net.Listen("tcp", "127.0.0.1:0")
		b.is.NoErr(err)
		listeners[role] = l
		b.sidecarAddress[role] = l.Addr().String()
	}
	platform := b.publish()
	for _, role := range roles {
		b.start(t, role, platform, listeners[role])
	}
	b.http = fleet.NewClient(access.NewKeys(fleetKey), nil)
	b.sidecars = sidecarclient.NewClient(b.http)
	return b
}

func (b *testbed) publish() *testPlatform {
	c := &configuration.Configuration{
		Revision: 1,
		Pools: []configuration.Pool{
			{Name: "prefill", Role: configuration.RolePrefill, Selector: "role=prefill"},
			{Name: "decode", Role: configuration.RoleDecode, Selector: "role=decode"},
		},
		Rules:    []configuration.Rule{{Name: model, Model: model, PrefillPool: "prefill", DecodePool: "decode", MaxOutputTokens: 500}},
		Partners: []configuration.Partner{{Name: "varal", CredentialSHA256: []string{access.NewDigest("x").String()}}},
		// A long target time to first token avoids load shedding on a slow machine.
		Limits: configuration.Limits{FirstTokenMS: 10_000},
	}
	for role, address := range b.engineAddress {
		c.Upstreams = append(c.Upstreams, configuration.Upstream{
			Name: role, Kind: configuration.KindEngine, VM: "vm-" + role, Region: "sul", DataCentre: "sul-a",
			Address: address, SidecarAddress: b.sidecarAddress[role], Labels: label.Labels{"role": role},
		})
	}
	manifest, parts := configuration.Split(c)
	return &testPlatform{manifest: manifest, parts: parts}
}

func (b *testbed) start(t *testing.T, role string, platform *testPlatform, l net.Listener) {
	s := sidecar.Settings{
		Process: settings.Process{
			Name: "sidecar-" + role, VM: "vm-" + role, Region: "sul", DataCentre: "sul-a",
			FleetAddress: b.sidecarAddress[role], OperatorAddress: "127.0.0.1:0", PlatformAddress: "127.0.0.1:1",
			FleetKeys: []string{fleetKey},
		},
		Upstream: role, UpstreamAddress: b.engineAddress[role], Kind: configuration.KindEngine,
	}
	b.is.NoErr(s.Check())
	c := sidecar.NewSidecar(s, rand.New(rand.NewPCG(1, 1)), event.Discard(), sidecar.WithPlatform(platform))
	ctx, cancel := context.WithCancel(context.Background())
	server := fleet.NewServer(c.Handler())
	go func() { _ = server.Serve(l) }()
	done := make(chan struct{})
	go func() {
		c.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		cancel()
		<-done
	})
	<-c.Ready()
}

// eventually polls until a condition holds, and fails the test after testTimeout.
func (b *testbed) eventually(condition func() bool) {
	limit := time.After(testTimeout)
	for !condition() {
		select {
		case <-time.After(pollInterval):
		case <-limit:
			b.is.Fail() // the condition did not hold within testTimeout
			return
		}
	}
}

func (b *testbed) stats(role string) standin.Stats {
	var s standin.Stats
	r, err := http.Get("http://" + b.engineAddress[role] + "/v1/stats")
	b.is.NoErr(err)
	defer func() { _ = r.Body.Close() }()
	b.is.NoErr(json.NewDecoder(r.Body).Decode(&s))
	return s
}

// prefill runs a prefill, reserves decode memory when it is at the head, and returns the KV cache.
func (b *testbed) prefill(a port.Attempt, prompt string) port.KV {
	ctx := context.Background()
	s, err := b.sidecars.Prefill(ctx, b.sidecarAddress["prefill"], port.Prefill{
		Attempt: a, Keeper: keeper, Partner: "varal", Model: model, Prompt: prompt, Budget: testTimeout,
	})
	b.is.NoErr(err)
	defer s.Close()
	for {
		e, err := s.Next()
		b.is.NoErr(err)
		switch e := e.(type) {
		case port.Queued:
		case port.AtHead:
			_, r, err := b.sidecars.Reserve(ctx, b.sidecarAddress["decode"], port.Reservation{
				Attempt: a, Keeper: keeper, Model: model, PromptTokens: len(prompt) / 4, MaxOutputTokens: 500, Hold: time.Second,
			})
			b.is.NoErr(err)
			b.is.Equal(r, nil)
			r, err = b.sidecars.StartPrefill(ctx, b.sidecarAddress["prefill"], a)
			b.is.NoErr(err)
			b.is.Equal(r, nil)
		case port.Prefilled:
			return e.KV
		case port.Refused:
			b.is.Equal(e.Refusal, nil)
		}
	}
}

func (b *testbed) decode(a port.Attempt, kv port.KV) port.DecodeStream {
	s, err := b.sidecars.Decode(context.Background(), b.sidecarAddress["decode"], port.Decode{
		Attempt: a, Keeper: keeper, Model: model, KV: kv, MaxOutputTokens: 500,
	})
	b.is.NoErr(err)
	return s
}

func (b *testbed) heartbeat(wanted ...port.Attempt) []port.Attempt {
	q := &fleetv1.HeartbeatRequest{From: &fleetv1.Process{Name: keeper}}
	for _, a := range wanted {
		q.Attempts = append(q.Attempts, wire.FromAttempt(a))
	}
	m, err := fleetv1.NewPeersProtobufClient(fleet.URL(b.sidecarAddress["decode"]), b.http).Heartbeat(context.Background(), q)
	b.is.NoErr(err)
	var lost []port.Attempt
	for _, a := range m.GetLost() {
		lost = append(lost, wire.ToAttempt(a))
	}
	return lost
}

// However a decode ends, the engine's memory is freed, and neither the prefill nor the decode runs
// twice.
func TestDecodeEndFreesMemory(t *testing.T) {
	first := port.Attempt{KeyDigest: "key", Number: 7}
	newer := port.Attempt{KeyDigest: "key", Number: 8}
	// Each case gets a stream that has delivered the first of 200 tokens.
	tests := map[string]func(b *testbed, s port.DecodeStream){
		"complete answer": func(b *testbed, s port.DecodeStream) {
			tokens := 1
			for {
				b.heartbeat(first)
				e, err := s.Next()
				b.is.NoErr(err)
				if f, finished := e.(port.Finished); finished {
					b.is.Equal(f.Reason, "stop")
					break
				}
				tokens += len(e.(port.Tokens).Texts)
			}
			b.is.Equal(tokens, 200)
		},
		"keeper closes the stream": func(_ *testbed, s port.DecodeStream) { s.Close() },
		"keeper releases the attempt": func(b *testbed, _ port.DecodeStream) {
			b.is.NoErr(b.sidecars.Release(context.Background(), b.sidecarAddress["decode"], first))
		},
		// The lease expires.
		"keeper sends no heartbeat": func(_ *testbed, _ port.DecodeStream) {},
		"heartbeat lists no attempts": func(b *testbed, _ port.DecodeStream) {
			b.eventually(func() bool { b.heartbeat(); return b.stats("decode").UsedPieces == 0 })
		},
		"newer attempt reserves": func(b *testbed, _ port.DecodeStream) {
			_, r, err := b.sidecars.Reserve(context.Background(), b.sidecarAddress["decode"], port.Reservation{
				Attempt: newer, Keeper: keeper, Model: model, PromptTokens: 1, MaxOutputTokens: 1, Hold: time.Second,
			})
			b.is.NoErr(err)
			b.is.Equal(r, nil)
			stale := b.decode(first, port.KV{Handle: "kv-1"})
			e, err := stale.Next()
			b.is.NoErr(err)
			b.is.Equal(e.(port.Refused).Refusal.Reason, refusal.StaleAttempt)
			b.is.Equal(b.heartbeat(first, newer), []port.Attempt{first})
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestbed(t, standin.Command{
				Pieces: 64, PieceTokens: 4096, StepMS: 10, StepPerStreamUS: 1, PrefillTokensPerS: 1_000_000,
				LinkBytesPerS: 100_000_000, KVBytesPerToken: 64, KVLifeMS: 5000, CacheBlocks: 100,
			})
			s := b.decode(first, b.prefill(first, strings.Repeat("quilt ", 200)+"[[out=200]]"))
			e, err := s.Next()
			b.is.NoErr(err)
			b.is.Equal(len(e.(port.Tokens).Texts), 1)
			test(b, s)
			b.eventually(func() bool { return b.stats("decode").UsedPieces == 0 })
			b.is.Equal(b.stats("decode").DecodesStarted, int64(1))
			runs := slices.Collect(func(yield func(int64) bool) {
				for _, n := range b.stats("prefill").PrefillRuns {
					yield(n)
				}
			})
			b.is.Equal(runs, []int64{1})
		})
	}
}
