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
	"gooseberrypin.example/router/line"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/upstream"
)

const (
	// anyUpstream names the steps that all upstreams share.
	anyUpstream = "any"
)

var (
	errBroken = errors.New("connection reset")
)

type (
	// step is what an upstream does with one request.
	step struct {
		after  time.Duration
		result gateway.Result
		// events of a stream, each after the pause; the stream ends with err.
		events []int
		pause  time.Duration
		err    error
		body   string
		status int
	}

	// fake plays steps by the upstream's ID, or in the order of the sends to any of them, the last one
	// again and again.
	fake struct {
		mu       sync.Mutex
		steps    map[string][]step
		prefills map[string][]gateway.PrefillResult
		// dark names a prefill engine that never answers.
		dark string
		// prefillTime is how long a prefill engine takes for each prompt, one after another.
		prefillTime time.Duration
		prefillEnds map[string]time.Time
		reserve     func(id string, tokens int) line.Outcome
		// onBreak is told of each upstream whose answer breaks off.
		onBreak func(id string)
		// gone upstreams take no connections.
		gone map[string]bool
		// endsOnce lets gone upstreams take one request each, and refuse connections from then on.
		endsOnce bool
		sent     []string
		afters   []string
		freed    []string
		left     []time.Duration
	}

	// body plays the events of a stream in the runtime's time.
	body struct {
		ctx    context.Context
		step   step
		next   int
		buffer bytes.Buffer
		once   sync.Once
		closed chan struct{}
	}

	// reply keeps what a caller got.
	reply struct {
		status int
		header http.Header
		bytes.Buffer
	}
)

func (r *reply) Begin(status int, h http.Header, _ int64) { r.status, r.header = status, h }

func (r *reply) Write(p []byte) error {
	_, err := r.Buffer.Write(p)
	return err
}

func (b *body) Read(p []byte) (int, error) {
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
		case <-b.closed:
			return 0, errBroken
		case <-time.After(b.step.pause):
		}
		fmt.Fprintf(&b.buffer, "id: %d\ndata: x\n\n", b.step.events[b.next])
		b.next++
	}
	return b.buffer.Read(p)
}

func (b *body) Release() { b.once.Do(func() { close(b.closed) }) }

func (f *fake) take(id string) step {
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

func (f *fake) play(ctx context.Context, s step) gateway.Result {
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
	if s.events == nil {
		return gateway.Answer{Status: s.status, Header: http.Header{}, Body: release{bytes.NewReader([]byte(s.body))}, Length: int64(len(s.body))}
	}
	return gateway.Answer{Status: s.status, Header: http.Header{}, Body: &body{ctx: ctx, step: s, closed: make(chan struct{})}, Length: -1}
}

type (
	release struct{ io.Reader }
)

func (release) Release() {}

func (f *fake) Call(ctx context.Context, m *upstream.Member, _ *gateway.Request, t gateway.SendOptions) gateway.Result {
	f.mu.Lock()
	f.left = append(f.left, t.Remaining)
	ended := f.endsOnce && f.gone[m.ID] && slices.Contains(f.sent, m.ID)
	f.mu.Unlock()
	if ended {
		return gateway.NotRun{Reason: gateway.Unreachable, Err: syscall.ECONNREFUSED}
	}
	return f.play(ctx, f.take(m.ID))
}

func (f *fake) Decode(ctx context.Context, m *upstream.Member, _ *gateway.Request, t gateway.DecodeOptions) gateway.Result {
	f.mu.Lock()
	f.afters = append(f.afters, t.LastEventID)
	f.mu.Unlock()
	s := f.take(m.ID)
	if s.err != nil && f.onBreak != nil {
		f.mu.Lock()
		f.onBreak(m.ID)
		f.mu.Unlock()
	}
	return f.play(ctx, s)
}

func (f *fake) Prefill(ctx context.Context, m *upstream.Member, _ *gateway.Request, t gateway.SendOptions) gateway.PrefillResult {
	if f.dark == m.ID {
		ctx, cancel := context.WithTimeout(ctx, t.HeadTimeout)
		defer cancel()
		<-ctx.Done()
		return gateway.PrefillFailed{Err: errBroken}
	}
	f.queue(m.ID)
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

// queue waits until a prefill engine has read the prompts that came before, and this one.
func (f *fake) queue(id string) {
	if f.prefillTime == 0 {
		return
	}
	f.mu.Lock()
	end := time.Now()
	if last := f.prefillEnds[id]; last.After(end) {
		end = last
	}
	end = end.Add(f.prefillTime)
	if f.prefillEnds == nil {
		f.prefillEnds = make(map[string]time.Time)
	}
	f.prefillEnds[id] = end
	f.mu.Unlock()
	time.Sleep(time.Until(end))
}

func (f *fake) Reserve(_ context.Context, m *upstream.Member, tokens int, _ time.Duration) line.Outcome {
	if f.reserve != nil {
		return f.reserve(m.ID, tokens)
	}
	return line.Reserved{ID: "hold-" + m.ID}
}

func (f *fake) Probe(_ context.Context, m *upstream.Member) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.gone[m.ID] {
		return syscall.ECONNREFUSED
	}
	return nil
}

func (f *fake) FreeReservation(_ *upstream.Member, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freed = append(f.freed, id)
}

func (f *fake) FreeCache(_ *upstream.Member, cache string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freed = append(f.freed, cache)
}

// world is a gateway with two plain upstreams, two prefill and two decode engines.
func world(t *testing.T, f *fake, kind ingress.Kind, opts ...gateway.Option) *gateway.Gateway {
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
		Pools:   map[string]ingress.Pool{pool: {Name: pool, Engine: &ingress.EngineLimits{KVTokens: 40_000, MaxReservation: 2 * time.Second, EventTokens: 12}}},
		Routes: []ingress.Route{{
			Name: "r", Host: "a", Prefix: "/", Kind: kind, Timeout: timeout, Target: target,
			MaxAttempts: 2, Shares: []ingress.Share{{Pool: pool, Weight: 1}},
		}},
	})
	d := upstream.NewDirectory()
	for phase, list := range map[upstream.Phase][]string{upstream.PhaseNone: plain, upstream.PhasePrefill: prefill, upstream.PhaseDecode: decode} {
		for _, id := range list {
			d.Put(upstream.Upstream{ID: id, Pool: pool, Phase: phase, Slots: 4})
		}
	}
	g := gateway.New(rules, d, f, opts...)
	return g
}

// sends returns what was sent so far.
func (f *fake) sends() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.sent)
}

// reset replaces the steps and forgets what was sent.
func (f *fake) reset(steps map[string][]step) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.steps, f.sent = steps, nil
}

// earn lets the retry budget of a gateway grow by requests that go well.
func earn(t *testing.T, g *gateway.Gateway, requests int) {
	t.Helper()
	for range requests {
		g.Serve(t.Context(), request(), &reply{})
	}
}

func request() *gateway.Request {
	return &gateway.Request{
		ID: "1", Method: http.MethodPost, Host: "a", Target: "/x", Path: "/x", Arrived: time.Now(), Wait: 14 * time.Second,
		Generation: &gateway.Generation{PromptTokens: 1000, MaxOutputTokens: 500, LengthHint: 100},
	}
}

// outcome is a request's end as one word.
func outcome(r *refusal.Refusal) string {
	if r == nil {
		return "answered"
	}
	return r.Reason.String() + "/" + r.Ran.String()
}
