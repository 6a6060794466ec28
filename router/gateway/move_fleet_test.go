package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gooseberrypin.example/router/gateway"
	"gooseberrypin.example/router/reservation"
	"gooseberrypin.example/router/speed"
	"gooseberrypin.example/router/upstream"
)

const (
	slowDecodes   = 28
	moveCopyTime  = 80 * time.Millisecond
	moveRestTime  = 20 * time.Millisecond
	moveReadTime  = 10 * time.Millisecond
	moveHold      = time.Second
	movePerSecond = 38
	moveRun       = 40 * time.Second
	moveTargetGap = 300 * time.Millisecond
)

type (
	// moveFleet is a fleet whose engines copy the memory of running requests to each other. It implements gateway.Mover.
	moveFleet struct {
		*fleet
		// runs are the latest runs of requests by engine and ID, and copies the copies by their handle.
		runs   map[string]*engineRun
		copies map[string]*engineCopy
		// refusing holds the engines that refuse reservations, and terminated those whose process has ended.
		refusing, terminated map[string]bool
		// copyFault is called before a copy. The copy fails with its result, unless that is nil. copied is called when a copy is
		// complete, before its answer.
		copyFault func(stop bool) gateway.CopyResult
		copied    func(stop bool)
		// lingers reports whether engines write streams on after their runs were stopped.
		lingers bool
		// decodes are the engines that ran a request, in order, and remaining the times that were left to them.
		decodes   []string
		remaining []time.Duration
		moveCount
	}

	// moveCount counts copies, runs that were stopped, continued at the destination or at the source, copies that were freed, and
	// what must not happen: copies that expired unused, and runs that begin while another one works on the request.
	moveCount struct {
		copyCalls, stops, moved, returned, freed, expired, doubled int
	}

	// engineRun is the work of an engine on a request. It implements gateway.Body.
	engineRun struct {
		ctx          context.Context
		fleet        *moveFleet
		engine       *fleetEngine
		key, id      string
		hold         string
		events, sent int
		buffer       bytes.Buffer
		// closed is closed when the stream ends before its end, with err.
		closed chan struct{}
		err    error
		// ended reports whether the engine works on it no more, and stopped whether it keeps the memory.
		ended, stopped, copying bool
		handle                  string
	}

	engineCopy struct {
		id                  string
		source, destination string
		run                 *engineRun
		hold                string
		// used reports whether the handle was used, and continued whether the destination used it. lost reports whether the
		// destination has terminated.
		used, continued, freed, lost bool
		expiry                       *time.Timer
	}
)

func newMoveFleet() *moveFleet {
	return &moveFleet{
		fleet: &fleet{engines: make(map[string]*fleetEngine)}, runs: make(map[string]*engineRun), copies: make(map[string]*engineCopy),
		refusing: make(map[string]bool), terminated: make(map[string]bool),
	}
}

func (f *moveFleet) Reserve(ctx context.Context, m *upstream.Member, tokens int, life time.Duration) reservation.Outcome {
	f.mu.Lock()
	refuses := f.refusing[m.ID]
	f.mu.Unlock()
	if refuses {
		return reservation.Full{}
	}
	return f.fleet.Reserve(ctx, m, tokens, life)
}

func (f *moveFleet) Decode(ctx context.Context, m *upstream.Member, r *gateway.Request, o gateway.DecodeOptions) gateway.Result {
	events, _ := strconv.Atoi(r.Generation.Model)
	sent, _ := strconv.Atoi(o.LastEventID)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.terminated[m.ID] {
		return gateway.NotRun{Reason: gateway.Unreachable, Err: syscall.ECONNREFUSED}
	}
	run := &engineRun{ctx: ctx, fleet: f, engine: f.engines[m.ID], key: m.ID + "/" + r.ID, id: r.ID, hold: o.Reservation, events: events, sent: sent, closed: make(chan struct{})}
	if strings.HasPrefix(o.Cache, "move") {
		c := f.copies[o.Cache]
		if c.used || c.freed || m.ID != c.destination && (m.ID != c.source || !c.run.stopped) {
			return gateway.NotRun{Reason: gateway.Full}
		}
		c.used = true
		if m.ID == c.destination {
			f.moved++
			c.continued = true
			run.hold = c.hold
			f.engines[c.source].free(c.run.hold)
		} else {
			f.returned++
			run.hold = c.run.hold
		}
	}
	for _, other := range f.runs {
		if other.id == r.ID && !other.ended {
			f.doubled++
		}
	}
	f.decodes, f.remaining = append(f.decodes, m.ID), append(f.remaining, o.Remaining)
	f.runs[run.key] = run
	run.engine.running++
	return gateway.Answer{Status: http.StatusOK, Header: http.Header{}, Body: run, Length: -1}
}

