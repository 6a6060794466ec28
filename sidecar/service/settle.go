package service

import (
	"context"
	"sync"
	"time"

	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	adapter "gooseberrypin.example/router/adapter/booking"
	"gooseberrypin.example/router/booking"
	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/refusal"
)

const (
	questionInterval       = 100 * time.Millisecond
	questionTimeout        = 800 * time.Millisecond
	maxConcurrentQuestions = 16
)

// Acknowledge implements fleetv1.Bookings. Once no call runs, it hands over the records of keys
// that moved to the sender. Until they are handed over, it reports a running call, so that the sender waits.
func (c *Sidecar) Acknowledge(ctx context.Context, r *fleetv1.AcknowledgeRequest) (*fleetv1.AcknowledgeResponse, error) {
	c.applyUpdates()
	a := c.home.Acknowledge(r.GetFrom(), r.GetRevision(), time.Now())
	if a.Revision >= r.GetRevision() && a.Running == 0 && !c.handOverMoved(ctx, r.GetFrom()) {
		a.Running++
	}
	return &fleetv1.AcknowledgeResponse{
		Revision:      a.Revision,
		Upstream:      c.self.Upstream,
		StartedUnixMs: c.started.UnixMilli(),
		Running:       int32(a.Running),
	}, nil
}

// HandOver implements fleetv1.Bookings.
func (c *Sidecar) HandOver(_ context.Context, r *fleetv1.HandOverRequest) (*fleetv1.HandOverResponse, error) {
	c.applyUpdates()
	accepted := c.home.Accept(adapter.ToHandOver(r), time.Now())
	c.removeMoves(r.GetFrom())
	c.metrics.Add("records_accepted", int64(accepted))
	c.log.Info(event.BookingAccepted, "from", r.GetFrom(), "pool", r.GetPool(), "accepted", accepted, "offered", len(r.GetRecords()))
	return &fleetv1.HandOverResponse{Accepted: int32(accepted)}, nil
}

// Drain refuses new keys, waits for running calls, and hands the records over to the next homes
// of their keys. If ctx is done first, it hands over no records.
func (c *Sidecar) Drain(ctx context.Context) {
	c.draining.Store(true)
	c.home.StartDraining()
	ticker := time.NewTicker(questionInterval)
	defer ticker.Stop()
	for c.home.Running() > 0 || c.active.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	var group sync.WaitGroup
	for to, list := range c.home.FinalHandOvers() {
		group.Go(func() { c.handOverAll(ctx, to, list) })
	}
	group.Wait()
}

// settle sends the home's questions to other sidecars once in each questionInterval until ctx
// is done. There are questions after each change and each pause, until keys may run here.
func (c *Sidecar) settle(ctx context.Context) {
	ticker := time.NewTicker(questionInterval)
	defer ticker.Stop()
	settled := false
	for {
		c.applyUpdates()
		questions := c.home.Questions()
		c.askAll(ctx, questions)
		settled = c.logSettledChange(settled, questions)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// logSettledChange logs a change between settled and unsettled, and returns the current one.
func (c *Sidecar) logSettledChange(before bool, questions []booking.Question) bool {
	settled := c.home.Settled()
	if settled == before {
		return settled
	}
	if settled {
		c.log.Info(event.BookingSettled, "revision", c.home.Revision())
		return settled
	}
	names := make([]string, 0, len(questions))
	for _, q := range questions {
		names = append(names, q.Member.VM)
	}
	c.log.Info(event.BookingUnsettled, "revision", c.home.Revision(), "waiting_for", names)
	return settled
}

// askAll asks all questions, at most maxConcurrentQuestions at once, and waits for the answers.
func (c *Sidecar) askAll(ctx context.Context, questions []booking.Question) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentQuestions)
	for _, q := range questions {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			c.ask(ctx, q)
		})
	}
	group.Wait()
}

func (c *Sidecar) ask(ctx context.Context, q booking.Question) {
	ctx, cancel := context.WithTimeout(ctx, questionTimeout)
	defer cancel()
	c.metrics.Add("questions", 1)
	switch o := c.peers.Acknowledge(ctx, c.self.Upstream, q).(type) {
	case port.Acknowledged:
		c.home.RecordAcknowledgement(q, o.Acknowledgement, time.Now())
	case port.AcknowledgeUnsupported:
		c.home.MarkNotServiceSidecar(q, time.Now())
	case port.AcknowledgeFailed:
		c.metrics.Add("questions_failed", 1)
	}
}

// upstream returns this sidecar's upstream in the configuration in force, or nil if there is none.
func (c *Sidecar) upstream() *configuration.Upstream {
	s := c.store.Current()
	if s == nil {
		return nil
	}
	return s.Index.Upstream(c.self.Upstream)
}

// member returns the sidecar of an upstream, or false if the upstream is not configured.
func (c *Sidecar) member(name string) (booking.Member, bool) {
	s := c.store.Current()
	if s == nil {
		return booking.Member{}, false
	}
	u := s.Index.Upstream(name)
	if u == nil {
		return booking.Member{}, false
	}
	return booking.Member{Upstream: u.Name, VM: u.VM, Address: u.SidecarAddress}, true
}

// checkLeaving returns a refusal while the upstream is not configured, is marked as leaving by
// the operators or the platform, or is draining. Otherwise it returns nil.
func (c *Sidecar) checkLeaving() *refusal.Refusal {
	u := c.upstream()
	leaving := u == nil || u.Leaving || c.home.Leaving() || c.draining.Load()
	if !leaving {
		return nil
	}
	return refusal.New(refusal.RanNo, refusal.Leaving, leavingRetryDelay, "the upstream is leaving")
}
