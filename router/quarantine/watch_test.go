package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/quarantine"
)

type (
	// sent is a try of the killer: sent and over at some moments, in milliseconds.
	sent struct {
		upstream  string
		from, to  int
		broke     bool
		answered  bool
		abandoned bool
	}

	// lost is a connection that an upstream did not take in time.
	lost struct {
		upstream string
		at       int
	}

	// end is the proof of an upstream's end.
	end struct {
		upstream string
		at       int
	}
)

func TestTracker(t *testing.T) {
	broke := func(upstream string, from, to int) sent {
		return sent{upstream: upstream, from: from, to: to, broke: true}
	}
	abandoned := func(upstream string, from, to int) sent {
		return sent{upstream: upstream, from: from, to: to, abandoned: true}
	}
	free, suspected, kept := quarantine.Free{}, quarantine.Suspected{}, quarantine.Quarantined{}
	tests := map[string]struct {
		steps  []any
		shared bool
		want   quarantine.Verdict
	}{
		"nothing":                             {nil, false, free},
		"one end":                             {[]any{broke("a", 0, 10), end{"a", 20}}, false, suspected},
		"an end is told twice":                {[]any{broke("a", 0, 10), end{"a", 20}, end{"a", 30}}, false, suspected},
		"two ends":                            {[]any{broke("a", 0, 10), end{"a", 20}, broke("b", 30, 40), end{"b", 50}}, false, kept},
		"two ends at once":                    {[]any{broke("a", 0, 10), broke("b", 0, 10), end{"a", 20}, end{"b", 20}}, false, kept},
		"two that live on":                    {[]any{broke("a", 0, 10), broke("b", 30, 40)}, false, suspected},
		"three that live on":                  {[]any{broke("a", 0, 10), broke("b", 30, 40), broke("c", 50, 60)}, false, kept},
		"one that breaks off again and again": {[]any{broke("a", 0, 10), broke("a", 30, 40), broke("a", 50, 60)}, false, suspected},
		"one that ends again under its name":  {[]any{broke("a", 0, 10), end{"a", 20}, broke("a", 30, 40), end{"a", 50}}, false, kept},
		"the end is known before the break":   {[]any{end{"a", 5}, broke("a", 0, 10), end{"b", 35}, broke("b", 30, 40)}, false, kept},
		"an end long after":                   {[]any{broke("a", 0, 10), end{"a", 20}, abandoned("b", 30, 40), end{"b", 9000}}, false, suspected},
		"silent until they ended":             {[]any{abandoned("a", 0, 10), end{"a", 4000}, abandoned("b", 4100, 5000), end{"b", 8000}}, false, kept},
		"silent and alive":                    {[]any{abandoned("a", 0, 10), abandoned("b", 20, 30), abandoned("c", 40, 50)}, false, free},
		"a whole answer in between":           {[]any{broke("a", 0, 10), end{"a", 20}, sent{upstream: "c", from: 21, to: 25, answered: true}, broke("b", 30, 40), end{"b", 50}}, false, suspected},
		"a whole answer after all":            {[]any{broke("a", 0, 10), end{"a", 20}, broke("b", 0, 40), end{"b", 50}, sent{upstream: "c", from: 0, to: 60, answered: true}}, false, free},
		"silent, then out of reach":           {[]any{abandoned("a", 0, 10), lost{"a", 20}, abandoned("b", 30, 40), lost{"b", 50}, abandoned("c", 60, 70), lost{"c", 80}}, false, kept},
		"out of reach, then ended":            {[]any{abandoned("a", 0, 10), lost{"a", 20}, end{"a", 30}, abandoned("b", 40, 50), end{"b", 60}}, false, kept},
		"out of reach twice":                  {[]any{abandoned("a", 0, 10), lost{"a", 20}, lost{"a", 30}, abandoned("b", 40, 50), lost{"b", 60}}, false, suspected},
		"shared, ends at once":                {[]any{broke("a", 0, 10), broke("b", 0, 10), end{"a", 20}, end{"b", 20}}, true, suspected},
		"shared, ends in turn":                {[]any{broke("a", 0, 10), end{"a", 20}, broke("b", 30, 40), end{"b", 50}}, true, kept},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			began := time.Now()
			at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
			table := quarantine.NewTable(quarantine.WithClearQuarantined())
			w := quarantine.NewTracker(table)
			last := began
			for _, s := range tt.steps {
				switch s := s.(type) {
				case sent:
					last = at(s.to)
					try := quarantine.Attempt{Upstream: s.upstream, Contents: []quarantine.Content{{Name: killer, Shared: tt.shared}}, SentAt: at(s.from)}
					switch {
					case s.broke:
						w.Disconnected(try, last)
					case s.abandoned:
						w.Abandoned(try, last)
					case s.answered:
						w.Answered(try, last)
					}
				case lost:
					last = at(s.at)
					w.Unreachable(s.upstream, last)
				case end:
					last = at(s.at)
					w.Terminated(s.upstream, last)
				}
			}
			got := table.Check(killer, last)
			if _, ok := got.(quarantine.Quarantined); ok {
				got = kept
			}
			is.Equal(got, tt.want)
		})
	}
}

// Content that keeps coming runs at three upstreams a day at most beyond those that gave it away.
func TestTrialsBecomeRare(t *testing.T) {
	is := is.New(t)
	table, began := quarantine.NewTable(), time.Now()
	ran := 0
	for now := began; now.Before(began.Add(24 * time.Hour)); now = now.Add(time.Second) {
		if _, kept := table.Check(killer, now).(quarantine.Quarantined); kept {
			continue
		}
		ran++
		table.Blame(killer, quarantine.Crash{Upstream: "i-" + now.String(), SentAt: now, Proven: true}, now)
	}
	is.True(ran <= 2+3)
}

// busy returns a table after an upstream ended under many contents, the killer among them.
func busy(upstream string, contents int, now time.Time) *quarantine.Table {
	table := quarantine.NewTable()
	w := quarantine.NewTracker(table)
	for n := range contents {
		name := fmt.Sprintf("%s-%d", upstream, n)
		if n == contents/2 {
			name = killer
		}
		w.Disconnected(quarantine.Attempt{Upstream: upstream, Contents: []quarantine.Content{{Name: name}}, SentAt: now.Add(-time.Second)}, now)
	}
	w.Terminated(upstream, now)
	return table
}

// An upstream that ends under many requests leaves as many suspects: what two processes found apart
// counts together.
func TestSuspectsOfBusyUpstreamsAreToldWhole(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	tables := []*quarantine.Table{busy("a", 128, now), busy("b", 128, now)}
	for i, table := range tables {
		table.Merge(tables[1-i].Urgent(now, 32), now)
	}
	for _, table := range tables {
		_, kept := table.Check(killer, now).(quarantine.Quarantined)
		is.True(kept)
	}
}

// Suspects of later crashes don't push quarantined content out of a full table.
func TestQuarantinedContentStaysInAFullTable(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := quarantine.NewTable(quarantine.WithCapacity(100))
	table.Report([]string{killer}, "a", now)
	table.Report([]string{killer}, "b", now)
	for n := range 1000 {
		later := now.Add(time.Duration(n) * time.Millisecond)
		table.Report([]string{fmt.Sprintf("innocent-%d", n)}, fmt.Sprintf("c-%d", n/64), later)
	}
	_, kept := table.Check(killer, now.Add(time.Second)).(quarantine.Quarantined)
	is.True(kept)
	is.Equal(len(table.Suspects(now.Add(time.Second))), 100)
}