func (b *engineRun) Read(p []byte) (int, error) {
	if b.buffer.Len() == 0 {
		b.fleet.mu.Lock()
		if b.sent == b.events && !b.ended {
			b.end()
			b.engine.free(b.hold)
			b.fleet.mu.Unlock()
			return 0, io.EOF
		}
		step := b.engine.factor * float64(fleetStep+time.Duration(b.engine.running)*fleetStreamStep)
		b.fleet.mu.Unlock()
		select {
		case <-b.ctx.Done():
			return 0, b.ctx.Err()
		case <-b.closed:
			return 0, b.err
		case <-time.After(time.Duration(fleetEventSize * step)):
		}
		b.sent++
		fmt.Fprintf(&b.buffer, "id: %d\ndata: x\n\n", b.sent)
	}
	return b.buffer.Read(p)
}

func (b *engineRun) Release() {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	if !b.ended {
		b.end()
		b.engine.free(b.hold)
	}
}

// end ends the work of the engine. The caller holds the lock.
func (b *engineRun) end() {
	if !b.ended {
		b.ended = true
		b.engine.running--
	}
}

// close ends the work and the stream with an error. The caller holds the lock.
func (b *engineRun) close(err error) {
	if !b.ended {
		b.end()
		b.err = err
		close(b.closed)
	}
}

// Copy implements gateway.Mover.
func (f *moveFleet) Copy(ctx context.Context, source *upstream.Member, id string, destination *upstream.Member, stop bool) gateway.CopyResult {
	time.Sleep(fleetMessage)
	if f.copyFault != nil {
		if r := f.copyFault(stop); r != nil {
			return r
		}
	}
	f.mu.Lock()
	f.copyCalls++
	run := f.runs[source.ID+"/"+id]
	switch {
	case run == nil || run.ended:
		f.mu.Unlock()
		return gateway.CopyFailed{Reason: gateway.NoRun}
	case run.copying:
		f.mu.Unlock()
		return gateway.CopyFailed{Reason: gateway.CopyInProgress}
	}
	c, took := f.copies[run.handle], moveRestTime
	if c == nil {
		d, tokens := f.engines[destination.ID], run.engine.reserved[run.hold]
		if f.terminated[destination.ID] || d.used+tokens > fleetMemory || len(d.reserved) >= fleetSlots {
			f.mu.Unlock()
			return gateway.CopyFailed{Reason: gateway.NoRoom}
		}
		run.handle = fmt.Sprintf("move%d", len(f.copies))
		c = &engineCopy{id: id, source: source.ID, destination: destination.ID, run: run, hold: run.handle}
		d.used += tokens
		d.reserved[c.hold] = tokens
		c.expiry = time.AfterFunc(time.Hour, func() { f.expire(c) })
		f.copies[run.handle], took = c, moveCopyTime
	}
	run.copying = true
	c.expiry.Stop()
	if stop {
		f.stops++
		run.stopped = true
		if !f.lingers {
			run.close(io.ErrUnexpectedEOF)
		}
	}
	f.mu.Unlock()
	if source.DataCentre != destination.DataCentre {
		took *= 2
	}
	time.Sleep(took)
	if f.copied != nil {
		f.copied(stop)
	}
	if ctx.Err() != nil {
		return gateway.CopyFailed{Reason: gateway.CopyUnknown, Err: ctx.Err()}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	run.copying = false
	c.expiry.Reset(moveHold)
	switch {
	case f.terminated[source.ID]:
		return gateway.CopyFailed{Reason: gateway.CopyUnknown, Err: io.ErrUnexpectedEOF}
	case f.terminated[destination.ID] && stop:
		return gateway.CopyFailed{Reason: gateway.NoRoom, Cache: run.handle}
	case f.terminated[destination.ID]:
		return gateway.CopyFailed{Reason: gateway.NoRoom}
	}
	return gateway.Copied{Cache: run.handle}
}

func (f *moveFleet) FreeCache(m *upstream.Member, cache string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := f.copies[cache]; c != nil && !(f.terminated[m.ID]) {
		f.free(c)
	}
}

// free frees an unused copy. The caller holds the lock.
func (f *moveFleet) free(c *engineCopy) {
	c.expiry.Stop()
	if c.freed {
		return
	}
	c.freed = true
	f.freed++
	if !c.continued {
		f.engines[c.destination].free(c.hold)
	}
	if !c.used && c.run.stopped {
		c.run.engine.free(c.run.hold)
	}
}

func (f *moveFleet) expire(c *engineCopy) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !c.continued && !c.freed && !c.lost {
		f.expired++
		f.free(c)
	}
}

