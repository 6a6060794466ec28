package gateway_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gooseberrypin.example/router/gateway"
	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/reservation"
	"gooseberrypin.example/router/upstream"
)

const (
	// anyUpstream is the key of steps that all upstreams share.
	anyUpstream = "any"
)

var (
	errBroken = errors.New("connection reset")
)

type (
	// step is what an upstream does with one request.
	step struct {
		// after is the delay of the answer.
		after time.Duration
		// result is the result of the send; nil stands for an answer that the other fields describe.
		result gateway.Result
		// events are the IDs of the events of a stream, each of which is sent after the pause. The stream
		// then ends with err.
		events []int
		pause  time.Duration
		err    error
		// body is the body of an answer without events.
		body   string
		status int
		// contentType is the media type of the answer; empty for none.
		contentType string
		// closeDelimited is whether the answer has neither a length nor chunks.
		closeDelimited bool
	}

	// fakeUpstreams implements gateway.Upstreams. Each send takes the next step of its upstream, or the next
	// one of all upstreams. The last step is repeated.
	fakeUpstreams struct {
		mu sync.Mutex
		// steps are the steps of calls and decodes by the ID of the upstream, or under anyUpstream.
		steps map[string][]step
		// prefills are the results of prefills by the ID of the engine. Further prefills succeed.
		prefills map[string][]gateway.PrefillResult
		// unresponsive is the ID of a prefill engine that never answers.
		unresponsive string
		// prefillTime is how long an engine takes to prefill a prompt. It prefills one prompt at a time.
		prefillTime      time.Duration
		prefillBusyUntil map[string]time.Time
		// reserve answers requests for memory; nil grants them all.
		reserve func(id string, tokens int) reservation.Outcome
		// onTruncatedStream is called with the ID of each engine that is about to truncate a stream.
		onTruncatedStream func(id string)
		// down holds the upstreams that refuse probes.
		down map[string]bool
		// crashAfterFirst makes upstreams that are down also refuse each call after their first one.
		crashAfterFirst bool
		// sent holds the IDs of the upstreams that requests were sent to.
		sent []string
		// lastEventIDs holds the last event IDs that decodes carried.
		lastEventIDs []string
		// freed holds the reservations and KV caches that were freed.
		freed []string
		// remaining holds the remaining times that calls carried.
		remaining []time.Duration
		// identities and priorities hold those that calls, prefills and decodes carried.
		identities []gateway.Identity
		priorities []int
	}

	// streamBody is a stream that sends the events of a step.
	streamBody struct {
		ctx      context.Context
		step     step
		next     int
		buffer   bytes.Buffer
		once     sync.Once
		released chan struct{}
	}

	// recordedReply implements gateway.Reply and records the answer that a caller receives.
	recordedReply struct {
		status int
		header http.Header
		bytes.Buffer
		// writeTime is how long the caller takes to read an event.
		writeTime time.Duration
	}
)

func (r *recordedReply) Begin(status int, h http.Header, _ int64) { r.status, r.header = status, h }

func (r *recordedReply) Write(p []byte) error {
	time.Sleep(r.writeTime)
	_, err := r.Buffer.Write(p)
	return err
}

func (b *streamBody) Read(p []byte) (int, error) {
	if b.buffer.Len() == 0 {
		if b.next >= len(b.step.events) {
			if b.step.err != nil {
				return 0, b.step.err
			}
			return 0, io.EOF
		}
		select {
		case <-b.ctx.Done():
			return 0, b.ctx.Err()
		case <-b.released:
			return 0, errBroken
		case <-after(b.step.pause):
		}
		fmt.Fprintf(&b.buffer, "id: %d\ndata: x\n\n", b.step.events[b.next])
		b.next++
	}
	return b.buffer.Read(p)
}

// after is time.After without a timer for a zero duration.
func after(d time.Duration) <-chan time.Time {
	if d > 0 {
		return time.After(d)
	}
	passed := make(chan time.Time)
	close(passed)
	return passed
}

func (b *streamBody) Release() { b.once.Do(func() { close(b.released) }) }

