package decode_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gooseberrypin.example/router/decode"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/subset"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

func TestMemoryReserve(t *testing.T) {
	for name, test := range map[string]struct {
		limit  int
		before []int
		prompt int
		want   refusal.Reason
	}{
		"free":                      {prompt: 8000},
		"more than the engine has":  {prompt: 64 * 4096, want: refusal.Overloaded},
		"kept for growth":           {before: []int{30 * 4096, 30 * 4096}, prompt: 100, want: refusal.Overloaded},
		"beyond the limit":          {limit: 2, before: []int{100, 100}, prompt: 100, want: refusal.Overloaded},
		"first beyond growth":       {prompt: 62 * 4096},
		"within limit after others": {limit: 3, before: []int{100, 100}, prompt: 100},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := decode.NewMemory(64, 4096)
			m.SetLimit(test.limit)
			for i, prompt := range test.before {
				is.Equal(m.Reserve(fmt.Sprint(i), prompt, 1024, time.Second, start), nil)
			}
			refused := m.Reserve("new", test.prompt, 1024, time.Second, start)
			is.Equal(refused == nil, test.want == 0)
			if refused != nil {
				is.Equal(refused.Reason, test.want)
				is.Equal(refused.Ran, refusal.RanNo)
			}
		})
	}
}

// TestMemoryAccounts checks that memory is never promised twice and never lost, for random histories.
func TestMemoryAccounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const pieces = 16
		m := decode.NewMemory(pieces, 100)
		now := start
		tokens := make(map[string]int)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			attempt := fmt.Sprint(rapid.IntRange(0, 7).Draw(t, "attempt"))
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "wait")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				prompt := rapid.IntRange(1, 500).Draw(t, "prompt")
				if _, held := tokens[attempt]; !held && m.Reserve(attempt, prompt, 100, time.Second, now) == nil {
					tokens[attempt] = prompt + 1
				}
			case 1:
				if r := m.Start(attempt, now); r != nil && r.Reason == refusal.StaleAttempt {
					delete(tokens, attempt)
				}
			case 2:
				if m.Grow(attempt, tokens[attempt]+150) {
					tokens[attempt] += 150
				}
			case 3:
				_, held := tokens[attempt]
				if m.Release(attempt) != held {
					t.Fatalf("release of %s: held is %v", attempt, held)
				}
				delete(tokens, attempt)
			case 4:
				for _, expired := range m.ExpireHolds(now) {
					delete(tokens, expired)
				}
			}
			used := 0
			for _, n := range tokens {
				used += (n + 99) / 100
			}
			if used > pieces || m.HeldAttempts() != len(tokens) || m.FreePieces() > pieces-used {
				t.Fatalf("used %d, held %d of %d, free %d", used, m.HeldAttempts(), len(tokens), m.FreePieces())
			}
		}
	})
}

func TestProgress(t *testing.T) {
	is := is.New(t)
	p := decode.NewStallDetector(100 * time.Millisecond)
	is.True(!p.Stalled(start.Add(time.Hour))) // idle
	p.Begin(start)
	is.True(p.Stalled(start.Add(101 * time.Millisecond)))
	p.Step(true, start.Add(90*time.Millisecond))
	is.True(!p.Stalled(start.Add(190 * time.Millisecond)))
	p.Step(false, start.Add(190*time.Millisecond))
	is.True(!p.Stalled(start.Add(time.Hour)))
}

func TestChoose(t *testing.T) {
	hint := func(name string, running, pieces int, accepting bool) decode.Hint {
		return decode.Hint{Upstream: name, FreePieces: pieces, Running: running, Limit: 34, Accepting: accepting, At: start}
	}
	for name, test := range map[string]struct {
		hints []decode.Hint
		avoid []string
		own   int
		after time.Duration
		want  string
	}{
		"roomiest":               {hints: []decode.Hint{hint("a", 30, 9, true), hint("b", 20, 9, true)}, want: "b"},
		"avoided":                {hints: []decode.Hint{hint("a", 30, 9, true), hint("b", 20, 9, true)}, avoid: []string{"b"}, want: "a"},
		"not accepting":          {hints: []decode.Hint{hint("a", 30, 9, true), hint("b", 20, 9, false)}, want: "a"},
		"no memory":              {hints: []decode.Hint{hint("a", 30, 9, true), hint("b", 20, 1, true)}, want: "a"},
		"own choices count":      {hints: []decode.Hint{hint("a", 30, 9, true), hint("b", 28, 30, true)}, own: 3, want: "a"},
		"full":                   {hints: []decode.Hint{hint("a", 34, 9, true), hint("b", 34, 9, true)}},
		"full hint loses weight": {hints: []decode.Hint{hint("a", 34, 9, true)}, after: 100 * time.Millisecond, want: "a"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := decode.NewChooser(rand.New(rand.NewPCG(1, 2)))
			var names []string
			for _, h := range test.hints {
				c.Observe(h)
				names = append(names, h.Upstream)
			}
			now := start.Add(time.Millisecond)
			for range test.own {
				c.Choose(2, []string{"b"}, nil, now)
			}
			got, found := c.Choose(2, names, test.avoid, now.Add(test.after))
			is.Equal(found, test.want != "")
			is.Equal(got, test.want)
		})
	}
}

// BenchmarkChoose is one choice among the subset of a pool.
func BenchmarkChoose(b *testing.B) {
	for _, servers := range []int{30, 2100} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			members := make([]subset.Member, servers)
			for i := range members {
				members[i] = subset.Member{Name: fmt.Sprintf("decode-%d", i), DataCentre: fmt.Sprint(i % 19)}
			}
			candidates := subset.Select("entry", "0", members, subset.MaxSize)
			c := decode.NewChooser(rand.New(rand.NewPCG(1, 2)))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := start.Add(time.Duration(i) * time.Millisecond)
				name := candidates[i%len(candidates)]
				c.Observe(decode.Hint{Upstream: name, FreePieces: 60, Running: 4, Limit: 34, Accepting: true, At: now})
				c.PredictedWait(0, candidates, now)
				c.Choose(1, candidates, nil, now)
			}
		})
	}
}

// BenchmarkMemory is the accounting of one stream: reserve, start, grow and release.
func BenchmarkMemory(b *testing.B) {
	m := decode.NewMemory(64, 4096)
	b.ReportAllocs()
	for b.Loop() {
		m.Reserve("a", 1200, 1024, time.Second, start)
		m.Start("a", start)
		m.Grow("a", 1300)
		m.Release("a")
	}
}

// The first engine that a process hears of does not get all streams: an engine that it knows nothing of gets
// one, which tells of it.
func TestUnknownEngineGetsAStream(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		c := decode.NewChooser(rand.New(rand.NewPCG(seed, 1)))
		engines := []string{"a", "b"}
		first, _ := c.Choose(1, engines, nil, start)
		c.Observe(decode.Hint{Upstream: first, FreePieces: 60, Running: 1, Limit: 8, Accepting: true, At: start})
		second, _ := c.Choose(1, engines, nil, start)
		is.True(second != first)
		third, _ := c.Choose(1, engines, nil, start)
		is.Equal(third, first)      // nobody has told of the second one yet
		c.Release(second, 1, start) // it refused the stream
		fourth, _ := c.Choose(1, engines, nil, start)
		is.Equal(fourth, first)
	}
}
