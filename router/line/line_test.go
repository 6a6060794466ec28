package line_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/line"
	"gooseberrypin.example/router/upstream"
)

var (
	errDark = errors.New("no answer")
)

type (
	// engines hold memory as model engines do.
	engines struct {
		mu       sync.Mutex
		free     map[string]int
		dark     map[string]bool
		asked    map[string]int
		released []string
		members  []*upstream.Member
	}
)

func newEngines(free map[string]int) *engines {
	e := &engines{free: free, dark: map[string]bool{}, asked: map[string]int{}}
	d := upstream.NewDirectory()
	for id := range free {
		d.Put(upstream.Upstream{ID: id, Pool: "chat", Phase: upstream.PhaseDecode})
	}
	e.members = d.Published("chat", upstream.PhaseDecode)
	return e
}

func (e *engines) reserve(ctx context.Context, m *upstream.Member, tokens int) line.Outcome {
	select {
	case <-ctx.Done():
		return line.Failed{Err: ctx.Err()}
	case <-time.After(time.Millisecond):
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked[m.ID]++
	switch {
	case e.dark[m.ID]:
		return line.Failed{Err: errDark}
	case e.free[m.ID] < tokens:
		return line.Full{}
	}
	e.free[m.ID] -= tokens
	return line.Reserved{ID: m.ID + "-hold"}
}

func (e *engines) give(id string, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.free[id] += tokens
}

func (e *engines) line(opts ...line.Option) *line.Queue {
	release := func(_ *upstream.Member, id string) { e.released = append(e.released, id) }
	return line.NewQueue(e.reserve, release, func() []*upstream.Member { return e.members }, opts...)
}

func waiter(tokens int) line.Waiter {
	now := time.Now()
	return line.Waiter{
		Tokens: tokens, Arrived: now, OnTimeUntil: now.Add(600 * time.Millisecond),
		ExpiresIfContended: now.Add(1200 * time.Millisecond), Expires: now.Add(2 * time.Second),
	}
}

func TestGrantsAtOnceWhereThereIsRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(map[string]int{"a": 100, "b": 5000})
		began := time.Now()
		grant, ok := e.line().Wait(t.Context(), waiter(4000))
		is.True(ok)
		is.Equal(grant.Member.ID, "b")
		is.True(time.Since(began) <= 2*time.Millisecond)
	})
}

func TestWaitsUntilMemoryComesFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(map[string]int{"a": 0})
		l := e.line()
		time.AfterFunc(300*time.Millisecond, func() {
			e.give("a", 4000)
			l.Freed("a")
		})
		began := time.Now()
		_, ok := l.Wait(t.Context(), waiter(4000))
		is.True(ok)
		is.True(time.Since(began) < 310*time.Millisecond)
		is.True(e.asked["a"] < 12) // a full engine is asked again after a pause only
	})
}

func TestRefusesWhenTheTimeIsOver(t *testing.T) {
	tests := map[string]struct {
		others int
		want   time.Duration
	}{
		"alone":                {0, 2 * time.Second},
		"while others are due": {1, 1200 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := newEngines(map[string]int{"a": 0}).line()
				for i := range tt.others {
					go func() {
						time.Sleep(time.Second)
						l.Wait(t.Context(), waiter(1000+i))
					}()
				}
				began := time.Now()
				_, ok := l.Wait(t.Context(), waiter(4000))
				is.True(!ok)
				is.Equal(time.Since(began).Round(50*time.Millisecond), tt.want)
				synctest.Wait()
				time.Sleep(3 * time.Second)
				is.Equal(l.Length(), 0)
			})
		})
	}
}

// Where entries are many, each one knows next to nothing of the engines, and all get a request at once. Each
// request finds memory at the first or second engine that is asked.
func TestManyLinesSpreadOverTheEngines(t *testing.T) {
	const (
		entries = 103
		engines = 104
		memory  = 26000
		tokens  = 3400
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		free := make(map[string]int, engines)
		for i := range engines {
			free[fmt.Sprintf("d%03d", i)] = memory
		}
		e := newEngines(free)
		var wg sync.WaitGroup
		for seed := range uint64(entries) {
			l := e.line(line.WithRandom(rand.New(rand.NewPCG(seed, 1))))
			wg.Go(func() {
				_, ok := l.Wait(t.Context(), waiter(tokens))
				is.True(ok)
			})
		}
		wg.Wait()
		asked, most := 0, 0
		for _, n := range e.asked {
			asked += n
			most = max(most, n)
		}
		is.True(asked <= entries+entries/10) // reservations asked for
		is.True(most <= memory/tokens)       // the busiest engine has room for all that it is asked
	})
}

// In a burst that fills all engines, the entries together ask each engine once in 13 ms, and memory that
// comes free is found at once.
func TestFullEnginesAreAskedInTurn(t *testing.T) {
	const (
		entries, engines = 103, 104
		waiters          = 2 * entries
		tokens           = 3400
		burst            = 2 * time.Second
		apart            = 13 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		free := make(map[string]int, engines)
		for i := range engines {
			free[fmt.Sprintf("d%03d", i)] = 0
		}
		e := newEngines(free)
		began := time.Now()
		var granted time.Time
		var wg sync.WaitGroup
		for seed := range uint64(entries) {
			l := e.line(line.WithRandom(rand.New(rand.NewPCG(seed, 1))), line.WithEntries(func() int { return entries }))
			for range waiters / entries {
				w := waiter(tokens)
				w.OnTimeUntil, w.ExpiresIfContended, w.Expires = began.Add(time.Minute), began.Add(burst), began.Add(burst)
				wg.Go(func() {
					if _, ok := l.Wait(t.Context(), w); ok {
						granted = time.Now()
					}
				})
			}
		}
		time.Sleep(burst / 2)
		freed := time.Now()
		e.give("d050", tokens)
		wg.Wait()
		is.True(granted.Sub(freed) < 100*time.Millisecond)
		asked := 0
		for _, n := range e.asked {
			asked += n
		}
		// Four at once for each waiter, the first one in turn of each entry, then one in each interval.
		is.True(asked <= 4*waiters+entries+int(engines*burst/apart))
	})
}

