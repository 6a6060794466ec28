package reservation_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/contention"
	"gooseberrypin.example/router/reservation"
)

// standing returns a standing in force of a pool with three priorities.
func standing(rank int, beyond bool) contention.Standing {
	return contention.Standing{InForce: true, Rank: rank, Ranks: 3, BeyondShare: beyond}
}

// Memory that is freed must go to the higher standing, also when it is late while a less urgent one with a longer target is
// not, and to a large generation that has waited before a small one that has just come.
func TestOrderByStanding(t *testing.T) {
	type entrant struct {
		name     string
		after    time.Duration
		tokens   int
		late     bool
		resumed  bool
		standing contention.Standing
	}
	tests := map[string]struct {
		entrants []entrant
		want     []string
	}{
		"the more urgent, though late": {
			[]entrant{{name: "less", tokens: 1000, standing: standing(1, false)}, {name: "urgent", tokens: 1000, late: true, standing: standing(0, false)}},
			[]string{"urgent", "less"},
		},
		"within the share before beyond it, though late": {
			[]entrant{{name: "beyond", tokens: 1000, standing: standing(1, true)}, {name: "within", tokens: 1000, late: true, standing: standing(1, false)}},
			[]string{"within", "beyond"},
		},
		"on time before late": {
			[]entrant{{name: "late", tokens: 1000, late: true, standing: standing(1, false)}, {name: "on time", tokens: 1000, standing: standing(1, false)}},
			[]string{"on time", "late"},
		},
		"resumed before urgent": {
			[]entrant{{name: "urgent", tokens: 1000, standing: standing(0, false)}, {name: "resumed", tokens: 1000, resumed: true, standing: standing(2, true)}},
			[]string{"resumed", "urgent"},
		},
		"small before large that came with it": {
			[]entrant{{name: "large", tokens: 3000, standing: standing(1, false)}, {name: "small", tokens: 1000, standing: standing(1, false)}},
			[]string{"small", "large"},
		},
		"large that has waited before small": {
			[]entrant{{name: "large", tokens: 3000, standing: standing(1, false)}, {name: "small", after: 200 * time.Millisecond, tokens: 1000, standing: standing(1, false)}},
			[]string{"large", "small"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := newEngines(map[string]int{"a": 0})
				q := e.queue()
				var mu sync.Mutex
				var order []string
				for _, in := range tt.entrants {
					time.Sleep(in.after)
					w := waiter(in.tokens)
					w.Standing, w.Resumed = in.standing, in.resumed
					w.ExpiresIfContended, w.Expires = w.Arrived.Add(time.Minute), w.Arrived.Add(time.Minute)
					if in.late {
						w.OnTimeUntil = w.Arrived
					}
					go func() {
						if _, ok := q.Wait(t.Context(), w); ok {
							mu.Lock()
							defer mu.Unlock()
							order = append(order, in.name)
						}
					}()
					synctest.Wait()
				}
				for range tt.want {
					time.Sleep(60 * time.Millisecond)
					waiting := q.Length()
					e.freeMemory("a", 3000)
					q.Freed("a")
					for waiting > 0 && q.Length() == waiting {
						time.Sleep(time.Millisecond)
					}
					e.mu.Lock()
					e.free["a"] = 0
					e.mu.Unlock()
				}
				synctest.Wait()
				mu.Lock()
				defer mu.Unlock()
				is.Equal(order, tt.want)
			})
		})
	}
}

// When not all can begin in time, the one beyond its customer's share must be refused at once, though it came first, and the
// others must not.
func TestLowestStandingIsRefusedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(map[string]int{"a": 0})
		q := e.queue()
		fillQueue(t, q, e, 4)
		low := waiter(1000)
		low.Standing = standing(1, true)
		denied := make(chan reservation.Denial, 1)
		go func() {
			grant, _ := q.Wait(t.Context(), low)
			denied <- grant.Denial
		}()
		time.Sleep(100 * time.Millisecond)
		is.Equal(len(denied), 0)
		for range 4 {
			w := waiter(1000)
			w.Standing = standing(1, false)
			w.OnTimeUntil, w.ExpiresIfContended, w.Expires = w.Arrived.Add(time.Minute), w.Arrived.Add(time.Minute), w.Arrived.Add(time.Minute)
			go q.Wait(t.Context(), w)
		}
		time.Sleep(100 * time.Millisecond)
		is.Equal(len(denied), 1)
		is.Equal(<-denied, reservation.Outranked)
		is.Equal(q.Length(), 4)
		time.Sleep(2 * time.Minute)
	})
}

// The lowest standing must be granted memory at once while some is free, however scarce it was just before.
func TestLowestStandingIsGrantedFreeMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(map[string]int{"a": 0})
		q := e.queue()
		fillQueue(t, q, e, 4)
		e.freeMemory("a", 10_000)
		low := waiter(1000)
		low.Standing = standing(2, true)
		began := time.Now()
		_, ok := q.Wait(t.Context(), low)
		is.True(ok)
		is.True(time.Since(began) <= 60*time.Millisecond) // a refusal counts for 40 ms
	})
}
