package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/gateway"
	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/reservation"
	"gooseberrypin.example/router/speed"
	"gooseberrypin.example/router/upstream"
)

const (
	fleetEntries, fleetPrefills, fleetDecodes = 30, 13, 42

	fleetTarget     = 900 * time.Millisecond
	fleetTokenTime  = 30 * time.Microsecond
	fleetMemory     = 27_492
	fleetSlots      = 64
	fleetEventSize  = 11
	fleetStep       = 3790 * time.Microsecond
	fleetStreamStep = 89300 * time.Nanosecond
	fleetWarmup     = 8 * time.Second
	fleetRun        = 25 * time.Second
	fleetEvenRun    = 18 * time.Second
	fleetMessage    = time.Millisecond
)

type (
	// fleet simulates engines of one pool that work at different speeds, and counts what callers of many entries get. It
	// implements gateway.Upstreams.
	fleet struct {
		fakeUpstreams
		mu      sync.Mutex
		engines map[string]*fleetEngine
		// verdicts counts the log lines of entries that judged an engine.
		verdicts atomic.Int64
		fleetCount
	}

	fleetEngine struct {
		factor       float64
		busyUntil    time.Time
		reserved     map[string]int
		used, issued int
		running      int
		prompts      int
	}

	// fleetCount counts requests, those refused, first events after the target or never, streams cut off at the deadline,
	// reservations and those refused.
	fleetCount struct {
		requests, refused, late, cut, reserves, full int
	}

	fleetBody struct {
		ctx      context.Context
		fleet    *fleet
		engine   *fleetEngine
		hold     string
		events   int
		sent     int
		buffer   bytes.Buffer
		released sync.Once
	}
)

// Write implements io.Writer. It counts the lines of the log.
func (f *fleet) Write(line []byte) (int, error) {
	f.verdicts.Add(1)
	return len(line), nil
}

// fleetFactors returns the factors by which engines in turn take longer than the nominal time.
func fleetFactors(slow, fast float64) func(int) float64 {
	return func(engine int) float64 { return []float64{fast, fast, slow}[engine%3] }
}

func (f *fleet) Prefill(ctx context.Context, m *upstream.Member, r *gateway.Request, o gateway.SendOptions) gateway.PrefillResult {
	f.mu.Lock()
	e, now := f.engines[m.ID], time.Now()
	if e.busyUntil.Before(now) {
		e.busyUntil = now
	}
	e.busyUntil = e.busyUntil.Add(time.Duration(e.factor * float64(r.Generation.PromptTokens) * float64(fleetTokenTime)))
	e.prompts++
	wait := e.busyUntil.Sub(now) + fleetMessage
	f.mu.Unlock()
	select {
	case <-ctx.Done():
		return gateway.PrefillFailed{Err: ctx.Err()}
	case <-time.After(min(wait, o.HeadTimeout)):
	}
	if wait > o.HeadTimeout {
		return gateway.PrefillFailed{Err: errBroken}
	}
	return gateway.Prefilled{Cache: "c", Tokens: r.Generation.PromptTokens}
}

func (f *fleet) Reserve(_ context.Context, m *upstream.Member, tokens int, _ time.Duration) reservation.Outcome {
	time.Sleep(fleetMessage)
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[m.ID]
	f.reserves++
	if e.used+tokens > fleetMemory || len(e.reserved) >= fleetSlots {
		f.full++
		return reservation.Full{}
	}
	e.issued++
	id := strconv.Itoa(e.issued)
	e.used += tokens
	e.reserved[id] = tokens
	return reservation.Reserved{ID: id}
}

func (f *fleet) FreeReservation(m *upstream.Member, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines[m.ID].free(id)
}

func (e *fleetEngine) free(id string) {
	e.used -= e.reserved[id]
	delete(e.reserved, id)
}

