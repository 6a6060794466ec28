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
	rounds     = 200
	neighbours = 6
	killer     = "killer"
)

// drive sends a killer and its neighbours to engines again and again. Every engine that
// runs the killer dies. It returns the lost engines and the refused innocents.
func drive(random *rand.Rand, check func(fingerprint string) quarantine.Verdict, report func(running []string)) (lost, refused int) {
	for range rounds {
		var running []string
		suspects := 0
		for _, n := range random.Perm(neighbours + 1) {
			fingerprint := fmt.Sprintf("innocent-%d", n)
			if n == neighbours {
				fingerprint = killer
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
				if fingerprint != killer {
					refused++
				}
			}
		}
		for _, fingerprint := range running {
			if fingerprint == killer {
				report(running)
				lost++
			}
		}
	}
	return lost, refused
}

func TestKillerLosesAtMostTwoEngines(t *testing.T) {
	type result struct{ lost, refused int }
	tests := map[string]struct {
		seed  uint64
		naive bool
		want  result
	}{
		"naive":  {seed: 1, naive: true, want: result{lost: rounds}},
		"seed 1": {seed: 1, want: result{lost: 2}},
		"seed 2": {seed: 2, want: result{lost: 2}},
		"seed 3": {seed: 3, want: result{lost: 2}},
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
			lost, refused := drive(rand.New(rand.NewPCG(test.seed, 0)), check, report)
			is.New(t).Equal(result{lost: lost, refused: refused}, test.want)
		})
	}
}

func TestMerge(t *testing.T) {
	now := time.Now()
	minute := time.Minute
	merged := func(remaining time.Duration, crashes ...string) quarantine.Suspect {
		return quarantine.Suspect{Fingerprint: killer, Crashes: crashes, Remaining: remaining}
	}
	tests := map[string]struct {
		own    []string
		merged quarantine.Suspect
		clear  bool
		after  time.Duration
		want   quarantine.Verdict
	}{
		"unknown suspect":      {merged: merged(minute, "a"), want: quarantine.Suspected{}},
		"same crash":           {own: []string{"a"}, merged: merged(minute, "a"), want: quarantine.Suspected{}},
		"two crashes at once":  {own: []string{"a"}, merged: merged(minute, "b"), want: quarantine.Quarantined{Remaining: 2 * minute}},
		"echo does not renew":  {own: []string{"a", "b"}, merged: merged(2*minute+time.Millisecond, "a", "b"), want: quarantine.Quarantined{Remaining: 2 * minute}},
		"forgotten in time":    {own: []string{"a", "b"}, after: 2*minute + 1, want: quarantine.Free{}},
		"nothing remains":      {merged: merged(0, "a", "b"), want: quarantine.Free{}},
		"cleared stays free":   {own: []string{"a"}, clear: true, merged: merged(minute, "a"), want: quarantine.Free{}},
		"cleared, then anew":   {own: []string{"a"}, clear: true, merged: merged(minute, "b"), want: quarantine.Suspected{}},
		"quarantine stays":     {own: []string{"a", "b"}, clear: true, want: quarantine.Quarantined{Remaining: 2 * minute}},
		"clearing is told too": {own: []string{"a"}, merged: quarantine.Suspect{Fingerprint: killer, Cleared: []string{"a"}, Remaining: minute}, want: quarantine.Free{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := quarantine.NewTable(quarantine.WithTerm(2 * minute))
			for _, crash := range test.own {
				table.Report([]string{killer}, crash, now)
			}
			if test.clear {
				table.Clear(killer, now)
			}
			table.Merge([]quarantine.Suspect{test.merged}, now)
			is.New(t).Equal(table.Check(killer, now.Add(test.after)), test.want)
		})
	}
}

func TestBoundedTable(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := quarantine.NewTable(quarantine.WithCapacity(2))
	for i, fingerprint := range []string{"a", "b", "c"} {
		table.Report([]string{fingerprint}, "crash", now.Add(time.Duration(i)*time.Second))
	}
	is.Equal(len(table.Suspects(now)), 2)
	is.Equal(table.Check("a", now), quarantine.Free{}) // the one that ends first makes room
}

// BenchmarkCheck looks up free content in a full table.
func BenchmarkCheck(b *testing.B) {
	table, now := quarantine.NewTable(), time.Now()
	for n := range 1024 {
		table.Report([]string{fmt.Sprintf("suspect-%d", n)}, "crash", now)
	}
	b.ReportAllocs()
	for b.Loop() {
		table.Check("innocent", now)
	}
}

// full returns a table that holds as many suspects as an entry of the platform keeps.
func full(now time.Time) *quarantine.Table {
	const suspects = 4096
	table := quarantine.NewTable(quarantine.WithCapacity(suspects))
	for n := range suspects {
		table.Blame(fmt.Sprintf("suspect-%d", n), quarantine.Crash{Upstream: fmt.Sprintf("i-%d", n/128), SentAt: now}, now.Add(-time.Minute))
	}
	return table
}

// BenchmarkUrgent is what each exchange of an entry asks of a full table.
func BenchmarkUrgent(b *testing.B) {
	now := time.Now()
	table := full(now)
	b.ReportAllocs()
	for b.Loop() {
		table.Urgent(now, 32)
	}
}

// BenchmarkBlame adds suspects to a full table, in which others make room.
func BenchmarkBlame(b *testing.B) {
	now := time.Now()
	table := full(now)
	n := 0
	for b.Loop() {
		n++
		table.Blame(fmt.Sprintf("new-%d", n), quarantine.Crash{Upstream: "i-0", SentAt: now}, now)
	}
}
