package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/quarantine"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/upstream"
)

const (
	// maxSuspectsShared bounds the suspects that are sent to other entries at once.
	maxSuspectsShared = 28
	// maxSuspects bounds the suspects that are kept: two names for each request that ran at one of thirty
	// busy engines when these crashed.
	maxSuspects = 4096
	// maxPartName bounds the name of a part in bytes. A longer one ends with a digest.
	maxPartName = 64
	// maxLoggedContents bounds the contents and the parts in a log line.
	maxLoggedContents = 256
	// partPrefix distinguishes the names of prompt parts from those of whole contents.
	partPrefix = "part:"
)

var (
	// probeDelays are the delays before each probe of an upstream whose answer was truncated. Most processes
	// that crash close their listener within a few milliseconds; the second probe covers slower ones.
	probeDelays = []time.Duration{30 * time.Millisecond, 300 * time.Millisecond}
)

type (
	// crashDetector finds content that crashes upstreams, so that the same content does not crash one upstream
	// after another. It is safe for concurrent use.
	crashDetector struct {
		table   *quarantine.Table
		tracker *quarantine.Tracker
		log     event.Log
		// notify is called when the table has new evidence that other entries should receive soon.
		notify func()

		mu sync.Mutex
		// probing holds the IDs of the upstreams with a probe that is scheduled or in progress.
		probing map[string]bool
	}
)

func newCrashDetector(log event.Log, notify func()) *crashDetector {
	table := quarantine.NewTable(quarantine.WithClearQuarantined(), quarantine.WithCapacity(maxSuspects))
	return &crashDetector{table: table, tracker: quarantine.NewTracker(table), log: log, notify: notify, probing: make(map[string]bool)}
}

// contents returns two names for the content of a request, which are the same when its caller sends it
// again, and the names of the parts of its prompt that other requests may have. The first one includes the caller.
// The second one does not, for callers whose address changes.
func (r *Request) contents() []quarantine.Content {
	name := func(parts ...string) string { return strconv.FormatUint(digest(r.Body, parts...), 16) }
	contents := []quarantine.Content{
		{Name: name(r.Caller, r.Header.Get("Authorization"), r.Method, r.Path)},
		{Name: name(r.Method, r.Target), Shared: true},
	}
	return appendPartContents(contents, r.promptParts())
}

// appendPartContents appends the contents of all parts of a prompt but the last one. Repeated ones are left out.
func appendPartContents(contents []quarantine.Content, parts []string) []quarantine.Content {
	if len(parts) < 2 {
		return contents
	}
	parts = slices.Clone(parts[:len(parts)-1])
	slices.Sort(parts)
	parts = slices.Compact(parts)
	length := 0
	for _, part := range parts {
		length += len(partPrefix) + min(len(part), maxPartName)
	}
	// One buffer holds all names: a prompt may have thousands of parts.
	var names strings.Builder
	names.Grow(length)
	contents = slices.Grow(contents, len(parts))
	for _, part := range parts {
		begin := names.Len()
		names.WriteString(partPrefix)
		if len(part) > maxPartName {
			const digestLength = 16
			names.WriteString(part[:maxPartName-digestLength])
			fmt.Fprintf(&names, "%0*x", digestLength, digest(nil, part))
		} else {
			names.WriteString(part)
		}
		contents = append(contents, quarantine.Content{Name: names.String()[begin:], Part: true})
	}
	return contents
}

// newAttempt returns the record of a send of the request to an upstream that begins now.
func (ar *activeRequest) newAttempt(m *upstream.Member) quarantine.Attempt {
	return quarantine.Attempt{Upstream: m.Incarnation(), Contents: ar.contents, SentAt: time.Now()}
}

// refuseQuarantined refuses a request whose content is quarantined. It returns nil if the request may be
// sent.
func (ar *activeRequest) refuseQuarantined(ran refusal.Ran) *refusal.Refusal {
	verdict, c := ar.gateway.crashes.table.CheckRequest(ar.contents, time.Now())
	if q, ok := verdict.(quarantine.Quarantined); ok {
		return refusal.New(ran, refusal.Quarantined, q.Remaining, "content %s crashed upstreams and is kept from them for %v", c.Name, q.Remaining.Round(time.Second))
	}
	return nil
}

// recordUnknown records a send without a complete answer. If the connection was lost, or no answer arrived
// until the deadline of the caller or for longer than the latency target, it probes whether the upstream
// still runs.
func (ar *activeRequest) recordUnknown(ctx context.Context, t quarantine.Attempt, m *upstream.Member, connectionLost bool) {
	if connectionLost && ctx.Err() == nil {
		ar.gateway.crashes.notifyIfUrgent(ar.gateway.crashes.tracker.Disconnected(t, time.Now()))
		ar.gateway.probe(m)
		return
	}
	ar.recordAbandoned(t)
	if ar.remaining() <= 0 || time.Since(t.SentAt) >= ar.route.TargetLatency {
		ar.gateway.probe(m)
	}
}