func (f *fleet) Decode(ctx context.Context, m *upstream.Member, r *gateway.Request, o gateway.DecodeOptions) gateway.Result {
	events, _ := strconv.Atoi(r.Generation.Model)
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[m.ID]
	e.running++
	return gateway.Answer{Status: http.StatusOK, Header: http.Header{}, Body: &fleetBody{ctx: ctx, fleet: f, engine: e, hold: o.Reservation, events: events}, Length: -1}
}

func (b *fleetBody) Read(p []byte) (int, error) {
	if b.buffer.Len() == 0 {
		if b.sent == b.events {
			return 0, io.EOF
		}
		b.fleet.mu.Lock()
		step := b.engine.factor * float64(fleetStep+time.Duration(b.engine.running)*fleetStreamStep)
		b.fleet.mu.Unlock()
		select {
		case <-b.ctx.Done():
			return 0, b.ctx.Err()
		case <-time.After(time.Duration(fleetEventSize * step)):
		}
		b.sent++
		fmt.Fprintf(&b.buffer, "id: %d\ndata: x\n\n", b.sent)
	}
	return b.buffer.Read(p)
}

func (b *fleetBody) Release() {
	b.released.Do(func() {
		b.fleet.mu.Lock()
		defer b.fleet.mu.Unlock()
		b.engine.running--
		b.engine.free(b.hold)
	})
}

// runFleet sends a load to entries that learn speeds with a factor and exchange them once a second. The load is perSecond
// generations a second, and twice as many in two of ten seconds.
func runFleet(t *testing.T, duration time.Duration, unevenFactor, perSecond float64, factors func(int) float64) *fleet {
	t.Helper()
	f := &fleet{engines: make(map[string]*fleetEngine)}
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(7, 7))
		rules := &ingress.Store{}
		rules.Put(&ingress.Configuration{
			Version: 1,
			Pools:   map[string]ingress.Pool{"chat": {Name: "chat", Engine: &ingress.EngineLimits{KVTokens: fleetMemory, MaxReservationLife: 2 * time.Second, TokensPerEvent: fleetEventSize}}},
			Routes: []ingress.Route{{
				Name: "r", Host: "a", Prefix: "/", Kind: ingress.Streaming{MaxGap: 300 * time.Millisecond}, Timeout: 14 * time.Second, TargetLatency: fleetTarget,
				MaxAttempts: 2, Shares: []ingress.Share{{Pool: "chat", Weight: 1}},
			}},
		})
		var entries []*gateway.Gateway
		var tables []*speed.Table
		for i := range fleetEntries {
			d := upstream.NewDirectory()
			for phase, count := range map[upstream.Phase]int{upstream.PhasePrefill: fleetPrefills, upstream.PhaseDecode: fleetDecodes} {
				for n := range count {
					id := fmt.Sprintf("%v%02d", phase, n)
					d.Put(upstream.Upstream{ID: id, Pool: "chat", Phase: phase, Slots: fleetSlots, DataCentre: strconv.Itoa(n / 3 % 3)})
					if i == 0 {
						f.engines[id] = &fleetEngine{factor: factors(n), reserved: make(map[string]int)}
					}
				}
			}
			tables = append(tables, speed.NewTable(unevenFactor, speed.WithLog(event.NewLog(f, "entry"))))
			entries = append(entries, gateway.New(rules, d, f, gateway.WithEntries(func() int { return fleetEntries }), gateway.WithRetryRatio(0.2),
				gateway.WithSpeeds(tables[i]), gateway.WithDataCentre(strconv.Itoa(i%3)), gateway.WithSeed(uint64(i))))
		}
		began := time.Now()
		nextExchange := began
		for time.Since(began) < duration {
			for ; time.Now().After(nextExchange); nextExchange = nextExchange.Add(time.Second / fleetEntries) {
				a, b := tables[random.IntN(fleetEntries)], tables[random.IntN(fleetEntries)]
				forth, back := a.Shared(time.Now()), b.Shared(time.Now())
				b.Merge(forth, time.Now())
				a.Merge(back, time.Now())
			}
			rate := perSecond
			if int(time.Since(began).Seconds())%10 >= 8 {
				rate *= 2
			}
			time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
			go f.serve(t, entries[random.IntN(fleetEntries)], fleetRequest(random), time.Since(began) > fleetWarmup)
		}
		time.Sleep(20 * time.Second)
	})
	return f
}