// nextStep records a send to an upstream and returns its next step.
func (f *fakeUpstreams) nextStep(id string) step {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent = append(f.sent, id)
	if _, found := f.steps[anyUpstream]; found {
		id = anyUpstream
	}
	steps := f.steps[id]
	if len(steps) == 0 {
		return step{status: http.StatusOK, body: "id: 1\n\n"}
	}
	if len(steps) > 1 {
		f.steps[id] = steps[1:]
	}
	return steps[0]
}

// play returns the result of a step after its delay.
func (f *fakeUpstreams) play(ctx context.Context, s step) gateway.Result {
	if s.after > 0 {
		select {
		case <-ctx.Done():
			return gateway.Unknown{Err: ctx.Err()}
		case <-time.After(s.after):
		}
	}
	if s.result != nil {
		return s.result
	}
	if s.status == 0 {
		s.status = http.StatusOK
	}
	header := http.Header{}
	if s.contentType != "" {
		header.Set("Content-Type", s.contentType)
	}
	if s.events == nil {
		return gateway.Answer{Status: s.status, Header: header, Body: releasableReader{bytes.NewReader([]byte(s.body))}, Length: int64(len(s.body)), IsCloseDelimited: s.closeDelimited}
	}
	return gateway.Answer{Status: s.status, Header: header, Body: &streamBody{ctx: ctx, step: s, released: make(chan struct{})}, Length: -1, IsCloseDelimited: s.closeDelimited}
}

type (
	releasableReader struct{ io.Reader }
)

func (releasableReader) Release() {}

func (f *fakeUpstreams) recordOptions(o gateway.SendOptions) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.identities, f.priorities = append(f.identities, o.Identity), append(f.priorities, o.Priority)
}

func (f *fakeUpstreams) Call(ctx context.Context, m *upstream.Member, _ *gateway.Request, o gateway.SendOptions) gateway.Result {
	f.recordOptions(o)
	f.mu.Lock()
	f.remaining = append(f.remaining, o.Remaining)
	crashed := f.crashAfterFirst && f.down[m.ID] && slices.Contains(f.sent, m.ID)
	f.mu.Unlock()
	if crashed {
		return gateway.NotRun{Reason: gateway.Unreachable, Err: syscall.ECONNREFUSED}
	}
	return f.play(ctx, f.nextStep(m.ID))
}

func (f *fakeUpstreams) Decode(ctx context.Context, m *upstream.Member, _ *gateway.Request, o gateway.DecodeOptions) gateway.Result {
	f.recordOptions(o.SendOptions)
	f.mu.Lock()
	f.lastEventIDs = append(f.lastEventIDs, o.LastEventID)
	f.mu.Unlock()
	s := f.nextStep(m.ID)
	if s.err != nil && f.onTruncatedStream != nil {
		f.mu.Lock()
		f.onTruncatedStream(m.ID)
		f.mu.Unlock()
	}
	return f.play(ctx, s)
}

func (f *fakeUpstreams) Prefill(ctx context.Context, m *upstream.Member, _ *gateway.Request, o gateway.SendOptions) gateway.PrefillResult {
	f.recordOptions(o)
	if f.unresponsive == m.ID {
		ctx, cancel := context.WithTimeout(ctx, o.HeadTimeout)
		defer cancel()
		<-ctx.Done()
		return gateway.PrefillFailed{Err: errBroken}
	}
	f.waitForPrefill(m.ID)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent = append(f.sent, m.ID)
	results := f.prefills[m.ID]
	if len(results) == 0 {
		return gateway.Prefilled{Cache: "cache", Tokens: 1}
	}
	f.prefills[m.ID] = results[1:]
	return results[0]
}

// waitForPrefill waits until a prefill engine has finished the prompts in its queue and a further one.
func (f *fakeUpstreams) waitForPrefill(id string) {
	if f.prefillTime == 0 {
		return
	}
	f.mu.Lock()
	end := time.Now()
	if last := f.prefillBusyUntil[id]; last.After(end) {
		end = last
	}
	end = end.Add(f.prefillTime)
	if f.prefillBusyUntil == nil {
		f.prefillBusyUntil = make(map[string]time.Time)
	}
	f.prefillBusyUntil[id] = end
	f.mu.Unlock()
	time.Sleep(time.Until(end))
}

