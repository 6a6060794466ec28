package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/quarantine"
)

const (
	rounds          = 200
	others          = 6
	crashingContent = "crashing"
	// manyParts is the number of distinct parts of prompts beside the crashing one.
	manyParts = 10_000
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
				table.Clear([]quarantine.Content{{Name: crashingContent}}, now)
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

// tableWithManyParts returns a table after three engines crashed, each on a request with the crashing part beside others
// with different parts, and the names of the crashes.
func tableWithManyParts(now time.Time) *quarantine.Table {
	const engines, partsEach = 3, 100
	table := quarantine.NewTable(quarantine.WithClearQuarantined(), quarantine.WithCapacity(4096))
	tracker := quarantine.NewTracker(table)
	for engine := range engines {
		sentAt := now.Add(time.Duration(engine) * time.Millisecond)
		for n := engine * manyParts / engines; n < (engine+1)*manyParts/engines; n += partsEach {
			contents := []quarantine.Content{{Name: fmt.Sprintf("%016x", n)}}
			for i := range partsEach {
				contents = append(contents, quarantine.Content{Name: fmt.Sprintf("part:%08x", n+i), Part: true})
			}
			if n%manyParts < partsEach || n >= engine*manyParts/engines && n < engine*manyParts/engines+partsEach {
				contents = append(contents, quarantine.Content{Name: crashingContent, Part: true})
			}
			tracker.Disconnected(quarantine.Attempt{Upstream: fmt.Sprintf("i-%010x@1790000000123", engine), Contents: contents, SentAt: sentAt}, sentAt)
		}
		tracker.Terminated(fmt.Sprintf("i-%010x@1790000000123", engine), sentAt)
	}
	return table
}

// Very many distinct parts at the engines that crash neither hide the crashing part nor fill the memory.
func TestManyPartsAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	before := heapBytes()
	table := tableWithManyParts(now)
	later := now.Add(time.Second)
	is.Equal(len(table.Suspects(later)), 4096)
	// The crashing part is what another process learns first.
	shared := table.Shared(later, 28)
	is.Equal(shared[0].Fingerprint, crashingContent)
	size := heapBytes() - before
	t.Logf("%d bytes in memory, %d suspects in an exchange", size, len(shared))
	is.True(size < 8<<20)
	other := quarantine.NewTable(quarantine.WithClearQuarantined())
	other.Merge(shared, later)
	for _, table := range []*quarantine.Table{table, other} {
		_, quarantined := table.Check(crashingContent, later).(quarantine.Quarantined)
		is.True(quarantined)
	}
}

// heapBytes returns the bytes in use after a garbage collection.
func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Parts that can't be told apart are reported as one content, as only requests with all of them are refused.
func TestPartsThatAreNotToldApartAreReportedAsOne(t *testing.T) {
	is := is.New(t)
	table, now := quarantine.NewTable(), time.Now()
	contents := []quarantine.Content{{Name: "y", Part: true}, {Name: "x", Part: true}}
	crash := func(upstream string, contents ...quarantine.Content) {
		table.RecordCrash(contents, quarantine.Crash{Upstream: upstream, SentAt: now, Proven: true}, now)
	}
	for _, upstream := range []string{"a", "b", "c"} {
		crash(upstream, contents...)
	}
	is.Equal(table.TakeNewlyQuarantined(), []string{"x+y"})
	is.Equal(table.TakeNewlyQuarantined(), nil)
	crash("d", contents[1])
	is.Equal(table.TakeNewlyQuarantined(), []string{"x"})
}

// A process that has served nothing yet learns which parts are common, and does not take them for the cause of crashes.
func TestCommonPartsAreShared(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	serving, started := quarantine.NewTable(quarantine.WithClearQuarantined()), quarantine.NewTable(quarantine.WithClearQuarantined())
	common := quarantine.Content{Name: "common", Part: true}
	for n := range 1000 {
		serving.Clear([]quarantine.Content{common, {Name: fmt.Sprintf("own-%d", n), Part: true}}, now)
	}
	is.Equal(len(serving.Shared(now, 28)), 28)
	for n := range 100 {
		serving.RecordCrash([]quarantine.Content{{Name: fmt.Sprintf("suspect-%d", n)}}, quarantine.Crash{Upstream: "z", SentAt: now, Proven: true}, now.Add(-time.Minute))
	}
	shared := serving.Shared(now, 28)
	is.Equal(len(shared), 28)
	started.Merge(shared, now)
	for _, upstream := range []string{"a", "b", "c", "d"} {
		started.RecordCrash([]quarantine.Content{common}, quarantine.Crash{Upstream: upstream, SentAt: now, Proven: true}, now)
	}
	is.Equal(started.Check("common", now), quarantine.Suspected{})
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
		table.RecordCrash([]quarantine.Content{{Name: fmt.Sprintf("suspect-%d", n)}}, quarantine.Crash{Upstream: fmt.Sprintf("i-%d", n/128), SentAt: now}, now.Add(-time.Minute))
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
		table.RecordCrash([]quarantine.Content{{Name: fmt.Sprintf("new-%d", n)}}, quarantine.Crash{Upstream: "i-0", SentAt: now}, now)
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
		table.RecordCrash([]quarantine.Content{{Name: "suspect-4000"}}, quarantine.Crash{Upstream: fmt.Sprintf("j-%d", n%4), SentAt: now.Add(time.Duration(n)), Proven: true}, now.Add(time.Duration(n)))
		table.Clear([]quarantine.Content{{Name: "suspect-4000"}}, now)
		table.Check("other", now)
	}
}