func fleetRequest(random *rand.Rand) *gateway.Request {
	events := min(160, max(8, int(58*math.Exp(0.6*random.NormFloat64()))))
	r := request()
	r.Wait = 12*time.Second + time.Duration(random.IntN(2000))*time.Millisecond
	r.Generation = &gateway.Generation{
		Model: strconv.Itoa(events), PromptTokens: 2400 + random.IntN(1600), MaxOutputTokens: 160 * fleetEventSize,
		LengthHint: int(float64(events*fleetEventSize) * (0.75 + 0.5*random.Float64())),
	}
	return r
}

func (f *fleet) serve(t *testing.T, g *gateway.Gateway, r *gateway.Request, counts bool) {
	reply := &timedReply{arrived: r.Arrived}
	refused := g.Serve(t.Context(), r, reply)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !counts {
		return
	}
	f.requests++
	if reply.first == 0 || reply.first > fleetTarget {
		f.late++
	}
	switch {
	case refused == nil:
	case refused.Ran == refusal.RanYes:
		f.cut++
	default:
		f.refused++
	}
}

type (
	// timedReply records when the first event is sent to the caller.
	timedReply struct {
		recordedReply
		arrived time.Time
		first   time.Duration
	}
)

func (r *timedReply) Write(p []byte) error {
	if r.first == 0 {
		r.first = time.Since(r.arrived)
	}
	return nil
}

func (c fleetCount) refusedPerGrant() float64 {
	return float64(c.full) / float64(c.reserves-c.full)
}

func (f *fleet) String() string {
	var prompts []int
	for n := range fleetPrefills {
		prompts = append(prompts, f.engines[fmt.Sprintf("prefill%02d", n)].prompts)
	}
	return fmt.Sprintf("%+v, prompts by engine %v, largest %d", f.fleetCount, prompts, slices.Max(prompts))
}

// A third of the engines are slow. With learned speeds at most half as many generations begin late, at most half as many are cut
// off at their deadlines, or two, and at most half as many reservations are refused for each grant. With slower engines, more
// generations are served, and the refusals only must not increase.
func TestUnevenEnginesArePlacedBySpeed(t *testing.T) {
	tests := map[string]struct {
		slow, perSecond float64
		cutBefore       int
		full            float64
	}{
		"2.4 times slower": {1.7, 53, 0, 0.5},
		"4 times slower":   {2.8, 45, 10, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			before := runFleet(t, fleetRun, 0, tt.perSecond, fleetFactors(tt.slow, 0.7))
			after := runFleet(t, fleetRun, speed.DefaultUnevenFactor, tt.perSecond, fleetFactors(tt.slow, 0.7))
			t.Logf("before: %v", before)
			t.Logf("after: %v", after)
			is.True(before.late > 20 && before.full > 100)
			is.True(2*after.late <= before.late)
			is.True(before.cut >= tt.cutBefore && float64(after.cut) <= max(2, float64(before.cut)/2))
			is.True(after.refusedPerGrant() <= tt.full*before.refusedPerGrant())
		})
	}
}

// Where engines are even, or differ by less than the factor, no engine is judged slow, so that requests are placed as without
// learned speeds. The bursts make queues.
func TestEvenEnginesAreNotPlacedBySpeed(t *testing.T) {
	tests := map[string]func(int) float64{
		"even":            fleetFactors(1, 1),
		"a little uneven": fleetFactors(1.3, 1),
	}
	for name, factors := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(runFleet(t, fleetEvenRun, speed.DefaultUnevenFactor, 53, factors).verdicts.Load(), int64(0))
		})
	}
}
