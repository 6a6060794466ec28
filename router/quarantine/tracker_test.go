package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/quarantine"
)

type (
	// attempt sends the crashing content to an upstream. It was sent at from and finished at to, in
	// milliseconds.
	attempt struct {
		upstream     string
		from, to     int
		disconnected bool
		answered     bool
		abandoned    bool
	}

	// timeout is a connection to an upstream that timed out at a time in milliseconds.
	timeout struct {
		upstream string
		at       int
	}

	// termination is the confirmed termination of an upstream at a time in milliseconds.
	termination struct {
		upstream string
		at       int
	}
)

func TestTracker(t *testing.T) {
	disconnected := func(upstream string, from, to int) attempt {
		return attempt{upstream: upstream, from: from, to: to, disconnected: true}
	}
	abandoned := func(upstream string, from, to int) attempt {
		return attempt{upstream: upstream, from: from, to: to, abandoned: true}
	}
	free, suspected, quarantined := quarantine.Free{}, quarantine.Suspected{}, quarantine.Quarantined{}
	tests := map[string]struct {
		steps  []any
		shared bool
		want   quarantine.Verdict
	}{
		"no attempt":                                     {nil, false, free},
		"one crash":                                      {[]any{disconnected("a", 0, 10), termination{"a", 20}}, false, suspected},
		"termination reported twice":                     {[]any{disconnected("a", 0, 10), termination{"a", 20}, termination{"a", 30}}, false, suspected},
		"two crashes in sequence":                        {[]any{disconnected("a", 0, 10), termination{"a", 20}, disconnected("b", 30, 40), termination{"b", 50}}, false, quarantined},
		"two crashes at the same time":                   {[]any{disconnected("a", 0, 10), disconnected("b", 0, 10), termination{"a", 20}, termination{"b", 20}}, false, quarantined},
		"two disconnections without termination":         {[]any{disconnected("a", 0, 10), disconnected("b", 30, 40)}, false, suspected},
		"three disconnections without termination":       {[]any{disconnected("a", 0, 10), disconnected("b", 30, 40), disconnected("c", 50, 60)}, false, quarantined},
		"repeated disconnections of one incarnation":     {[]any{disconnected("a", 0, 10), disconnected("a", 30, 40), disconnected("a", 50, 60)}, false, suspected},
		"two crashes of the same upstream":               {[]any{disconnected("a", 0, 10), termination{"a", 20}, disconnected("a", 30, 40), termination{"a", 50}}, false, quarantined},
		"termination confirmed before the disconnection": {[]any{termination{"a", 5}, disconnected("a", 0, 10), termination{"b", 35}, disconnected("b", 30, 40)}, false, quarantined},
		"termination after the attempt has expired":      {[]any{disconnected("a", 0, 10), termination{"a", 20}, abandoned("b", 30, 40), termination{"b", 9000}}, false, suspected},
		"abandoned, then terminated":                     {[]any{abandoned("a", 0, 10), termination{"a", 4000}, abandoned("b", 4100, 5000), termination{"b", 8000}}, false, quarantined},
		"abandoned without termination":                  {[]any{abandoned("a", 0, 10), abandoned("b", 20, 30), abandoned("c", 40, 50)}, false, free},
		"complete answer between two crashes":            {[]any{disconnected("a", 0, 10), termination{"a", 20}, attempt{upstream: "c", from: 21, to: 25, answered: true}, disconnected("b", 30, 40), termination{"b", 50}}, false, suspected},
		"complete answer after two crashes":              {[]any{disconnected("a", 0, 10), termination{"a", 20}, disconnected("b", 0, 40), termination{"b", 50}, attempt{upstream: "c", from: 0, to: 60, answered: true}}, false, free},
		"abandoned, then unreachable":                    {[]any{abandoned("a", 0, 10), timeout{"a", 20}, abandoned("b", 30, 40), timeout{"b", 50}, abandoned("c", 60, 70), timeout{"c", 80}}, false, quarantined},
		"unreachable, then terminated":                   {[]any{abandoned("a", 0, 10), timeout{"a", 20}, termination{"a", 30}, abandoned("b", 40, 50), termination{"b", 60}}, false, quarantined},
		"one upstream unreachable twice":                 {[]any{abandoned("a", 0, 10), timeout{"a", 20}, timeout{"a", 30}, abandoned("b", 40, 50), timeout{"b", 60}}, false, suspected},
		"shared content, two crashes at the same time":   {[]any{disconnected("a", 0, 10), disconnected("b", 0, 10), termination{"a", 20}, termination{"b", 20}}, true, suspected},
		"shared content, two crashes in sequence":        {[]any{disconnected("a", 0, 10), termination{"a", 20}, disconnected("b", 30, 40), termination{"b", 50}}, true, quarantined},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			began := time.Now()
			at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
			table := quarantine.NewTable(quarantine.WithClearQuarantined())
			tracker := quarantine.NewTracker(table)
			last := began
			for _, s := range tt.steps {
				switch s := s.(type) {
				case attempt:
					last = at(s.to)
					sent := quarantine.Attempt{Upstream: s.upstream, Contents: []quarantine.Content{{Name: crashingContent, Shared: tt.shared}}, SentAt: at(s.from)}
					switch {
					case s.disconnected:
						tracker.Disconnected(sent, last)
					case s.abandoned:
						tracker.Abandoned(sent, last)
					case s.answered:
						tracker.Answered(sent, last)
					}
				case timeout:
					last = at(s.at)
					tracker.Unreachable(s.upstream, last)
				case termination:
					last = at(s.at)
					tracker.Terminated(s.upstream, last)
				}
			}
			got := table.Check(crashingContent, last)
			if _, ok := got.(quarantine.Quarantined); ok {
				got = quarantined
			}
			is.Equal(got, tt.want)
		})
	}
}

