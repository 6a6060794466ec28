package memory_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gooseberrypin.example/router/memory"
)

const (
	limitBytes = 1 << 20
	largeBytes = 256 << 10
	smallBytes = 8 << 10
)

func ignore() {}

func ExampleBudget() {
	b := memory.NewBudget(1 << 20)
	body := b.NewAllocation(func() {})
	fmt.Println(body.Grow(800 << 10))
	fmt.Println(b.NewAllocation(func() {}).Grow(100 << 10))
	fmt.Println(b.NewAllocation(func() {}).Grow(10 << 10))
	body.Release()
	fmt.Println(b.Usage().Used)
	// Output:
	// true
	// false
	// true
	// 10240
}

// fillLarge takes large allocations until none is left.
func fillLarge(b *memory.Budget, evict func()) []*memory.Allocation {
	var all []*memory.Allocation
	for {
		a := b.NewAllocation(evict)
		if !a.Grow(largeBytes) {
			return all
		}
		all = append(all, a)
	}
}

// Guards against large bodies that keep ordinary requests out: a reserve is left for small ones.
func TestSmallRequestFitsBesideLargeOnes(t *testing.T) {
	is := is.New(t)
	b := memory.NewBudget(limitBytes)
	is.Equal(len(fillLarge(b, ignore)), 3)
	is.True(b.NewAllocation(ignore).Grow(smallBytes))
	is.True(!b.NewAllocation(ignore).Grow(largeBytes))
}

// Guards against a wait that never ends, and against bytes that are granted to nobody.
func TestWaitEndsWithPatience(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := memory.NewBudget(limitBytes)
		held := fillLarge(b, ignore)
		began := time.Now()
		is.True(!b.NewAllocation(ignore).GrowWithin(t.Context(), largeBytes, time.Second))
		is.Equal(time.Since(began), time.Second)
		is.Equal(b.Usage().Waiting, 0)
		for _, a := range held {
			a.Release()
		}
		is.Equal(b.Usage().Used, int64(0))
	})
}

// Guards against requests that overtake those that wait for longer.
func TestWaitersAreServedInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := memory.NewBudget(limitBytes)
		held := fillLarge(b, ignore)
		var mu sync.Mutex
		var order []int
		for n := range 3 {
			go func() {
				if b.NewAllocation(ignore).GrowWithin(t.Context(), largeBytes, time.Minute) {
					mu.Lock()
					defer mu.Unlock()
					order = append(order, n)
				}
			}()
			synctest.Wait()
		}
		for _, a := range held {
			a.Release()
			is.True(!b.NewAllocation(ignore).Grow(largeBytes)) // a newcomer does not overtake
			synctest.Wait()
		}
		is.Equal(order, []int{0, 1, 2})
	})
}

// Guards against answers that wait behind the requests that wait for the memory of these answers' requests.
func TestAnswerDoesNotWaitBehindRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := memory.NewBudget(limitBytes)
		held := fillLarge(b, ignore)
		go b.NewAllocation(ignore).GrowWithin(t.Context(), largeBytes, time.Minute)
		synctest.Wait()
		held[0].CompleteRequest()
		is.True(held[0].Grow(smallBytes))
		for _, a := range held {
			a.Release()
		}
	})
}

// A client that stops, or sends a few bytes from time to time, gives way; one that keeps up does not.
func TestEvictionOfClientsWithoutProgress(t *testing.T) {
	tests := map[string]struct {
		bytes    int64
		interval time.Duration
		evicted  bool
	}{
		"stopped":             {0, time.Second, true},
		"a byte at a time":    {1, 400 * time.Millisecond, true},
		"just fast enough":    {4 << 10, time.Second, false},
		"a burst and a pause": {64 << 10, 1900 * time.Millisecond, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := memory.NewBudget(limitBytes)
				evicted := 0
				held := fillLarge(b, func() { evicted++ })
				for _, a := range held {
					a.Await(time.Now())
				}
				for range 10 {
					time.Sleep(tt.interval)
					for _, a := range held {
						a.Progress(tt.bytes, time.Now())
					}
				}
				is.Equal(b.Usage().Evicted, int64(0)) // not without need
				b.NewAllocation(ignore).GrowWithin(t.Context(), largeBytes, 0)
				is.Equal(evicted > 0, tt.evicted)
				is.True(evicted <= 1) // no more than needed
				is.Equal(held[0].Evicted() || held[1].Evicted() || held[2].Evicted(), tt.evicted)
			})
		})
	}
}

// Guards against the eviction of a request that no longer depends on its client.
func TestCompleteRequestIsNotEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := memory.NewBudget(limitBytes)
		for _, a := range fillLarge(b, func() { t.Error("evicted") }) {
			a.Await(time.Now())
			is.True(a.Settle())
		}
		time.Sleep(time.Minute)
		is.True(!b.EvictSlowest(time.Now()))
		is.True(!b.NewAllocation(ignore).GrowWithin(t.Context(), largeBytes, time.Second))
	})
}

// Guards against a request that can never be served and waits all the same, or evicts others.
func TestRequestBeyondBudgetIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := memory.NewBudget(limitBytes)
		a := b.NewAllocation(func() { t.Error("evicted") })
		is.True(a.Grow(smallBytes))
		a.Await(time.Now())
		time.Sleep(time.Minute)
		began := time.Now()
		is.True(!b.NewAllocation(ignore).GrowWithin(t.Context(), limitBytes, time.Minute))
		is.Equal(time.Since(began), time.Duration(0))
	})
}

// Whatever requests do, the bytes in use are those of the allocations, never exceed the limit, and are all free in the end.
func TestBudgetProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := memory.NewBudget(limitBytes)
		var all []*memory.Allocation
		sizes := map[*memory.Allocation]int64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(all) == 0 || rapid.Bool().Draw(t, "new") {
				all = append(all, b.NewAllocation(ignore))
			}
			a := rapid.SampledFrom(all).Draw(t, "allocation")
			bytes := rapid.Int64Range(0, limitBytes/2).Draw(t, "bytes")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				if a.Grow(bytes) {
					sizes[a] += bytes
				}
			case 2:
				bytes = min(bytes, sizes[a])
				a.Shrink(bytes)
				sizes[a] -= bytes
			case 3:
				a.Release()
				sizes[a] = 0
			}
			sum := int64(0)
			for _, size := range sizes {
				sum += size
			}
			if u := b.Usage(); u.Used != sum || u.Used > limitBytes {
				t.Fatalf("%d bytes in use, %d allocated", u.Used, sum)
			}
		}
		for _, a := range all {
			a.Release()
		}
		if used := b.Usage().Used; used != 0 {
			t.Fatalf("%d bytes in use after the end", used)
		}
	})
}