// The number of engines that were asked is told of a refused request too.
func TestRefusalTellsWhatWasAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(map[string]int{"a": 0, "b": 0})
		grant, ok := e.line().Wait(t.Context(), waiter(4000))
		is.True(!ok)
		is.Equal(grant.Attempts, e.asked["a"]+e.asked["b"])
	})
}

// In a burst, memory goes to who can still be on time, before who is late already.
func TestLateWaitersComeLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(map[string]int{"a": 0})
		l := e.line()
		var order []string
		var mu sync.Mutex
		enter := func(name string, w line.Waiter) {
			go func() {
				if _, ok := l.Wait(t.Context(), w); ok {
					mu.Lock()
					order = append(order, name)
					mu.Unlock()
				}
			}()
			synctest.Wait()
		}
		late := waiter(1000)
		late.OnTimeUntil = time.Now()
		enter("late", late)
		enter("long", waiter(2000))
		enter("short", waiter(1000))
		resumed := waiter(3000)
		resumed.Resumed = true
		enter("resumed", resumed)
		for _, tokens := range []int{3000, 1000, 2000, 1000} {
			time.Sleep(60 * time.Millisecond)
			e.give("a", tokens)
			l.Freed("a")
			synctest.Wait()
		}
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		is.Equal(order, []string{"resumed", "short", "long", "late"})
	})
}

// congest lets patient waiters fill a line, and grants memory to four of them, 150 ms apart.
func congest(t *testing.T, l *line.Queue, e *engines, waiters int) {
	t.Helper()
	for range waiters {
		w := waiter(1000)
		w.OnTimeUntil, w.Expires = w.OnTimeUntil.Add(time.Minute), w.Expires.Add(time.Minute)
		go l.Wait(t.Context(), w)
	}
	for range 4 {
		time.Sleep(150 * time.Millisecond)
		e.give("a", 1000)
		l.Freed("a")
	}
	time.Sleep(10 * time.Millisecond)
}

// A newcomer who can't be on time is refused at once, with time to come back.
func TestHopelessNewcomerIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(map[string]int{"a": 0})
		l := e.line()
		congest(t, l, e, 12)
		began := time.Now()
		_, ok := l.Wait(t.Context(), waiter(9000))
		is.True(!ok)
		is.Equal(time.Since(began), time.Duration(0))
		time.Sleep(2 * time.Minute)
	})
}

func TestDarkEngineIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(map[string]int{"a": 9000, "b": 0})
		e.dark["a"] = true
		l := e.line()
		time.AfterFunc(200*time.Millisecond, func() { e.give("b", 4000) })
		grant, ok := l.Wait(t.Context(), waiter(4000))
		is.True(ok)
		is.Equal(grant.Member.ID, "b")
		is.Equal(e.asked["a"], 1)
	})
}

// Memory that was granted to a caller who has left goes back.
func TestCallerWhoLeavesHoldsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(map[string]int{"a": 0})
		l := e.line()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan bool)
		go func() {
			_, ok := l.Wait(ctx, waiter(4000))
			done <- ok
		}()
		time.Sleep(50 * time.Millisecond)
		cancel()
		is.True(!<-done)
		is.Equal(l.Length(), 0)
		time.Sleep(time.Second)
		is.Equal(len(e.released), 0)
	})
}

// A request that comes back late is refused at once as well when there is no room for it soon.
func TestLateReturnIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(map[string]int{"a": 0})
		l := e.line()
		congest(t, l, e, 20)
		late := waiter(1000)
		late.OnTimeUntil = late.Arrived
		began := time.Now()
		_, ok := l.Wait(t.Context(), late)
		is.True(!ok)
		is.Equal(time.Since(began), time.Duration(0))
		time.Sleep(2 * time.Minute)
	})
}

// In a burst two entries share an engine that frees one place after another. Those who can still be
// on time at one entry find room before those who are late at the other.
func TestLateWaitersLeaveRoomToThoseOnTimeElsewhere(t *testing.T) {
	const places, waiters = 14, 12
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(map[string]int{"a": 0})
		first, second := e.line(), e.line()
		var mu sync.Mutex
		granted := map[bool]int{}
		var wg sync.WaitGroup
		wait := func(l *line.Queue, late bool) {
			w := waiter(100)
			w.OnTimeUntil, w.ExpiresIfContended, w.Expires = w.Arrived.Add(time.Second), w.Arrived.Add(2*time.Second), w.Arrived.Add(2*time.Second)
			if late {
				w.OnTimeUntil = w.Arrived.Add(-time.Millisecond)
			}
			wg.Go(func() {
				if _, ok := l.Wait(t.Context(), w); ok {
					mu.Lock()
					granted[late]++
					mu.Unlock()
				}
			})
		}
		for range waiters {
			wait(first, true)
			wait(second, false)
		}
		for n := range places {
			time.AfterFunc(time.Duration(n+1)*60*time.Millisecond, func() { e.give("a", 100) })
		}
		time.Sleep(950 * time.Millisecond)
		mu.Lock()
		onTime, late := granted[false], granted[true]
		mu.Unlock()
		is.True(onTime+late >= places-1) // no place stays empty for long
		is.True(onTime >= 2*late)
		wg.Wait()
	})
}
