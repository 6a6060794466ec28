package gateway

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"syscall"
	"time"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/quarantine"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/upstream"
)

const (
	// maxSuspectsTold bounds the suspects that other entries are told of at once.
	maxSuspectsTold = 32
	// maxSuspects bounds the contents that are remembered: two names of each request that ran at one of
	// thirty busy engines which ended.
	maxSuspects = 4096
)

var (
	// probeAfter are the pauses after a broken answer before the upstream is asked for a connection: a
	// process that dies closes its listener within a few milliseconds, or takes a moment for it.
	probeAfter = []time.Duration{30 * time.Millisecond, 300 * time.Millisecond}
)

type (
	// crashes finds the content that crashes upstreams, so that it does not take one after another. It
	// is safe for concurrent use.
	crashes struct {
		table *quarantine.Table
		watch *quarantine.Tracker
		log   event.Log
		// told is called when something new speaks against a content.
		told func()

		mu sync.Mutex
		// probed are the upstreams that are being asked for a connection.
		probed map[string]bool
	}
)

func newCrashes(log event.Log, told func()) *crashes {
	table := quarantine.NewTable(quarantine.WithClearQuarantined(), quarantine.WithCapacity(maxSuspects))
	return &crashes{table: table, watch: quarantine.NewTracker(table), log: log, told: told, probed: make(map[string]bool)}
}

// contents names what a request carries, as it stays when its caller sends it again: by the caller, and
// without it for callers whose address changes.
func (r *Request) contents() []quarantine.Content {
	name := func(parts ...string) string { return strconv.FormatUint(digest(r.Body, parts...), 16) }
	return []quarantine.Content{
		{Name: name(r.Caller, r.Header.Get("Authorization"), r.Method, r.Path)},
		{Name: name(r.Method, r.Target), Shared: true},
	}
}

// incarnation names one start of an upstream.
func incarnation(u upstream.Upstream) string {
	if u.Started.IsZero() {
		return u.ID
	}
	return u.ID + "@" + strconv.FormatInt(u.Started.UnixMilli(), 10)
}

// try begins a send of the request to an upstream.
func (w *work) try(m *upstream.Member) quarantine.Attempt {
	return quarantine.Attempt{Upstream: incarnation(m.Upstream), Contents: w.contents, SentAt: time.Now()}
}

// kept refuses a request whose content is kept from upstreams; nil: it may be sent.
func (w *work) kept(ran refusal.Ran) *refusal.Refusal {
	now := time.Now()
	for _, c := range w.contents {
		if q, ok := w.gateway.crashes.table.Check(c.Name, now).(quarantine.Quarantined); ok {
			return refusal.New(ran, refusal.Quarantined, q.Remaining, "content %s crashed upstreams and is kept from them for %v", c.Name, q.Remaining.Round(time.Second))
		}
	}
	return nil
}

// unknown records a send without a whole answer. If the connection ended by itself, or nothing came for
// long, it looks whether the upstream is still there.
func (w *work) unknown(ctx context.Context, t quarantine.Attempt, m *upstream.Member, cut bool) {
	if cut && ctx.Err() == nil {
		w.gateway.crashes.changed(w.gateway.crashes.watch.Disconnected(t, time.Now()))
		w.gateway.probe(m)
		return
	}
	w.abandoned(t)
	if w.left() <= 0 || time.Since(t.SentAt) >= w.route.Target {
		w.gateway.probe(m)
	}
}

// abandoned records a send whose answer nobody waits for any more.
func (w *work) abandoned(t quarantine.Attempt) {
	if !w.gateway.crashes.watch.Abandoned(t, time.Now()) {
		return
	}
	w.gateway.suspect(t.Upstream, names(t.Contents))
}

// names returns the contents' names, as logs show them.
func names(contents []quarantine.Content) []string {
	var list []string
	for _, c := range contents {
		list = append(list, c.Name)
	}
	return list
}

// answered records a whole answer.
func (w *work) answered(t quarantine.Attempt) {
	w.gateway.crashes.watch.Answered(t, time.Now())
}

// probe asks an upstream for a connection some moments after an answer broke off there. A refusal
// proves that the upstream ended.
func (g *Gateway) probe(m *upstream.Member) {
	if g.crashes.beginProbe(m.ID) {
		g.probeLater(m, probeAfter)
	}
}

func (g *Gateway) probeLater(m *upstream.Member, pauses []time.Duration) {
	if len(pauses) == 0 {
		g.crashes.endProbe(m.ID)
		return
	}
	time.AfterFunc(pauses[0], func() {
		err := g.upstreams.Probe(context.Background(), m)
		if err == nil {
			g.probeLater(m, pauses[1:])
			return
		}
		g.crashes.endProbe(m.ID)
		g.note(m, Unreachable, err)
	})
}

// beginProbe reports whether nobody probes the upstream yet.
func (s *crashes) beginProbe(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.probed[id] {
		return false
	}
	s.probed[id] = true
	return true
}

func (s *crashes) endProbe(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.probed, id)
}

// timedOut reports whether a connection was not taken in time.
func timedOut(err error) bool {
	var limit interface{ Timeout() bool }
	return errors.As(err, &limit) && limit.Timeout()
}

// refused reports whether a connection was refused: nothing listens, so the process ended. Behind a cut
// there is no answer at all.
func refused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// UpstreamTerminated tells that an incarnation of an upstream is known to have ended.
func (g *Gateway) UpstreamTerminated(u upstream.Upstream) {
	name := incarnation(u)
	blamed := g.crashes.watch.Terminated(name, time.Now())
	if len(blamed) > 0 {
		g.suspect(name, blamed)
	}
}

// suspect logs contents under which an upstream ended, and passes them on.
func (g *Gateway) suspect(name string, contents []string) {
	g.log.Info(event.ContentSuspected, "upstream", name, "contents", contents)
	g.crashes.changed(true)
}

// changed passes urgent news on: that an upstream ended under a content, or that one is kept from now on. A
// broken answer alone is told by the next exchanges.
func (s *crashes) changed(ended bool) {
	if kept := s.logKept(""); kept || ended {
		s.told()
	}
}

// logKept logs the contents that are kept from upstreams from now on, and reports whether there are any. from is the entry that told of
// them; empty: this one found them.
func (s *crashes) logKept(from string) bool {
	crossed := s.table.TakeNewlyQuarantined()
	for _, c := range crossed {
		s.log.Info(event.ContentKept, "content", c, "from", from)
	}
	return len(crossed) > 0
}

// Suspects returns the contents that crashed upstreams, the most urgent first, in bounded number.
func (g *Gateway) Suspects(now time.Time) []quarantine.Suspect {
	return g.crashes.table.Urgent(now, maxSuspectsTold)
}

// MergeSuspects takes what another entry knows of contents that crashed upstreams, and reports whether
// anything was new.
func (g *Gateway) MergeSuspects(suspects []quarantine.Suspect, from string, now time.Time) bool {
	news := g.crashes.table.Merge(suspects, now)
	g.crashes.logKept(from)
	return news
}