// Content that is sent continuously crashes at most three upstreams a day beyond the two that quarantine it.
func TestQuarantineTermGrows(t *testing.T) {
	is := is.New(t)
	table, began := quarantine.NewTable(), time.Now()
	runs := 0
	for now := began; now.Before(began.Add(24 * time.Hour)); now = now.Add(time.Second) {
		if _, quarantined := table.Check(crashingContent, now).(quarantine.Quarantined); quarantined {
			continue
		}
		runs++
		table.RecordCrash([]quarantine.Content{{Name: crashingContent}}, quarantine.Crash{Upstream: "i-" + now.String(), SentAt: now, Proven: true}, now)
	}
	is.True(runs <= 2+3)
}

// tableAfterCrash returns a table after an upstream crashed while it ran many contents, the crashing one
// among them.
func tableAfterCrash(upstream string, contents int, now time.Time) *quarantine.Table {
	table := quarantine.NewTable()
	tracker := quarantine.NewTracker(table)
	for n := range contents {
		name := fmt.Sprintf("%s-%d", upstream, n)
		if n == contents/2 {
			name = crashingContent
		}
		tracker.Disconnected(quarantine.Attempt{Upstream: upstream, Contents: []quarantine.Content{{Name: name}}, SentAt: now.Add(-time.Second)}, now)
	}
	tracker.Terminated(upstream, now)
	return table
}

// An upstream that crashes while it runs many requests leaves as many suspects. Exchanges carry all of them,
// so that the crashes that two processes found separately add up.
func TestExchangeCarriesAllSuspectsOfACrash(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	tables := []*quarantine.Table{tableAfterCrash("a", 128, now), tableAfterCrash("b", 128, now)}
	for i, table := range tables {
		table.Merge(tables[1-i].Urgent(now, 32), now)
	}
	for _, table := range tables {
		_, quarantined := table.Check(crashingContent, now).(quarantine.Quarantined)
		is.True(quarantined)
	}
}

// Suspects of later crashes do not evict quarantined content from a full table.
func TestQuarantinedContentIsNotEvicted(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := quarantine.NewTable(quarantine.WithCapacity(100))
	table.Report([]string{crashingContent}, "a", now)
	table.Report([]string{crashingContent}, "b", now)
	for n := range 1000 {
		later := now.Add(time.Duration(n) * time.Millisecond)
		table.Report([]string{fmt.Sprintf("other-%d", n)}, fmt.Sprintf("c-%d", n/64), later)
	}
	_, quarantined := table.Check(crashingContent, now.Add(time.Second)).(quarantine.Quarantined)
	is.True(quarantined)
	is.Equal(len(table.Suspects(now.Add(time.Second))), 100)
}

// Requests with very many parts do not make the tracker keep more than a bounded number of contents, and the latest ones are
// kept.
func TestKeptContentsAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := quarantine.NewTable(quarantine.WithCapacity(1 << 20))
	tracker := quarantine.NewTracker(table)
	const requests, parts, bound = 100, 4000, 1 << 16
	for n := range requests {
		contents := make([]quarantine.Content, parts)
		for i := range contents {
			contents[i] = quarantine.Content{Name: fmt.Sprintf("p%d-%d", n, i), Part: true}
		}
		tracker.Abandoned(quarantine.Attempt{Upstream: fmt.Sprintf("u%d", n%3), Contents: contents, SentAt: now}, now.Add(time.Duration(n)))
	}
	suspected := 0
	for n := range 3 {
		suspected += len(tracker.Terminated(fmt.Sprintf("u%d", n), now.Add(time.Second)))
	}
	is.True(suspected <= bound)
	is.True(suspected > bound-parts)
	is.Equal(table.Check(fmt.Sprintf("p%d-0", requests-1), now.Add(time.Second)), quarantine.Suspected{})
}
