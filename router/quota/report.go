package quota

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/event"
)

const (
	// allocatorName is the name whose owner is the allocator of all customers.
	allocatorName = "customer-quotas"
	// reportTimeout bounds one report. No request waits that long; an allocator with little of a core may need it.
	reportTimeout = 300 * time.Millisecond
	// grantIntervals is the number of report intervals without an answer after which an entry uses its own part.
	grantIntervals = 4
	// maxFailures is the number of reports in a row without an answer after which an entry reports to the next owner, for
	// avoidTime. With two, where one message in ten is lost, entries leave an allocator that works.
	maxFailures = 3
	avoidTime   = 3 * time.Second
	// failurePause is the time between two reports while the allocator does not answer.
	failurePause = 100 * time.Millisecond
	// shortGaps is the number of early gaps for which a short answer counts: entries of a customer beyond its quota ask
	// less often than those that can be granted more.
	shortGaps = 2
	// maxSkipped is the number of reports in a row that don't name an unused customer. With more, its share would be out of
	// date: what an entry should hold rises while the quota is not used.
	maxSkipped = 1
)

var (
	errNoAllocator = eris.New("no other entry is known")
	errNotReady    = eris.New("the allocator has no configuration yet")
)

type (
	// allocatorLink is what an entry knows of its allocator.
	allocatorLink struct {
		// address is the entry that the last report went to, and process the allocator that the held amounts come from.
		address string
		process int64
		number  int64
		applied int64
		// next is when the next report without waiting requests is due.
		next time.Time
		// early is when the last report for waiting requests was sent, and answered when the last one that got an answer was.
		early, answered    time.Time
		interval, earlyGap time.Duration
		averaged           time.Time
		// lost is whether this entry uses its own parts, since lostSince.
		lost      bool
		lostSince time.Time
		failures  int
		avoided   string
		avoidEnd  time.Time
	}
)

// nextEarly returns the time until a report for waiting requests may be sent.
func (l *allocatorLink) nextEarly(now time.Time) time.Duration {
	return max(0, l.early.Add(l.earlyGap).Sub(now))
}

// Run reports to the allocator until ctx ends.
func (c *Customers) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := c.report(ctx)
		next := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-next.C:
		case <-c.wake:
			c.mu.Lock()
			gap := c.link.nextEarly(time.Now())
			c.mu.Unlock()
			if gap > 0 {
				select {
				case <-ctx.Done():
				case <-next.C:
				case <-time.After(gap):
				}
			}
		}
		next.Stop()
	}
}

// requestReport requests a report as soon as one may be sent. It does not wait for it.
func (c *Customers) requestReport() {
	select {
	case c.wake <- struct{}{}:
	default: // A report is already requested.
	}
}

// report sends one report and returns the time until the next one.
func (c *Customers) report(ctx context.Context) time.Duration {
	if !c.hasLimits() {
		return reportInterval
	}
	owner := c.owner()
	r, early := c.newReport(owner)
	sent := time.Now()
	answer, err := c.send(ctx, owner, r)
	if ctx.Err() != nil {
		return reportInterval
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil && time.Since(sent) > grantIntervals*reportInterval {
		// This process did not run in the meantime, and the allocator has given the grants to others.
		err = context.DeadlineExceeded
	}
	if err != nil {
		return c.fail(owner, err, early)
	}
	c.apply(owner, sent, r.Number, answer)
	return c.link.pause(early, time.Now())
}

// pause returns the time until the next report without waiting requests. One for waiting requests replaces it, so that an entry
// sends no more reports than one an interval on average; the pause stays well below reporterIntervals.
func (l *allocatorLink) pause(early bool, now time.Time) time.Duration {
	pause := l.interval
	if early {
		pause = min(l.next.Add(l.interval).Sub(now), l.interval*3/2)
	}
	l.next = now.Add(max(l.interval, pause))
	return l.next.Sub(now)
}

// owner returns the address of the entry to report to, or the empty string. It is the next owner while the first one does
// not answer.
func (c *Customers) owner() string {
	c.mu.Lock()
	avoided := c.link.avoided
	if !time.Now().Before(c.link.avoidEnd) {
		avoided = ""
	}
	c.mu.Unlock()
	owners := c.members.Owners(allocatorName, 2)
	switch {
	case len(owners) == 0:
		return ""
	case owners[0] == avoided && len(owners) > 1:
		return owners[1]
	}
	return owners[0]
}

// hasLimits reports whether any customer has a limit.
func (c *Customers) hasLimits() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateLimits()
	for _, s := range c.states {
		if s.limit.PerSecond > 0 {
			return true
		}
	}
	return false
}

