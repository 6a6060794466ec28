package revocation_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/revocation"
)

const (
	deadline = 5 * time.Second
	// latency is the time of an answer of the source or of an entry, and responseTimeout the time after which a read fails.
	latency         = 10 * time.Millisecond
	responseTimeout = 800 * time.Millisecond
	probeTimeout    = 500 * time.Millisecond
	longestWatch    = 2 * time.Second
)

type (
	// fakeClock is the clock of a process that was suspended for a time, during which its monotonic clock stopped.
	fakeClock struct {
		start     time.Time
		mu        sync.Mutex
		suspended time.Duration
	}

	// entry follows a source as an entry does, in virtual time.
	entry struct {
		*revocation.Knowledge
		clock     *fakeClock
		mu        sync.Mutex
		connected bool
		asked     atomic.Int64
		reads     atomic.Int64
	}
)

func (c *fakeClock) Now() revocation.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	elapsed := time.Since(c.start)
	return revocation.Instant{Monotonic: elapsed, Boot: elapsed + c.suspended}
}

func (c *fakeClock) suspend(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspended += d
}

func newClock() *fakeClock { return &fakeClock{start: time.Now()} }

func newEntry(opts ...revocation.Option) *entry {
	c := newClock()
	return &entry{Knowledge: revocation.NewKnowledge(deadline, append(opts, revocation.WithClock(c))...), clock: c, connected: true}
}

func (e *entry) setConnected(connected bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.connected = connected
}

func (e *entry) isConnected() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.connected
}

// follow watches the source until done is closed. After a failure it probes.
func (e *entry) follow(done <-chan struct{}) {
	for failed := false; !closed(done); {
		wait, timeout := e.WatchWait(longestWatch), responseTimeout
		if failed {
			wait, timeout = 0, probeTimeout
		}
		sent := e.Now()
		e.reads.Add(1)
		time.Sleep(wait + latency)
		if failed = !e.isConnected(); failed {
			time.Sleep(timeout)
			continue
		}
		e.Prove(sent.Add(wait))
	}
}

// askPeers asks two of the others for the age of their knowledge whenever it is due, until done is closed.
func (e *entry) askPeers(done <-chan struct{}, others []*entry, random *rand.Rand) {
	for !closed(done) {
		ask, pause := e.AskPeers()
		if ask && len(others) > 0 {
			sent := e.Now()
			time.Sleep(latency)
			for range 2 {
				peer := others[random.IntN(len(others))]
				if age, known := peer.Age(); known && age < deadline {
					e.Prove(sent.Add(-age))
				}
				e.asked.Add(1)
			}
		}
		time.Sleep(pause)
	}
}

func closed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

func trusted(e *entry) bool {
	_, ok := e.Check().(revocation.Trusted)
	return ok
}

// runFleet runs entries until during returns.
func runFleet(t *testing.T, n int, during func(t *testing.T, entries []*entry)) {
	synctest.Test(t, func(t *testing.T) {
		var entries []*entry
		for range n {
			entries = append(entries, newEntry())
		}
		done := make(chan struct{})
		var wg sync.WaitGroup
		defer wg.Wait()
		defer close(done)
		for n, e := range entries {
			others := append(append([]*entry{}, entries[:n]...), entries[n+1:]...)
			wg.Go(func() { e.follow(done) })
			wg.Go(func() { e.askPeers(done, others, rand.New(rand.NewPCG(uint64(n), 3))) })
		}
		during(t, entries)
	})
}

// gap returns the longest time for which an entry did not trust its keys within a time.
func gap(e *entry, within time.Duration) time.Duration {
	longest, current := time.Duration(0), time.Duration(0)
	const step = 10 * time.Millisecond
	for range within / step {
		time.Sleep(step)
		current += step
		if trusted(e) {
			current = 0
		}
		longest = max(longest, current)
	}
	return longest
}

// A watch that waits proves nothing until it returns, so in calm conditions an entry must neither stop trusting its keys nor
// ask others, and must not read more often than the wait allows.
func TestCalmEntryTrustsKeysWithoutAskingOthers(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, entries []*entry) {
		is := is.New(t)
		time.Sleep(time.Second)
		is.Equal(gap(entries[0], time.Minute), time.Duration(0))
		for _, e := range entries {
			is.Equal(e.asked.Load(), int64(0))
			is.True(e.reads.Load() <= 61*2/3+2) // one read in 1.5 s
		}
	})
}

// The source is away for all entries for six tenths of the deadline, in which requests are judged: no request is refused.
func TestShortOutageOfTheSourceRefusesNothing(t *testing.T) {
	for began := time.Duration(0); began < 1600*time.Millisecond; began += 100 * time.Millisecond {
		t.Run(fmt.Sprint(began), func(t *testing.T) {
			runFleet(t, 3, func(t *testing.T, entries []*entry) {
				time.Sleep(3*time.Second + began)
				for _, e := range entries {
					e.setConnected(false)
				}
				if g := gap(entries[0], deadline*6/10); g > 0 {
					t.Fatalf("refused for %v", g)
				}
			})
		})
	}
}

