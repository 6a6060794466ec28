package reservation_test

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

	"gooseberrypin.example/router/reservation"
	"gooseberrypin.example/router/upstream"
)

var (
	errUnreachable = errors.New("no answer")
)

type (
	// engines fakes the memory of a pool's model engines.
	engines struct {
		mu          sync.Mutex
		free        map[string]int
		unreachable map[string]bool
		attempts    map[string]int
		released    []string
		members     []*upstream.Member
	}
)

func newEngines(free map[string]int) *engines {
	e := &engines{free: free, unreachable: map[string]bool{}, attempts: map[string]int{}}
	d := upstream.NewDirectory()
	for id := range free {
		d.Put(upstream.Upstream{ID: id, Pool: "chat", Phase: upstream.PhaseDecode})
	}
	e.members = d.Published("chat", upstream.PhaseDecode)
	return e
}

func (e *engines) reserve(ctx context.Context, m *upstream.Member, tokens int) reservation.Outcome {
	select {
	case <-ctx.Done():
		return reservation.Failed{Err: ctx.Err()}
	case <-time.After(time.Millisecond):
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts[m.ID]++
	switch {
	case e.unreachable[m.ID]:
		return reservation.Failed{Err: errUnreachable}
	case e.free[m.ID] < tokens:
		return reservation.Full{}
	}
	e.free[m.ID] -= tokens
	return reservation.Reserved{ID: m.ID + "-hold"}
}

func (e *engines) freeMemory(id string, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.free[id] += tokens
}

func (e *engines) queue(opts ...reservation.Option) *reservation.Queue {
	release := func(_ *upstream.Member, id string) { e.released = append(e.released, id) }
	return reservation.NewQueue(e.reserve, release, func() []*upstream.Member { return e.members }, opts...)
}

func waiter(tokens int) reservation.Waiter {
	now := time.Now()
	return reservation.Waiter{
		Tokens: tokens, Arrived: now, OnTimeUntil: now.Add(600 * time.Millisecond),
		ExpiresIfContended: now.Add(1200 * time.Millisecond), Expires: now.Add(2 * time.Second),
	}
}

func TestWaitGrantsImmediatelyWhenMemoryIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(map[string]int{"a": 100, "b": 5000})
		began := time.Now()
		grant, ok := e.queue().Wait(t.Context(), waiter(4000))
		is.True(ok)
		is.Equal(grant.Member.ID, "b")
		is.True(time.Since(began) <= 2*time.Millisecond)
	})
}

func TestWaitBlocksUntilMemoryIsFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(map[string]int{"a": 0})
		q := e.queue()
		time.AfterFunc(300*time.Millisecond, func() {
			e.freeMemory("a", 4000)
			q.Freed("a")
		})
		began := time.Now()
		_, ok := q.Wait(t.Context(), waiter(4000))
		is.True(ok)
		is.True(time.Since(began) < 310*time.Millisecond)
		is.True(e.attempts["a"] < 12) // attempts at a full engine are paced
	})
}

func TestWaiterIsRefusedAtItsDeadline(t *testing.T) {
	tests := map[string]struct {
		others int
		want   time.Duration
	}{
		"no other waiter":              {0, 2 * time.Second},
		"another waiter within target": {1, 1200 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				q := newEngines(map[string]int{"a": 0}).queue()
				for i := range tt.others {
					go func() {
						time.Sleep(time.Second)
						q.Wait(t.Context(), waiter(1000+i))
					}()
				}
				began := time.Now()
				_, ok := q.Wait(t.Context(), waiter(4000))
				is.True(!ok)
				is.Equal(time.Since(began).Round(50*time.Millisecond), tt.want)
				synctest.Wait()
				time.Sleep(3 * time.Second)
				is.Equal(q.Length(), 0)
			})
		})
	}
}

// Many entries get a request at the same time, and each one has no load figures of the engines. Nearly all requests
// are granted memory by the first attempt, without overloading any engine.
func TestManyQueuesSpreadOverEngines(t *testing.T) {
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
			q := e.queue(reservation.WithRandom(rand.New(rand.NewPCG(seed, 1))))
			wg.Go(func() {
				_, ok := q.Wait(t.Context(), waiter(tokens))
				is.True(ok)
			})
		}
		wg.Wait()
		attempts, most := 0, 0
		for _, n := range e.attempts {
			attempts += n
			most = max(most, n)
		}
		is.True(attempts <= entries+entries/10) // at most a tenth of the requests need a second attempt
		is.True(most <= memory/tokens)          // the busiest engine has memory for all its requests
	})
}

// In a burst that fills all engines, all entries together make one paced attempt at each engine in 13 ms. Memory
// that an engine frees is still granted within 100 ms.
func TestAttemptsAtFullEnginesArePaced(t *testing.T) {
	const (
		entries, engines = 103, 104
		waiters          = 2 * entries
		tokens           = 3400
		burst            = 2 * time.Second
		attemptInterval  = 13 * time.Millisecond
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
			q := e.queue(reservation.WithRandom(rand.New(rand.NewPCG(seed, 1))), reservation.WithEntries(func() int { return entries }))
			for range waiters / entries {
				w := waiter(tokens)
				w.OnTimeUntil, w.ExpiresIfContended, w.Expires = began.Add(time.Minute), began.Add(burst), began.Add(burst)
				wg.Go(func() {
					if _, ok := q.Wait(t.Context(), w); ok {
						granted = time.Now()
					}
				})
			}
		}
		time.Sleep(burst / 2)
		freed := time.Now()
		e.freeMemory("d050", tokens)
		wg.Wait()
		is.True(granted.Sub(freed) < 100*time.Millisecond)
		attempts := 0
		for _, n := range e.attempts {
			attempts += n
		}
		// Four unpaced attempts of each waiter, the first paced attempt of each entry, then one in each interval.
		is.True(attempts <= 4*waiters+entries+int(engines*burst/attemptInterval))
	})
}