// send sends a report, to this entry's own allocator if it is the owner.
func (c *Customers) send(ctx context.Context, owner string, r CustomerReport) (CustomerAnswer, error) {
	switch owner {
	case "":
		return CustomerAnswer{}, errNoAllocator
	case c.address:
		answer, ok := c.allocator.Report(r)
		if !ok {
			return CustomerAnswer{}, errNotReady
		}
		return answer, nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return c.peers.Report(ctx, owner, r)
}

// newReport returns the report to send now, and whether requests wait for it. Amounts above the targets are given back: they
// are lost if the report is.
func (c *Customers) newReport(owner string) (CustomerReport, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateLimits()
	now, l := time.Now(), &c.link
	c.checkLost(now)
	elapsed := now.Sub(l.averaged)
	l.averaged = now
	l.number++
	all := owner != l.address
	l.address = owner
	r := CustomerReport{Entry: c.address, Process: c.process, Number: l.number, Applied: l.applied, Allocator: l.process, Customers: make([]CustomerUse, 0, len(c.states))}
	for name, s := range c.states {
		s.average(elapsed)
		r.Early = r.Early || s.want > 0
		missing := s.share.Target - s.held
		if !all && s.known && s.idle() && s.skipped < maxSkipped && math.Abs(missing) <= targetTolerance*s.share.Target {
			s.skipped++
			continue
		}
		use := CustomerUse{Name: name, Want: s.want, Demand: s.demand, Granted: s.granted}
		if s.known && !all {
			// Whole amounts take fewer bytes on their way.
			use.Returned = max(0, math.Floor(-missing))
			s.held -= use.Returned
		}
		use.Held = s.held
		s.reported, s.skipped = s.demand > 0, 0
		r.Customers = append(r.Customers, use)
	}
	if r.Early {
		l.early = now
	}
	return r, r.Early
}

// apply applies an answer of the allocator. The caller holds the lock.
func (c *Customers) apply(owner string, sent time.Time, number int64, answer CustomerAnswer) {
	l, now := &c.link, time.Now()
	if l.lost {
		l.lost = false
		c.log.Info(event.CustomerAllocatorFound, "allocator", owner, "lost_ms", now.Sub(l.lostSince).Milliseconds())
	}
	if l.process != answer.Allocator {
		// The new allocator learns all that this entry holds.
		l.address = ""
	}
	l.process, l.applied, l.answered, l.failures = answer.Allocator, number, sent, 0
	l.interval = max(answer.Interval, reportInterval)
	l.earlyGap = max(answer.EarlyGap, minEarlyGap)
	for _, share := range answer.Customers {
		s, found := c.states[share.Name]
		if !found {
			continue
		}
		if !s.known {
			s.known, s.held = true, min(0, s.ownPart.level)
		}
		s.held += share.Grant
		s.share = share
		s.deniedUntil = time.Time{}
		if share.Short {
			s.deniedUntil = now.Add(shortGaps * l.earlyGap)
		}
	}
	for _, load := range answer.Others {
		if s, found := c.states[load.Name]; found {
			s.share.Demand, s.share.Granted = load.Demand, load.Granted
		}
	}
	c.notify()
}

// fail handles a report without an answer, and returns the time until the next one. The caller holds the lock.
func (c *Customers) fail(owner string, err error, early bool) time.Duration {
	l, now := &c.link, time.Now()
	l.failures++
	if !errors.Is(err, context.DeadlineExceeded) || l.failures >= maxFailures {
		if owner != "" && l.avoided != owner || !now.Before(l.avoidEnd) {
			c.log.Error(err, event.CustomerReportFailed, "allocator", owner, "failures", l.failures)
		}
		l.avoided, l.avoidEnd = owner, now.Add(avoidTime)
	}
	c.checkLost(now)
	if early {
		c.notify()
	}
	if l.failures < maxFailures {
		// One lost message is no reason to wait longer: reportTimeout has passed already.
		return minEarlyGap
	}
	return failurePause
}

// notify wakes the requests that wait for an answer. The caller holds the lock.
func (c *Customers) notify() {
	for _, s := range c.states {
		if s.answered != nil {
			close(s.answered)
			s.answered = nil
		}
	}
}

// checkLost makes this entry use its own parts if the allocator has not answered for grantIntervals. What the entry held
// before has expired. The caller holds the lock.
func (c *Customers) checkLost(now time.Time) {
	l := &c.link
	if !c.silent(now) {
		return
	}
	l.lost, l.lostSince = true, now
	c.log.Error(errNoAnswer, event.CustomerAllocatorLost, "allocator", l.address, "silent_ms", now.Sub(l.answered).Milliseconds(), "entries", c.members.Divisor())
	for _, s := range c.states {
		s.useOwnPart(now)
	}
}

// silent reports whether the allocator has not answered for grantIntervals and this entry does not use its own parts yet. The
// caller holds the lock.
func (c *Customers) silent(now time.Time) bool {
	return !c.link.lost && now.Sub(c.link.answered) > grantIntervals*c.link.interval
}

// useOwnPart begins the use of this entry's own part of the quota, without what it held before.
func (s *customerState) useOwnPart(now time.Time) {
	s.ownPart = bucket{level: min(0, s.held), updated: now}
	s.held, s.known = 0, false
}