// Entries that are cut off from the source serve without a gap while one other entry has it.
func TestEntriesWithoutTheSourceServeByTheKnowledgeOfOthers(t *testing.T) {
	tests := map[string]struct{ entries, connected int }{"one of two": {2, 1}, "half": {8, 4}, "one of eight": {8, 1}, "one of forty": {40, 1}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			runFleet(t, tt.entries, func(t *testing.T, entries []*entry) {
				is := is.New(t)
				time.Sleep(3 * time.Second)
				for _, e := range entries[tt.connected:] {
					e.setConnected(false)
				}
				var wg sync.WaitGroup
				for _, e := range entries {
					wg.Go(func() { is.Equal(gap(e, time.Minute), time.Duration(0)) })
				}
				wg.Wait()
			})
		})
	}
}

// Without the source anywhere, keys are trusted for less than the deadline, and again with the first answer. Knowledge that
// entries pass on to each other must not become younger.
func TestKeysAreNotTrustedPastTheDeadline(t *testing.T) {
	runFleet(t, 8, func(t *testing.T, entries []*entry) {
		is := is.New(t)
		time.Sleep(3 * time.Second)
		for _, e := range entries {
			e.setConnected(false)
		}
		time.Sleep(deadline * 95 / 100)
		for range 1000 {
			for _, e := range entries {
				is.True(!trusted(e))
			}
			time.Sleep(10 * time.Millisecond)
		}
		entries[0].setConnected(true)
		time.Sleep(probeTimeout + 4*latency)
		is.True(trusted(entries[0]))
		time.Sleep(2 * time.Second)
		for _, e := range entries {
			is.True(trusted(e))
		}
	})
}

// The monotonic clock of a suspended process stops. The first request after it must find the keys outdated, before any timer
// has run.
func TestSuspendedProcessDoesNotTrustItsKeys(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, entries []*entry) {
		is := is.New(t)
		e := entries[0]
		time.Sleep(3 * time.Second)
		is.True(trusted(e))
		e.clock.suspend(deadline)
		verdict, outdated := e.Check().(revocation.Outdated)
		is.True(outdated)
		is.Equal(verdict.Suspended, deadline)
		time.Sleep(longestWatch)
		is.True(trusted(e)) // by the next answer
	})
}

// A change of the verdict is reported once. A process that has just started is not reported until it is late.
func TestChangesAreReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var reported []string
		c := newClock()
		k := revocation.NewKnowledge(deadline, revocation.WithClock(c), revocation.WithChangeHandler(func(v revocation.Verdict) {
			reported = append(reported, fmt.Sprintf("%T", v))
		}))
		_, outdated := k.Check().(revocation.Outdated)
		is.True(outdated) // nothing is known yet
		is.Equal(len(reported), 0)
		k.Prove(k.Now())
		is.Equal(k.Check(), revocation.Trusted{})
		for range 3 {
			time.Sleep(deadline)
			k.Check()
		}
		is.Equal(reported, []string{"revocation.Outdated"})
		k.Prove(k.Now().Add(-deadline)) // too old
		is.Equal(len(reported), 1)
		k.Prove(k.Now())
		k.Prove(k.Now().Add(-time.Second)) // does not replace later knowledge
		age, known := k.Age()
		is.Equal(age, time.Duration(0))
		is.True(known)
		is.Equal(reported, []string{"revocation.Outdated", "revocation.Trusted"})
	})
}

// A process that never gains knowledge says so once it is late.
func TestLateStartIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		reports := 0
		k := revocation.NewKnowledge(deadline, revocation.WithClock(newClock()), revocation.WithChangeHandler(func(revocation.Verdict) { reports++ }))
		time.Sleep(deadline)
		k.Check()
		k.Check()
		is.Equal(reports, 1)
	})
}

// Without a deadline, reads and pauses are those of deployments before customers, and keys are always trusted.
func TestWithoutADeadlineNothingChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k := revocation.NewKnowledge(0, revocation.WithClock(newClock()))
		time.Sleep(time.Hour)
		is.Equal(k.Check(), revocation.Trusted{Age: time.Hour})
		is.Equal(k.WatchWait(longestWatch), longestWatch)
		is.Equal(k.Pause(time.Second), time.Second)
		ask, _ := k.AskPeers()
		is.True(!ask)
	})
}

// The pauses after changes must not make the knowledge so old that other entries are asked.
func TestWaitsAndPausesFitIntoTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k := revocation.NewKnowledge(deadline, revocation.WithClock(newClock()))
		random := rand.New(rand.NewPCG(1, 1))
		is.Equal(k.WatchWait(longestWatch), time.Duration(0)) // the first read returns at once
		k.Prove(k.Now())
		for range 1000 {
			wait := k.WatchWait(longestWatch)
			sent := k.Now()
			if random.IntN(2) == 0 {
				// A change ends the watch early, so it proves only the instant at which it was sent.
				time.Sleep(time.Duration(random.Float64() * float64(wait)))
				k.Prove(sent)
				time.Sleep(k.Pause(750 * time.Millisecond))
			} else {
				time.Sleep(wait + latency)
				k.Prove(sent.Add(wait))
			}
			ask, _ := k.AskPeers()
			is.True(!ask)
		}
	})
}

// The kernel's clocks advance together while the process runs.
func TestSystemClock(t *testing.T) {
	is := is.New(t)
	var c revocation.SystemClock
	first := c.Now()
	is.True(first.Boot > 0)
	for c.Now().Since(first) == 0 {
	}
	is.True(c.Now().Since(first) < time.Minute)
	is.Equal(first.Add(time.Second).Since(first), time.Second)
}
