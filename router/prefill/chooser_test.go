package prefill_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/prefill"
	"gooseberrypin.example/router/subset"
)

const (
	cost = 25 * time.Microsecond
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	names = []string{"a", "b"}
)

func newChooser(opts ...prefill.Option) *prefill.Chooser {
	return prefill.NewChooser(rand.New(rand.NewPCG(1, 2)), append(opts, prefill.WithTokenCost(cost))...)
}

func hint(upstream string, delay time.Duration, accepting bool, at time.Time) prefill.Hint {
	return prefill.Hint{Upstream: upstream, QueueDelay: delay, Accepting: accepting, At: at}
}

func TestChoose(t *testing.T) {
	prompt := prefill.Prompt{Tokens: 1024, Blocks: []uint64{1, 2, 3, 4}}
	for name, test := range map[string]struct {
		before func(c *prefill.Chooser)
		want   string
		cached int
	}{
		"shorter queue": {
			before: func(c *prefill.Chooser) {
				c.Observe(hint("a", 50*time.Millisecond, true, start))
				c.Observe(hint("b", 10*time.Millisecond, true, start))
			},
			want: "b",
		},
		"upstream that does not accept": {
			before: func(c *prefill.Chooser) {
				c.Observe(hint("a", 50*time.Millisecond, true, start))
				c.Observe(hint("b", 0, false, start))
			},
			want: "a",
		},
		"cached prefix outweighs a short queue": {
			before: func(c *prefill.Chooser) {
				c.Observe(hint("a", 10*time.Millisecond, true, start))
				c.Observe(hint("b", 0, true, start))
				c.ObserveCache("a", []uint64{1, 2, 3})
			},
			want: "a", cached: 768,
		},
		"gap in the prefix": {
			before: func(c *prefill.Chooser) {
				c.Observe(hint("a", 10*time.Millisecond, true, start))
				c.Observe(hint("b", 0, true, start))
				c.ObserveCache("a", []uint64{2, 3})
			},
			want: "b",
		},
		"older hint is ignored": {
			before: func(c *prefill.Chooser) {
				c.Observe(hint("a", 50*time.Millisecond, true, start))
				c.Observe(hint("a", 0, true, start.Add(-time.Second)))
				c.Observe(hint("b", 10*time.Millisecond, true, start))
			},
			want: "b",
		},
		"choices after the hint's time add to it": {
			before: func(c *prefill.Chooser) {
				c.Observe(hint("a", 0, true, start.Add(-time.Second)))
				c.Observe(hint("b", 20*time.Millisecond, true, start))
				c.Choose(prompt, []string{"a"}, start)
				c.Observe(hint("a", 0, true, start.Add(-time.Millisecond)))
			},
			want: "b",
		},
		"withdrawn choice": {
			before: func(c *prefill.Chooser) {
				c.Observe(hint("a", 0, true, start.Add(-time.Second)))
				c.Observe(hint("b", 20*time.Millisecond, true, start))
				made, _ := c.Choose(prompt, []string{"a"}, start)
				c.Withdraw(prompt, made)
			},
			want: "a",
		},
		"hint is dropped by Forget": {
			before: func(c *prefill.Chooser) {
				c.Observe(hint("a", 0, false, start))
				c.Observe(hint("b", 0, false, start))
				c.Forget("a")
			},
			want: "a",
		},
		"none accepts": {
			before: func(c *prefill.Chooser) {
				c.Observe(hint("a", 0, false, start))
				c.Observe(hint("b", 0, false, start))
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newChooser()
			test.before(c)
			got, found := c.Choose(prompt, names, start)
			is.Equal(found, test.want != "")
			is.Equal(got.Upstream, test.want)
			is.Equal(got.CachedTokens, test.cached)
		})
	}
}

// BenchmarkChoose measures one choice among the subset of a pool.
func BenchmarkChoose(b *testing.B) {
	for _, servers := range []int{30, 2100} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			members := make([]subset.Member, servers)
			for i := range members {
				members[i] = subset.Member{Name: fmt.Sprintf("prefill-%d", i), DataCentre: fmt.Sprint(i % 19)}
			}
			candidates := subset.Select("entry", "0", members, subset.MaxSize)
			c := newChooser()
			blocks := make([]uint64, 4096)
			for i := range blocks {
				blocks[i] = uint64(i)
			}
			for i, name := range candidates {
				c.Observe(hint(name, time.Duration(i)*time.Millisecond, true, start))
				c.ObserveCache(name, blocks)
			}
			prompt := prefill.Prompt{Tokens: 1200, Blocks: []uint64{1, 2, 3, 4}}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				c.Choose(prompt, candidates, start.Add(time.Duration(i)*time.Millisecond))
			}
		})
	}
}

// BenchmarkState allocates the state of a chooser with a full subset. Its B/op bounds a chooser's memory.
func BenchmarkState(b *testing.B) {
	blocks := make([]uint64, 4096)
	for i := range blocks {
		blocks[i] = uint64(i)
	}
	b.ReportAllocs()
	for b.Loop() {
		c := newChooser()
		for i := range subset.MaxSize {
			c.ObserveCache(fmt.Sprint(i), blocks)
		}
	}
}