func (f *fakeUpstreams) Reserve(_ context.Context, m *upstream.Member, tokens int, _ time.Duration) reservation.Outcome {
	if f.reserve != nil {
		return f.reserve(m.ID, tokens)
	}
	return reservation.Reserved{ID: "hold-" + m.ID}
}

func (f *fakeUpstreams) Probe(_ context.Context, m *upstream.Member) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down[m.ID] {
		return syscall.ECONNREFUSED
	}
	return nil
}

func (f *fakeUpstreams) FreeReservation(_ *upstream.Member, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freed = append(f.freed, id)
}

func (f *fakeUpstreams) FreeCache(_ *upstream.Member, cache string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freed = append(f.freed, cache)
}

// newGateway returns a gateway with one pool. For a streaming kind it has two prefill and two decode engines,
// otherwise two plain services.
func newGateway(t *testing.T, f *fakeUpstreams, kind ingress.Kind, opts ...gateway.Option) *gateway.Gateway {
	t.Helper()
	g, _ := newGatewayWithDirectory(t, f, kind, opts...)
	return g
}

// newGatewayWithDirectory returns a gateway as newGateway does, and the directory of its upstreams.
func newGatewayWithDirectory(t *testing.T, f *fakeUpstreams, kind ingress.Kind, opts ...gateway.Option) (*gateway.Gateway, *upstream.Directory) {
	t.Helper()
	pool, prefill, decode := "desk", []string{}, []string{}
	plain := []string{"d1", "d2"}
	if _, streaming := kind.(ingress.Streaming); streaming {
		pool, plain, prefill, decode = "chat", nil, []string{"p1", "p2"}, []string{"g1", "g2"}
	}
	timeout, target := 800*time.Millisecond, 200*time.Millisecond
	if plain == nil {
		timeout, target = 14*time.Second, 900*time.Millisecond
	}
	rules := &ingress.Store{}
	rules.Put(&ingress.Configuration{
		Version: 1,
		Pools:   map[string]ingress.Pool{pool: {Name: pool, Engine: &ingress.EngineLimits{KVTokens: 40_000, MaxReservationLife: 2 * time.Second, TokensPerEvent: 12}}},
		Routes: []ingress.Route{{
			Name: "r", Host: "a", Prefix: "/", Kind: kind, Timeout: timeout, TargetLatency: target,
			MaxAttempts: 2, Shares: []ingress.Share{{Pool: pool, Weight: 1}},
		}},
	})
	d := upstream.NewDirectory()
	for phase, list := range map[upstream.Phase][]string{upstream.PhaseNone: plain, upstream.PhasePrefill: prefill, upstream.PhaseDecode: decode} {
		for _, id := range list {
			d.Put(upstream.Upstream{ID: id, Pool: pool, Phase: phase, Slots: 4})
		}
	}
	return gateway.New(rules, d, f, opts...), d
}

// sends returns the IDs of the upstreams that requests were sent to since the last reset, in order.
func (f *fakeUpstreams) sends() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.sent)
}

// reset replaces the steps and clears the recorded sends.
func (f *fakeUpstreams) reset(steps map[string][]step) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.steps, f.sent = steps, nil
}

// earnRetries serves a number of requests that succeed, so that the retry budget grows.
func earnRetries(t *testing.T, g *gateway.Gateway, requests int) {
	t.Helper()
	for range requests {
		g.Serve(t.Context(), request(), &recordedReply{})
	}
}

func request() *gateway.Request {
	return &gateway.Request{
		ID: "1", Method: http.MethodPost, Host: "a", Target: "/x", Path: "/x", Arrived: time.Now(), Wait: 14 * time.Second,
		Generation: &gateway.Generation{PromptTokens: 1000, MaxOutputTokens: 500, LengthHint: 100},
	}
}

// outcome returns the reason of a refusal and whether the request ran, or "answered" for no refusal.
func outcome(r *refusal.Refusal) string {
	if r == nil {
		return "answered"
	}
	return r.Reason.String() + "/" + r.Ran.String()
}
