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
	askInterval  = 100 * time.Millisecond
	askTimeout   = 800 * time.Millisecond
	maxQuestions = 16
)

// Acknowledge implements fleetv1.Bookings. Records that moved to the sender go first.
func (c *Sidecar) Acknowledge(ctx context.Context, r *fleetv1.AcknowledgeRequest) (*fleetv1.AcknowledgeResponse, error) {
	c.sync()
	a := c.home.Acknowledge(r.GetFrom(), r.GetRevision(), time.Now())
	if a.Revision >= r.GetRevision() && a.Running == 0 && !c.move(ctx, r.GetFrom()) {
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
	c.sync()
	accepted := c.home.Accept(adapter.ToHandOver(r), time.Now())
	c.forgetMoves(r.GetFrom())
	c.metrics.Add("records_accepted", int64(accepted))
	c.log.Info(event.BookingAccepted, "from", r.GetFrom(), "pool", r.GetPool(), "accepted", accepted, "offered", len(r.GetRecords()))
	return &fleetv1.HandOverResponse{Accepted: int32(accepted)}, nil
}

// Drain refuses new keys, waits for the running ones, and gives the records to their next homes.
func (c *Sidecar) Drain(ctx context.Context) {
	c.draining.Store(true)
	c.home.StartDraining()
	ticker := time.NewTicker(askInterval)
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
		group.Go(func() { c.leaveTo(ctx, to, list) })
	}
	group.Wait()
}

// settle asks other sidecars until keys may run here, after each change and each pause.
func (c *Sidecar) settle(ctx context.Context) {
	ticker := time.NewTicker(askInterval)
	defer ticker.Stop()
	settled := false
	for {
		c.sync()
		questions := c.home.Questions()
		c.ask(ctx, questions)
		settled = c.report(settled, questions)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// report logs a change between settled and unsettled.
func (c *Sidecar) report(before bool, questions []booking.Question) bool {
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

// ask puts questions, a bounded number at once.
func (c *Sidecar) ask(ctx context.Context, questions []booking.Question) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxQuestions)
	for _, q := range questions {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			c.askOne(ctx, q)
		})
	}
	group.Wait()
}

func (c *Sidecar) askOne(ctx context.Context, q booking.Question) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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

// upstream returns the own upstream in the configuration in force, or nil.
func (c *Sidecar) upstream() *configuration.Upstream {
	s := c.store.Current()
	if s == nil {
		return nil
	}
	return s.Index.Upstream(c.self.Upstream)
}

// member returns the sidecar of another upstream.
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

// leaving refuses new work for an upstream that the operators or the platform take away.
func (c *Sidecar) leaving() *refusal.Refusal {
	u := c.upstream()
	leaving := u == nil || u.Leaving || c.home.Leaving() || c.draining.Load()
	if !leaving {
		return nil
	}
	return refusal.New(refusal.RanNo, refusal.Leaving, retryLeaving, "the upstream is leaving")
}
