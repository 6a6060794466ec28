package quota_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/quota"
)

// Guards against an explanation that states another decision than the request then gets, and against one that takes or returns
// a part of a quota: each decision is asked for several times first, with the quota held, used up and refilling, and without
// an allocator.
func TestPeekEqualsTheNextDecisionOfACustomer(t *testing.T) {
	tests := map[string]bool{"with an allocator": false, "without an allocator": true}
	for name, cut := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newCustomerFleet(3, platformBounds, quota.CustomerLimit{Name: hotCustomer, PerSecond: 1000, Burst: 1000})
				defer f.stopAll()
				time.Sleep(startTime)
				e := f.entries[0]
				if e == f.allocatorEntry() {
					e = f.entries[1]
				}
				if cut {
					f.mu.Lock()
					f.cut = func(from, to int) bool { return from != to }
					f.mu.Unlock()
					time.Sleep(startTime)
				}
				outcomes := make(map[string]int)
				for n := range 3000 {
					amount := float64(5 + n%40)
					var p quota.CustomerPeek
					for range 3 {
						p = e.customers.Peek(hotCustomer, amount)
					}
					d := e.customers.Take(t.Context(), hotCustomer, amount)
					switch {
					case p.Asks:
						outcomes["asks"]++
						_, expected := p.Decision.(quota.Allowed)
						if _, allowed := d.(quota.Allowed); allowed == expected {
							outcomes["asks, as estimated"]++
						}
					default:
						outcomes["known"]++
						is.Equal(p.Decision, d)
					}
					if _, denied := d.(quota.Denied); denied {
						outcomes["denied"]++
					}
					time.Sleep(3 * time.Millisecond)
				}
				t.Log(outcomes)
				is.True(outcomes["denied"] > 100)
				is.True(outcomes["known"] > 1000)
				// Where the allocator would be asked, its last answer tells the next one.
				is.True(cut || 10*outcomes["asks, as estimated"] > 9*outcomes["asks"])
			})
		})
	}
}

// The same for limits that upstreams state.
func TestPeekEqualsTheNextDecisionOfALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		limits := quota.NewTable(event.Discard())
		l := quota.NewLimiter("self", limits, lostOwner{}, lostOwner{})
		is.Equal(l.Peek("d1"), quota.Allowed{})
		limits.Observe("d1", quota.Limited{PerSecond: 8}, time.Now())
		is.Equal(l.Peek("d1"), nil) // the owner would be asked
		known, denied := 0, 0
		for range 400 {
			l.Peek("d1")
			p := l.Peek("d1")
			d := l.Take(t.Context(), "d1")
			if p != nil {
				known++
				is.Equal(p, d)
			}
			if _, ok := d.(quota.Denied); ok {
				denied++
			}
			time.Sleep(20 * time.Millisecond)
		}
		is.True(known > 300)
		is.True(denied > 100)
	})
}
