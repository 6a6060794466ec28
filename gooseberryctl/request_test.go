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
	"gooseberrypin.example/router/quota"
	"gooseberrypin.example/router/reservation"
	"gooseberrypin.example/router/upstream"
)

var (
	errReset = errors.New("connection reset by peer")
)

type (
	// failingUpstreams implements upstreams whose calls fail with a connection reset. If full is set, they have no free decode
	// memory.
	failingUpstreams struct {
		full bool
	}

	// resetBody is a body whose connection is reset after its content.
	resetBody struct {
		*strings.Reader
	}

	// usedUp is a quota without requests left.
	usedUp struct{}

	// discardReply discards the response.
	discardReply struct{}
)

func (t resetBody) Read(p []byte) (int, error) {
	if t.Len() == 0 {
		return 0, errReset
	}
	return t.Reader.Read(p)
}

func (resetBody) Release() {}

func (usedUp) Take(context.Context, string) quota.Decision {
	return quota.Denied{RetryAfter: 250 * time.Millisecond}
}

func (usedUp) RetryAfter(string) time.Duration { return 250 * time.Millisecond }

func (discardReply) Begin(int, http.Header, int64) {}

func (discardReply) Write([]byte) error { return nil }

func (f failingUpstreams) Call(context.Context, *upstream.Member, *gateway.Request, gateway.SendOptions) gateway.Result {
	return gateway.Unknown{Err: errReset}
}

func (f failingUpstreams) Reserve(context.Context, *upstream.Member, int, time.Duration) reservation.Outcome {
	if f.full {
		return reservation.Full{}
	}
	return reservation.Reserved{ID: "h"}
}

func (f failingUpstreams) Prefill(context.Context, *upstream.Member, *gateway.Request, gateway.SendOptions) gateway.PrefillResult {
	return gateway.Prefilled{Cache: "c"}
}

func (f failingUpstreams) Decode(context.Context, *upstream.Member, *gateway.Request, gateway.DecodeOptions) gateway.Result {
	return gateway.Answer{Status: 200, Body: resetBody{strings.NewReader("id: 1\n\nid: 2\n\nid: ")}, Length: -1}
}

func (failingUpstreams) Probe(context.Context, *upstream.Member) error { return nil }

func (failingUpstreams) FreeReservation(*upstream.Member, string) {}
func (failingUpstreams) FreeCache(*upstream.Member, string)       {}

// explain --request reports the cause of a failed request from its ID and the log alone. It shows no lines of other requests.
func TestExplainRequestShowsCause(t *testing.T) {
	tests := map[string]struct {
		kind    ingress.Kind
		full    bool
		limited bool
		want    string
	}{
		"stream refused for lack of memory":     {ingress.Streaming{}, true, false, "Refused as overloaded (ran: no): no decode memory for 1230 tokens"},
		"call with an unknown outcome":          {ingress.NonIdempotent{}, false, false, "Refused as upstream_lost (ran: unknown): upstream desk-1 gave no whole answer. Last failure, at upstream desk-1: connection reset by peer."},
		"stream truncated by a lost engine":     {ingress.Streaming{}, false, false, "Refused as upstream_lost (ran: yes): decode engine decode-1 broke off"},
		"call beyond the limit of its upstream": {ingress.NonIdempotent{}, false, true, "Refused as overloaded (ran: no): all upstreams of p take no more requests for 250ms."},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var log bytes.Buffer
			synctest.Test(t, func(t *testing.T) { serve(t, &log, tt.kind, tt.full, tt.limited) })
			file := filepath.Join(t.TempDir(), "entry.log")
			// Other programs may write to the same file.
			foreign := "  12.5 entry-a not a line\n" + strings.Repeat("x", 2<<20) + "\n"
			is.NoErr(os.WriteFile(file, append([]byte(foreign), log.Bytes()...), 0o600))
			var out, errs bytes.Buffer
			is.Equal(gooseberryctl.Run([]string{"explain", "--request", "failed", "--log", file}, &out, &errs), gooseberryctl.ExitOK)
			is.True(strings.Contains(out.String(), tt.want))
			is.True(!strings.Contains(out.String(), "unrelated"))
			is.Equal(strings.Contains(out.String(), "upstream limit changed"), tt.limited)
			is.Equal(gooseberryctl.Run([]string{"explain", "--request", "missing", "--log", file}, &out, &errs), gooseberryctl.ExitFaults)
			is.True(strings.Contains(errs.String(), `no log line of request "missing"`))
		})
	}
}

// serve serves the request "unrelated" and then the request "failed" at failing upstreams.
func serve(t *testing.T, log *bytes.Buffer, kind ingress.Kind, full, limited bool) {
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
	events := event.NewLog(log, "entry-a")
	opts := []gateway.Option{gateway.WithLog(events)}
	if limited {
		opts = append(opts, gateway.WithQuota(usedUp{}))
		quota.NewTable(events).Observe("desk-1@1790000000123", quota.Limited{PerSecond: 3}, time.Now())
	}
	g := gateway.New(rules, d, failingUpstreams{full: full}, opts...)
	for _, id := range []string{"unrelated", "failed"} {
		g.Serve(t.Context(), &gateway.Request{
			ID: id, Host: "a", Path: "/x", Target: "/x", Arrived: time.Now(),
			Generation: &gateway.Generation{PromptTokens: 1000, MaxOutputTokens: 500, LengthHint: 100},
		}, discardReply{})
	}
	synctest.Wait()
}