// The grant of a refused waiter reports the number of attempts too.
func TestRefusalReportsAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(map[string]int{"a": 0, "b": 0})
		grant, ok := e.queue().Wait(t.Context(), waiter(4000))
		is.True(!ok)
		is.Equal(grant.Attempts, e.attempts["a"]+e.attempts["b"])
	})
}

// Resumed waiters are granted memory first, then those that can still meet their target, the smallest first, then
// the late ones.
func TestLateWaitersRankLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(map[string]int{"a": 0})
		q := e.queue()
		var order []string
		var mu sync.Mutex
		enter := func(name string, w reservation.Waiter) {
			go func() {
				if _, ok := q.Wait(t.Context(), w); ok {
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
			e.freeMemory("a", tokens)
			q.Freed("a")
			synctest.Wait()
		}
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		is.Equal(order, []string{"resumed", "short", "long", "late"})
	})
}

// fillQueue queues waiters with distant deadlines and grants memory to four of them, 150 ms apart.
func fillQueue(t *testing.T, q *reservation.Queue, e *engines, waiters int) {
	t.Helper()
	for range waiters {
		w := waiter(1000)
		w.OnTimeUntil, w.Expires = w.OnTimeUntil.Add(time.Minute), w.Expires.Add(time.Minute)
		go q.Wait(t.Context(), w)
	}
	for range 4 {
		time.Sleep(150 * time.Millisecond)
		e.freeMemory("a", 1000)
		q.Freed("a")
	}
	time.Sleep(10 * time.Millisecond)
}

// A new waiter that is predicted to miss its target is refused immediately, so that the caller can still retry.
func TestWaiterThatCannotMeetTargetIsRefusedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(map[string]int{"a": 0})
		q := e.queue()
		fillQueue(t, q, e, 12)
		began := time.Now()
		_, ok := q.Wait(t.Context(), waiter(9000))
		is.True(!ok)
		is.Equal(time.Since(began), time.Duration(0))
		time.Sleep(2 * time.Minute)
	})
}

func TestUnreachableEngineIsNotRetriedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(map[string]int{"a": 9000, "b": 0})
		e.unreachable["a"] = true
		q := e.queue()
		time.AfterFunc(200*time.Millisecond, func() { e.freeMemory("b", 4000) })
		grant, ok := q.Wait(t.Context(), waiter(4000))
		is.True(ok)
		is.Equal(grant.Member.ID, "b")
		is.Equal(e.attempts["a"], 1)
	})
}

// A waiter whose context is cancelled leaves the queue. It holds no memory, and none is released for it.
func TestCancelledWaiterHoldsNoMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(map[string]int{"a": 0})
		q := e.queue()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan bool)
		go func() {
			_, ok := q.Wait(ctx, waiter(4000))
			done <- ok
		}()
		time.Sleep(50 * time.Millisecond)
		cancel()
		is.True(!<-done)
		is.Equal(q.Length(), 0)
		time.Sleep(time.Second)
		is.Equal(len(e.released), 0)
	})
}

// A resent request past its target is refused immediately too when no memory is expected before its deadline.
func TestLateResendIsRefusedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(map[string]int{"a": 0})
		q := e.queue()
		fillQueue(t, q, e, 20)
		late := waiter(1000)
		late.OnTimeUntil = late.Arrived
		began := time.Now()
		_, ok := q.Wait(t.Context(), late)
		is.True(!ok)
		is.Equal(time.Since(began), time.Duration(0))
		time.Sleep(2 * time.Minute)
	})
}

// Two entries share an engine that frees memory for one stream at a time. One entry has only late waiters, the
// other one only on-time waiters. The on-time waiters get at least twice as many grants as the late ones.
func TestLateWaitersYieldToOnTimeWaitersOfOtherEntries(t *testing.T) {
	const releases, waiters = 14, 12
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(map[string]int{"a": 0})
		first, second := e.queue(), e.queue()
		var mu sync.Mutex
		granted := map[bool]int{}
		var wg sync.WaitGroup
		wait := func(q *reservation.Queue, late bool) {
			w := waiter(100)
			w.OnTimeUntil, w.ExpiresIfContended, w.Expires = w.Arrived.Add(time.Second), w.Arrived.Add(2*time.Second), w.Arrived.Add(2*time.Second)
			if late {
				w.OnTimeUntil = w.Arrived.Add(-time.Millisecond)
			}
			wg.Go(func() {
				if _, ok := q.Wait(t.Context(), w); ok {
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
		for n := range releases {
			time.AfterFunc(time.Duration(n+1)*60*time.Millisecond, func() { e.freeMemory("a", 100) })
		}
		time.Sleep(950 * time.Millisecond)
		mu.Lock()
		onTime, late := granted[false], granted[true]
		mu.Unlock()
		is.True(onTime+late >= releases-1) // freed memory does not stay unused for long
		is.True(onTime >= 2*late)
		wg.Wait()
	})
}
