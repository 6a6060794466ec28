package reservation_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/reservation"
	"gooseberrypin.example/router/speed"
	"gooseberrypin.example/router/upstream"
)

const (
	tokenTime    = 4 * time.Millisecond
	engineTokens = 27_000
)

// speedQueue returns a queue that has learned how many times longer than tokenTime each engine takes for a token.
func speedQueue(e *engines, factors []float64) *reservation.Queue {
	table := speed.NewTable(speed.DefaultUnevenFactor)
	speeds := func() *speed.View {
		return table.View(func() []*upstream.Member { return e.members }, "chat", upstream.PhaseDecode, time.Now())
	}
	for range 20 {
		time.Sleep(150 * time.Millisecond)
		for i, m := range e.members {
			table.Record(m.Upstream, 100, time.Duration(100*factors[i]*float64(tokenTime)), time.Now())
		}
		speeds()
	}
	return e.queue(reservation.WithSpeeds(speeds, engineTokens), reservation.WithRandom(rand.New(rand.NewPCG(1, 1))))
}

// output returns a waiter for a stream of a number of tokens, whose caller waits 12 s for its end.
func output(tokens int) reservation.Waiter {
	w := waiter(3000)
	w.OutputTokens, w.Startup, w.Deadline = tokens, 300*time.Millisecond, w.Arrived.Add(12*time.Second)
	return w
}

// grants returns at which engines a number of waiters were granted memory, one after the other. The streams end at once.
func grants(t *testing.T, q *reservation.Queue, e *engines, number int, w func() reservation.Waiter) map[string]int {
	t.Helper()
	is := is.New(t)
	granted := make(map[string]int)
	for range number {
		grant, ok := q.Wait(t.Context(), w())
		is.True(ok)
		granted[grant.Member.ID]++
		e.freeMemory(grant.Member.ID, 3000)
	}
	return granted
}

// A stream that would not end before the deadline at a slow engine, or would pause too long there, goes to another one, even
// if that one has less memory. Short ones also go to slow engines, so that their memory is used.
func TestStreamsGoToEnginesThatAreFastEnough(t *testing.T) {
	tests := map[string]struct {
		factors    []float64
		waiter     func() reservation.Waiter
		from, upTo int
	}{
		"short":     {[]float64{2, 1, 1}, func() reservation.Waiter { return output(200) }, 50, 350},
		"long":      {[]float64{2, 1, 1}, func() reservation.Waiter { return output(1300) }, 1, 200},
		"too long":  {[]float64{2, 1, 1}, func() reservation.Waiter { return output(1700) }, 0, 0},
		"too slow":  {[]float64{7, 1, 1}, func() reservation.Waiter { w := output(200); w.MaxTokenTime = 25 * time.Millisecond; return w }, 0, 0},
		"no bounds": {[]float64{2, 1, 1}, func() reservation.Waiter { return waiter(3000) }, 50, 350},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := newEngines(map[string]int{"a": 90_000, "b": 3000, "c": 3000})
				granted := grants(t, speedQueue(e, tt.factors), e, 600, tt.waiter)
				is.True(granted["a"] >= tt.from && granted["a"] <= tt.upTo)
			})
		})
	}
}

// An engine that is too slow is still better than none.
func TestSlowEngineIsTheLastResort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(map[string]int{"a": 9000, "b": 0, "c": 0})
		grant, ok := speedQueue(e, []float64{2, 1, 1}).Wait(t.Context(), output(1700))
		is.True(ok)
		is.Equal(grant.Member.ID, "a")
		is.True(e.attempts["b"] > 0 && e.attempts["c"] > 0)
	})
}

// An engine that refused memory is not asked again while another one may have it, and the one where a stream of this entry
// has ended is asked first.
func TestRefusedMemoryIsRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		free := map[string]int{}
		for i := range 12 {
			free[fmt.Sprintf("e%02d", i)] = 0
		}
		free["e11"] = 90_000
		e := newEngines(free)
		factors := []float64{2, 2, 2, 1, 1, 1, 1, 1, 1, 1, 1, 1}
		q := speedQueue(e, factors)
		for range 4 {
			_, ok := q.Wait(t.Context(), output(400))
			is.True(ok)
			time.Sleep(60 * time.Millisecond) // longer than the pause after a refusal
		}
		for i := range 11 {
			is.True(e.attempts[fmt.Sprintf("e%02d", i)] <= 1)
		}
		q.Freed("e05")
		e.freeMemory("e05", 3000)
		grant, ok := q.Wait(t.Context(), output(400))
		is.True(ok)
		is.Equal(grant.Member.ID, "e05")
	})
}

// When all engines have refused memory, what one of them frees does not stay unused: it is granted within 100 ms.
func TestFreedMemoryOfLikelyFullEnginesIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(map[string]int{"a": 0, "b": 0, "c": 0})
		q := speedQueue(e, []float64{2, 1, 1})
		var freed time.Time
		time.AfterFunc(300*time.Millisecond, func() {
			freed = time.Now()
			e.freeMemory("c", 3000)
		})
		_, ok := q.Wait(context.WithoutCancel(t.Context()), output(400))
		is.True(ok)
		is.True(time.Since(freed) < 100*time.Millisecond)
	})
}

// Where engines are even, the engine with the fewest tokens of this entry is chosen, as without learned speeds.
func TestEvenEnginesAreChosenByLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(map[string]int{"a": 90_000, "b": 90_000, "c": 90_000})
		q := speedQueue(e, []float64{1.3, 1, 1})
		for _, m := range e.members[1:] {
			m.Begin(100)
		}
		granted := grants(t, q, e, 50, func() reservation.Waiter { return output(1700) })
		is.Equal(granted["a"], 50)
	})
}

// Guards against engines that get nothing while all have memory, a new one above all: an entry with one stream at a time prefers the
// engines where its streams have ended, which are always the same ones.
func TestStreamsSpreadWhileNoEngineRefusesMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(map[string]int{"a": 90_000, "b": 90_000, "c": 90_000, "d": 90_000})
		factors := []float64{2, 2, 1, 1}
		table := speed.NewTable(speed.DefaultUnevenFactor)
		speeds := func() *speed.View {
			return table.View(func() []*upstream.Member { return e.members }, "chat", upstream.PhaseDecode, time.Now())
		}
		q := e.queue(reservation.WithSpeeds(speeds, engineTokens), reservation.WithRandom(rand.New(rand.NewPCG(1, 1))))
		granted := make(map[string]int)
		for n := range 160 {
			for i, m := range e.members {
				table.Record(m.Upstream, 100, time.Duration(100*factors[i]*float64(tokenTime)), time.Now())
			}
			grant, ok := q.Wait(t.Context(), output(200))
			is.True(ok)
			if n >= 80 {
				is.True(speeds().Uneven())
				granted[grant.Member.ID]++
			}
			time.Sleep(150 * time.Millisecond)
			e.freeMemory(grant.Member.ID, 3000)
			q.Freed(grant.Member.ID)
		}
		t.Logf("grants: %v", granted)
		for _, m := range e.members {
			is.True(granted[m.ID] >= 4)
		}
	})
}
