package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/quarantine"
)

const (
	rounds          = 200
	others          = 6
	crashingContent = "crashing"
)

// simulate sends crashing content and other contents to engines for a number of rounds. Every engine that
// runs the crashing content crashes. It returns the number of crashed engines, and how often other content
// was refused.
func simulate(random *rand.Rand, check func(fingerprint string) quarantine.Verdict, report func(running []string)) (crashed, refused int) {
	for range rounds {
		var running []string
		suspects := 0
		for _, n := range random.Perm(others + 1) {
			fingerprint := fmt.Sprintf("other-%d", n)
			if n == others {
				fingerprint = crashingContent
			}
			switch check(fingerprint).(type) {
			case quarantine.Free:
				running = append(running, fingerprint)
			case quarantine.Suspected:
				if suspects == 0 {
					running = append(running, fingerprint)
				}
				suspects++
			case quarantine.Quarantined:
				if fingerprint != crashingContent {
					refused++
				}
			}
		}
		for _, fingerprint := range running {
			if fingerprint == crashingContent {
				report(running)
				crashed++
			}
		}
	}
	return crashed, refused
}

func TestContentCrashesAtMostTwoEngines(t *testing.T) {
	type result struct{ crashed, refused int }
	tests := map[string]struct {
		seed  uint64
		naive bool
		want  result
	}{
		"naive":  {seed: 1, naive: true, want: result{crashed: rounds}},
		"seed 1": {seed: 1, want: result{crashed: 2}},
		"seed 2": {seed: 2, want: result{crashed: 2}},
		"seed 3": {seed: 3, want: result{crashed: 2}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table, now := quarantine.NewTable(), time.Now()
			check := func(f string) quarantine.Verdict { return table.Check(f, now) }
			crashes := 0
			report := func(running []string) {
				crashes++
				table.Report(running, fmt.Sprintf("crash-%d", crashes), now)
			}
			if test.naive {
				check = func(string) quarantine.Verdict { return quarantine.Free{} }
			}
			crashed, refused := simulate(rand.New(rand.NewPCG(test.seed, 0)), check, report)
			is.New(t).Equal(result{crashed: crashed, refused: refused}, test.want)
		})
	}
}

func TestMerge(t *testing.T) {
	now := time.Now()
	minute := time.Minute
	merged := func(remaining time.Duration, crashes ...string) quarantine.Suspect {
		return quarantine.Suspect{Fingerprint: crashingContent, Crashes: crashes, Remaining: remaining}
	}
	tests := map[string]struct {
		own    []string
		merged quarantine.Suspect
		clear  bool
		after  time.Duration
		want   quarantine.Verdict
	}{
		"new suspect":           {merged: merged(minute, "a"), want: quarantine.Suspected{}},
		"same crash":            {own: []string{"a"}, merged: merged(minute, "a"), want: quarantine.Suspected{}},
		"two different crashes": {own: []string{"a"}, merged: merged(minute, "b"), want: quarantine.Quarantined{Remaining: 2 * minute}},
		"own entry sent back does not extend the term": {own: []string{"a", "b"}, merged: merged(2*minute+time.Millisecond, "a", "b"), want: quarantine.Quarantined{Remaining: 2 * minute}},
		"expired":                            {own: []string{"a", "b"}, after: 2*minute + 1, want: quarantine.Free{}},
		"expired before the merge":           {merged: merged(0, "a", "b"), want: quarantine.Free{}},
		"cleared stays free":                 {own: []string{"a"}, clear: true, merged: merged(minute, "a"), want: quarantine.Free{}},
		"cleared, then another crash":        {own: []string{"a"}, clear: true, merged: merged(minute, "b"), want: quarantine.Suspected{}},
		"clearing keeps quarantined content": {own: []string{"a", "b"}, clear: true, want: quarantine.Quarantined{Remaining: 2 * minute}},
		"merged clearing":                    {own: []string{"a"}, merged: quarantine.Suspect{Fingerprint: crashingContent, Cleared: []string{"a"}, Remaining: minute}, want: quarantine.Free{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := quarantine.NewTable(quarantine.WithTerm(2 * minute))
			for _, crash := range test.own {
				table.Report([]string{crashingContent}, crash, now)
			}
			if test.clear {
				table.Clear(quarantine.Content{Name: crashingContent}, now)
			}
			table.Merge([]quarantine.Suspect{test.merged}, now)
			is.New(t).Equal(table.Check(crashingContent, now.Add(test.after)), test.want)
		})
	}
}

func TestTableCapacity(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := quarantine.NewTable(quarantine.WithCapacity(2))
	for i, fingerprint := range []string{"a", "b", "c"} {
		table.Report([]string{fingerprint}, "crash", now.Add(time.Duration(i)*time.Second))
	}
	is.Equal(len(table.Suspects(now)), 2)
	is.Equal(table.Check("a", now), quarantine.Free{}) // the entry that expires first is evicted
}

// BenchmarkCheck measures a check of free content with a full table.
func BenchmarkCheck(b *testing.B) {
	table, now := quarantine.NewTable(), time.Now()
	for n := range 1024 {
		table.Report([]string{fmt.Sprintf("suspect-%d", n)}, "crash", now)
	}
	b.ReportAllocs()
	for b.Loop() {
		table.Check("other", now)
	}
}

// fullTable returns a table with as many suspects as an entry of the platform holds at most.
func fullTable(now time.Time) *quarantine.Table {
	const suspects = 4096
	table := quarantine.NewTable(quarantine.WithCapacity(suspects))
	for n := range suspects {
		table.RecordCrash(quarantine.Content{Name: fmt.Sprintf("suspect-%d", n)}, quarantine.Crash{Upstream: fmt.Sprintf("i-%d", n/128), SentAt: now}, now.Add(-time.Minute))
	}
	return table
}

// BenchmarkUrgent measures the selection of suspects for one exchange of an entry from a full table.
func BenchmarkUrgent(b *testing.B) {
	now := time.Now()
	table := fullTable(now)
	b.ReportAllocs()
	for b.Loop() {
		table.Urgent(now, 32)
	}
}

// BenchmarkRecordCrash measures recording crashes in a full table, which evicts an entry for each.
func BenchmarkRecordCrash(b *testing.B) {
	now := time.Now()
	table := fullTable(now)
	n := 0
	for b.Loop() {
		n++
		table.RecordCrash(quarantine.Content{Name: fmt.Sprintf("new-%d", n)}, quarantine.Crash{Upstream: "i-0", SentAt: now}, now)
	}
}

// BenchmarkAttribute measures the check after a crash while the table is full and holds quarantined content.
func BenchmarkAttribute(b *testing.B) {
	now := time.Now()
	table := fullTable(now)
	table.Report([]string{crashingContent}, "a", now)
	table.Report([]string{crashingContent}, "b", now)
	n := 0
	for b.Loop() {
		n++
		table.RecordCrash(quarantine.Content{Name: "suspect-4000"}, quarantine.Crash{Upstream: fmt.Sprintf("j-%d", n%4), SentAt: now.Add(time.Duration(n)), Proven: true}, now.Add(time.Duration(n)))
		table.Clear(quarantine.Content{Name: "suspect-4000"}, now)
		table.Check("other", now)
	}
}