// crash terminates the process of an engine.
func (f *moveFleet) crash(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.terminated[id] = true
	for _, run := range f.runs {
		if strings.HasPrefix(run.key, id+"/") {
			run.close(syscall.ECONNRESET)
		}
	}
	for _, c := range f.copies {
		c.lost = c.lost || c.destination == id
	}
}

// slowFactors returns the factors of 42 decode engines, of which 28 take 90 to 220 ms for an event and the others 37 to 44 ms.
func slowFactors(engine int) float64 {
	if engine%3 == 0 {
		return 0.88
	}
	return 2.1 + 2.7*float64(engine%slowDecodes)/slowDecodes
}

// runMoveFleet sends generations to entries, which move streams if moves is set, and counts what callers get.
func runMoveFleet(t *testing.T, seed uint64, moves bool, callers *callerCount) *moveFleet {
	t.Helper()
	f := newMoveFleet()
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, seed))
		var entries []*gateway.Gateway
		var tables []*speed.Table
		for i := range fleetEntries {
			d := upstream.NewDirectory()
			f.addEngines(d, fleetPrefills, fleetDecodes, slowFactors)
			tables = append(tables, speed.NewTable(speed.DefaultUnevenFactor))
			opts := []gateway.Option{gateway.WithEntries(func() int { return fleetEntries }), gateway.WithRetryRatio(0.2), gateway.WithSpeeds(tables[i]),
				gateway.WithDataCentre(strconv.Itoa(i % 3)), gateway.WithSeed(uint64(i))}
			if moves {
				opts = append(opts, gateway.WithStreamMoves(f, func(string) bool { return false }, func(string, gateway.MoveOutcome) {}))
			}
			entries = append(entries, gateway.New(moveRules(false), d, f, opts...))
		}
		began := time.Now()
		nextExchange := began
		for requests := 0; time.Since(began) < moveRun; requests++ {
			for ; time.Now().After(nextExchange); nextExchange = nextExchange.Add(time.Second / fleetEntries) {
				a, b := tables[random.IntN(fleetEntries)], tables[random.IntN(fleetEntries)]
				forth, back := a.Shared(time.Now()), b.Shared(time.Now())
				b.Merge(forth, time.Now())
				a.Merge(back, time.Now())
			}
			time.Sleep(time.Duration(random.ExpFloat64() / movePerSecond * float64(time.Second)))
			r := fleetRequest(random)
			r.ID = strconv.Itoa(requests)
			// Estimates are accurate at the median, and often far off.
			r.Generation.LengthHint = int(float64(r.Generation.LengthHint) * math.Exp(0.6*random.NormFloat64()))
			go callers.serve(t, f, entries[random.IntN(fleetEntries)], r, time.Since(began) > fleetWarmup)
		}
		time.Sleep(20 * time.Second)
	})
	return f
}
