package gateway

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/quarantine"
	"gooseberrypin.example/router/upstream"
)

const (
	// crashWindow is how long after a stream broke off its engine must turn out to be gone for the
	// content to be suspected: an engine that lost one answer lives on, a crashed one refuses
	// connections until its restart.
	crashWindow = 2 * time.Second
	// maxBroken bounds the streams remembered for one engine: as many as it runs at once.
	maxBroken = 64
	// maxSuspectsTold bounds the suspects that other entries are told of at once.
	maxSuspectsTold = 16
)

type (
	// crashes finds the content that crashes engines, so that it does not take one after another. It
	// is safe for concurrent use.
	crashes struct {
		table *quarantine.Table
		log   event.Log

		mu sync.Mutex
		// broken are the streams that broke off lately, by engine.
		broken map[string]brokenStreams
	}

	brokenStreams struct {
		contents []string
		last     time.Time
	}
)

func newCrashes(log event.Log) *crashes {
	return &crashes{table: quarantine.NewTable(), log: log, broken: make(map[string]brokenStreams)}
}

// contentName is the name under which entries speak of a content.
func contentName(fingerprint uint64) string {
	return strconv.FormatUint(fingerprint, 16)
}

// broke records that a stream broke off at an engine.
func (s *crashes) broke(m *upstream.Member, fingerprint uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	if b := s.broken[m.ID]; len(b.contents) < maxBroken {
		s.broken[m.ID] = brokenStreams{contents: append(b.contents, contentName(fingerprint)), last: now}
	}
}

// gone records that an engine refuses connections or was replaced. What broke off there just before
// is suspected of it.
func (s *crashes) gone(m *upstream.Member, now time.Time) {
	s.mu.Lock()
	s.sweep(now)
	contents := s.broken[m.ID].contents
	delete(s.broken, m.ID)
	s.mu.Unlock()
	if len(contents) == 0 {
		return
	}
	before := s.quarantined(contents, now)
	s.table.Report(contents, m.ID, now)
	s.log.Info(event.ContentSuspected, "upstream", m.ID, "contents", contents)
	s.told(s.quarantined(contents, now), before, "")
}

// sweep forgets what is too long ago. The caller holds the lock.
func (s *crashes) sweep(now time.Time) {
	for id, b := range s.broken {
		if now.Sub(b.last) > crashWindow {
			delete(s.broken, id)
		}
	}
}

// kept returns how long content stays away from engines; zero: it may run.
func (s *crashes) kept(fingerprint uint64, now time.Time) time.Duration {
	if q, ok := s.table.Check(contentName(fingerprint), now).(quarantine.Quarantined); ok {
		return q.Remaining
	}
	return 0
}

// answered clears content that ran to its end.
func (s *crashes) answered(fingerprint uint64, now time.Time) {
	s.table.Clear(contentName(fingerprint), now)
}

// Suspects returns the contents that crashed engines, the latest first, in bounded number.
func (g *Gateway) Suspects(now time.Time) []quarantine.Suspect {
	return quarantine.Latest(g.crashes.table.Suspects(now), maxSuspectsTold)
}

// HearSuspects takes what another entry knows of contents that crashed engines.
func (g *Gateway) HearSuspects(suspects []quarantine.Suspect, from string, now time.Time) {
	contents := make([]string, 0, len(suspects))
	for _, s := range suspects {
		contents = append(contents, s.Fingerprint)
	}
	before := g.crashes.quarantined(contents, now)
	g.crashes.table.Merge(suspects, now)
	g.crashes.told(g.crashes.quarantined(contents, now), before, from)
}

// quarantined returns those contents that are kept from upstreams.
func (s *crashes) quarantined(contents []string, now time.Time) []string {
	var kept []string
	for _, c := range contents {
		if _, ok := s.table.Check(c, now).(quarantine.Quarantined); ok {
			kept = append(kept, c)
		}
	}
	return kept
}

// told logs the contents that are kept from upstreams now and were not before. from is the entry that
// told of them; empty: this one found them.
func (s *crashes) told(kept, before []string, from string) {
	for _, c := range kept {
		if !slices.Contains(before, c) {
			s.log.Info(event.ContentKept, "content", c, "from", from)
		}
	}
}
