// Package revocation decides whether an entry's knowledge of the configuration is recent enough to trust the keys of
// customers, any of which may have been revoked since.
package revocation

import (
	"sync"
	"time"
)

const (
	// trustedShare is the part of the deadline for which keys are trusted. The rest covers clocks of different rates.
	trustedShare = 0.95
	// askShare is the part of the deadline after which other entries are asked, which leaves time for several rounds.
	askShare = 0.4
	// watchShare is the part of the deadline for which a watch of the configuration's source waits for a change. It lets an
	// outage of the source of six tenths of the deadline pass unnoticed.
	watchShare = 0.3
	// answerShare is the part of the deadline in which the source answers a read in calm conditions.
	answerShare = 0.06
	// askPause is the pause between two rounds of questions to other entries.
	askPause = 200 * time.Millisecond
	// outdatedAskPause replaces askPause while keys are not trusted. No entry then has recent knowledge, most likely, and all
	// of them ask.
	outdatedAskPause = 500 * time.Millisecond
)

type (
	// Verdict is whether keys are trusted: Trusted or Outdated.
	//
	//sumtype:decl
	Verdict interface{ verdict() }

	// Trusted means that the keys in force may be used.
	Trusted struct {
		// Age is the time since the last instant at which the keys are known to have been in force.
		Age time.Duration
	}

	// Outdated means that keys may have been revoked without this entry's knowledge.
	Outdated struct {
		// Age is the age of the knowledge, or the time since the start of the process if there is none.
		Age time.Duration
		// Suspended is the part of the age for which the monotonic clock stood still.
		Suspended time.Duration
	}

	// Knowledge is how recent an entry's knowledge of the configuration is. It is safe for concurrent use.
	Knowledge struct {
		clock Clock
		// deadline is the time within which a revoked key must be refused; 0 if it is not bounded.
		deadline time.Duration
		onChange func(Verdict)

		mu sync.Mutex
		// proven is the latest instant for which the configuration is known, or the start of the process.
		proven Instant
		known  bool
		// reportedOutdated is the last verdict that onChange has received.
		reportedOutdated bool
	}

	// Option configures a Knowledge.
	Option func(*Knowledge)
)

func (Trusted) verdict()  {}
func (Outdated) verdict() {}

// NewKnowledge returns the knowledge of a process that starts now and knows nothing. Revoked keys must be refused after the
// deadline; with 0 keys are always trusted.
func NewKnowledge(deadline time.Duration, opts ...Option) *Knowledge {
	k := &Knowledge{clock: SystemClock{}, deadline: deadline, onChange: func(Verdict) {}}
	for _, opt := range opts {
		opt(k)
	}
	k.proven = k.clock.Now()
	return k
}

// WithClock sets the clock.
func WithClock(c Clock) Option {
	return func(k *Knowledge) { k.clock = c }
}

// WithChangeHandler sets the function that is called when keys are no longer trusted, and when they are again. It is not
// called for a process that has just started and gains its first knowledge in time.
func WithChangeHandler(onChange func(Verdict)) Option {
	return func(k *Knowledge) { k.onChange = onChange }
}

// Now returns the current instant.
func (k *Knowledge) Now() Instant {
	return k.clock.Now()
}

// Strict reports whether revoked keys must be refused within a deadline.
func (k *Knowledge) Strict() bool {
	return k.deadline > 0
}

// Prove records that the configuration of this entry contains all changes that were accepted before an instant. The changes
// must be in force already.
func (k *Knowledge) Prove(at Instant) {
	k.mu.Lock()
	if now := k.clock.Now(); !k.known || now.Since(at) < now.Since(k.proven) {
		k.proven, k.known = at, true
	}
	k.mu.Unlock()
	k.Check()
}

// Age returns the age of the knowledge. It returns false if there is none.
func (k *Knowledge) Age() (time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return max(0, k.clock.Now().Since(k.proven)), k.known
}

// Check returns the verdict for now, and calls the change handler if it has changed. It must be called for each request, as
// the process may have been suspended since the last call.
func (k *Knowledge) Check() Verdict {
	k.mu.Lock()
	v := k.decide()
	changed := false
	switch v := v.(type) {
	case Trusted:
		changed = k.reportedOutdated
		k.reportedOutdated = false
	case Outdated:
		changed = !k.reportedOutdated && (k.known || v.Age > k.trustedFor())
		k.reportedOutdated = k.reportedOutdated || changed
	}
	k.mu.Unlock()
	if changed {
		k.onChange(v)
	}
	return v
}

// decide returns the verdict for now. The caller holds the lock.
func (k *Knowledge) decide() Verdict {
	now := k.clock.Now()
	age := max(0, now.Since(k.proven))
	if k.deadline > 0 && (!k.known || age >= k.trustedFor()) {
		return Outdated{Age: age, Suspended: age - (now.Monotonic - k.proven.Monotonic)}
	}
	return Trusted{Age: age}
}

// trustedFor returns the age from which knowledge is outdated.
func (k *Knowledge) trustedFor() time.Duration {
	return k.part(trustedShare)
}

// part returns a part of the deadline.
func (k *Knowledge) part(share float64) time.Duration {
	return time.Duration(share * float64(k.deadline))
}

// WatchWait returns how long the next watch may wait for a change, at most longest. A watch that waits proves nothing until
// it returns, so old knowledge is renewed by a watch that returns at once.
func (k *Knowledge) WatchWait(longest time.Duration) time.Duration {
	if !k.Strict() {
		return longest
	}
	return min(longest, k.part(watchShare), k.untilRead())
}

// Pause returns the pause before the next read after a change, at most longest.
func (k *Knowledge) Pause(longest time.Duration) time.Duration {
	if !k.Strict() {
		return longest
	}
	return min(longest, k.untilRead())
}

// untilRead returns the time after which the next read must begin so that its answer arrives before other entries are asked.
func (k *Knowledge) untilRead() time.Duration {
	age, known := k.Age()
	if !known {
		return 0
	}
	return max(0, k.part(askShare-answerShare)-age)
}

// AskPeers reports whether other entries are to be asked for their knowledge, and the time after which this is to be checked
// again. The time is short because timers stop while the process is suspended.
func (k *Knowledge) AskPeers() (bool, time.Duration) {
	if !k.Strict() {
		return false, askPause
	}
	age, _ := k.Age()
	switch {
	case age < k.part(askShare):
		return false, askPause
	case age < k.trustedFor():
		return true, askPause
	}
	return true, outdatedAskPause
}
