package gooseberryctl_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/gooseberryctl"
	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/gateway"
	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/line"
	"gooseberrypin.example/router/upstream"
)

var (
	errReset = errors.New("connection reset by peer")
)

type (
	// failing upstreams have no memory when full, and lose what they run.
	failing struct {
		full bool
	}

	torn struct {
		*strings.Reader
	}

	reply struct{}
)

func (t torn) Read(p []byte) (int, error) {
	if t.Len() == 0 {
		return 0, errReset
	}
	return t.Reader.Read(p)
}

func (torn) Release() {}

func (reply) Begin(int, http.Header, int64) {}

func (reply) Write([]byte) error { return nil }

func (f failing) Call(context.Context, *upstream.Member, *gateway.Request, gateway.SendOptions) gateway.Result {
	return gateway.Unknown{Err: errReset}
}

func (f failing) Reserve(context.Context, *upstream.Member, int, time.Duration) line.Outcome {
	if f.full {
		return line.Full{}
	}
	return line.Reserved{ID: "h"}
}

func (f failing) Prefill(context.Context, *upstream.Member, *gateway.Request, gateway.SendOptions) gateway.PrefillResult {
	return gateway.Prefilled{Cache: "c"}
}

func (f failing) Decode(context.Context, *upstream.Member, *gateway.Request, gateway.DecodeOptions) gateway.Result {
	return gateway.Answer{Status: 200, Body: torn{strings.NewReader("id: 1\n\nid: 2\n\nid: ")}, Length: -1}
}

func (failing) Probe(context.Context, *upstream.Member) error { return nil }

func (failing) FreeReservation(*upstream.Member, string) {}
func (failing) FreeCache(*upstream.Member, string)       {}

// The cause of a failed request is found from its id and the logs alone.
func TestRequestFindsTheCause(t *testing.T) {
	tests := map[string]struct {
		kind ingress.Kind
		full bool
		want string
	}{
		"a stream refused in a burst":           {ingress.Streaming{}, true, "Refused as overloaded (ran: no): no decode memory for 1230 tokens"},
		"a booking whose outcome is unknown":    {ingress.NonIdempotent{}, false, "Refused as upstream_lost (ran: unknown): upstream desk-1 gave no whole answer. Last failure, at upstream desk-1: connection reset by peer."},
		"a stream that is cut by a lost engine": {ingress.Streaming{}, false, "Refused as upstream_lost (ran: yes): decode engine decode-1 broke off"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var log bytes.Buffer
			synctest.Test(t, func(t *testing.T) { serve(t, &log, tt.kind, tt.full) })
			file := filepath.Join(t.TempDir(), "entry.log")
			is.NoErr(os.WriteFile(file, append([]byte("  12.5 entry-a not a line\n"), log.Bytes()...), 0o600))
			var out, errs bytes.Buffer
			is.Equal(gooseberryctl.Run([]string{"explain", "--request", "failed", "--log", file}, &out, &errs), gooseberryctl.ExitOK)
			is.True(strings.Contains(out.String(), tt.want))
			is.True(!strings.Contains(out.String(), "neighbour"))
			is.Equal(gooseberryctl.Run([]string{"explain", "--request", "nobody", "--log", file}, &out, &errs), gooseberryctl.ExitFaults)
			is.True(strings.Contains(errs.String(), `no line has the request "nobody"`))
		})
	}
}

// serve lets a request fail, beside another one.
func serve(t *testing.T, log *bytes.Buffer, kind ingress.Kind, full bool) {
	rules := &ingress.Store{}
	rules.Put(&ingress.Configuration{
		Version: 3,
		Pools:   map[string]ingress.Pool{"p": {Name: "p"}},
		Routes: []ingress.Route{{
			Name: "r", Host: "a", Prefix: "/", Kind: kind, Timeout: time.Second, TargetLatency: 300 * time.Millisecond, MaxAttempts: 1,
			Shares: []ingress.Share{{Pool: "p", Weight: 1}},
		}},
	})
	d := upstream.NewDirectory()
	phases := map[string]upstream.Phase{"desk-1": upstream.PhaseNone}
	if _, streaming := kind.(ingress.Streaming); streaming {
		phases = map[string]upstream.Phase{"prefill-1": upstream.PhasePrefill, "decode-1": upstream.PhaseDecode}
	}
	for id, phase := range phases {
		d.Put(upstream.Upstream{ID: id, Pool: "p", Phase: phase})
	}
	g := gateway.New(rules, d, failing{full: full}, gateway.WithLog(event.NewLog(log, "entry-a")))
	for _, id := range []string{"neighbour", "failed"} {
		g.Serve(t.Context(), &gateway.Request{
			ID: id, Host: "a", Path: "/x", Target: "/x", Arrived: time.Now(),
			Generation: &gateway.Generation{PromptTokens: 1000, MaxOutputTokens: 500, LengthHint: 100},
		}, reply{})
	}
	synctest.Wait()
}