// recordAbandoned records a send that this process cancelled before the end of the answer. The content
// becomes suspect only if the upstream turns out to have terminated during the send.
func (ar *activeRequest) recordAbandoned(t quarantine.Attempt) {
	if !ar.gateway.crashes.tracker.Abandoned(t, time.Now()) {
		return
	}
	ar.gateway.reportSuspected(t.Upstream, contentNames(t.Contents))
}

// contentNames returns the names of the contents.
func contentNames(contents []quarantine.Content) []string {
	var names []string
	for _, c := range contents {
		names = append(names, c.Name)
	}
	return names
}

// logged returns the first of the names, at most maxLoggedContents.
func logged(names []string) []string {
	return names[:min(len(names), maxLoggedContents)]
}

// recordAnswered records a complete answer, which clears the content of suspicion.
func (ar *activeRequest) recordAnswered(t quarantine.Attempt) {
	ar.gateway.crashes.tracker.Answered(t, time.Now())
}

// probe opens connections to an upstream after the probe delays, unless a probe is in progress already. A
// refused connection proves that the process of the upstream terminated.
func (g *Gateway) probe(m *upstream.Member) {
	if g.crashes.beginProbe(m.ID) {
		g.probeAfter(m, probeDelays)
	}
}

// probeAfter probes an upstream after each of the delays until one probe fails.
func (g *Gateway) probeAfter(m *upstream.Member, delays []time.Duration) {
	if len(delays) == 0 {
		g.crashes.endProbe(m.ID)
		return
	}
	time.AfterFunc(delays[0], func() {
		err := g.upstreams.Probe(context.Background(), m)
		if err == nil {
			g.probeAfter(m, delays[1:])
			return
		}
		g.crashes.endProbe(m.ID)
		g.recordFailure(m, Unreachable, err)
	})
}

// beginProbe marks an upstream as being probed. It returns false if it is marked already.
func (d *crashDetector) beginProbe(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.probing[id] {
		return false
	}
	d.probing[id] = true
	return true
}

func (d *crashDetector) endProbe(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.probing, id)
}

// isTimeout reports whether a connection was not accepted in time.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// connectionRefused reports whether a connection was refused. No process listens at the address then, so the
// process of the upstream has terminated. An upstream behind a network partition would not answer at all.
func connectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// UpstreamTerminated records that the process of an upstream has terminated. The content of its requests without a
// complete answer becomes suspect.
func (g *Gateway) UpstreamTerminated(u upstream.Upstream) {
	name := u.Incarnation()
	suspected := g.crashes.tracker.Terminated(name, time.Now())
	if len(suspected) > 0 {
		g.reportSuspected(name, suspected)
	}
}

// reportSuspected logs the contents of the requests that ran at an upstream when it terminated, and notifies
// other entries.
func (g *Gateway) reportSuspected(upstreamName string, contents []string) {
	g.log.Info(event.ContentSuspected, "upstream", upstreamName, "contents", logged(contents), "contents_total", len(contents))
	g.crashes.notifyIfUrgent(true)
}

// notifyIfUrgent calls notify if an upstream terminated while it ran a content, or if content became
// quarantined. A truncated answer alone is not urgent and reaches other entries with the next regular
// exchange.
func (d *crashDetector) notifyIfUrgent(upstreamTerminated bool) {
	if quarantined := d.logQuarantined(""); quarantined || upstreamTerminated {
		d.notify()
	}
}

// logQuarantined logs the contents that became quarantined since its last call, and reports whether there are
// any. from is the address of the entry that reported the last crash; it is empty if this entry found it.
func (d *crashDetector) logQuarantined(from string) bool {
	quarantined := d.table.TakeNewlyQuarantined()
	for _, c := range quarantined {
		d.log.Info(event.ContentBlocked, "content", c, "from", from)
	}
	return len(quarantined) > 0
}

// Suspects returns the contents that are suspected of crashing upstreams, the most urgent first. Their number
// is bounded.
func (g *Gateway) Suspects(now time.Time) []quarantine.Suspect {
	return g.crashes.table.Urgent(now, maxSuspectsShared)
}

// SharedSuspects returns what other entries receive about contents, in bounded size: the suspects, and some parts of prompts
// that engines have answered.
func (g *Gateway) SharedSuspects(now time.Time) []quarantine.Suspect {
	return g.crashes.table.Shared(now, maxSuspectsShared)
}

// MergeSuspects merges the suspects of another entry, whose address is from. It reports whether they contain
// new evidence against a content.
func (g *Gateway) MergeSuspects(suspects []quarantine.Suspect, from string, now time.Time) bool {
	changed := g.crashes.table.Merge(suspects, now)
	g.crashes.logQuarantined(from)
	return changed
}
