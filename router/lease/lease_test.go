package lease_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/lease"
)

const (
	length = 1500 * time.Millisecond
	grace  = time.Second
)

func TestRenew(t *testing.T) {
	start := time.Now()
	tests := map[string]struct {
		after   time.Duration
		wanted  []string
		dropped []string
		unknown []string
	}{
		"all wanted":              {after: length, wanted: []string{"a"}},
		"young item stays":        {after: grace, wanted: nil},
		"unwanted item goes":      {after: grace + 1, wanted: nil, dropped: []string{"a"}},
		"unknown item is told":    {after: 1, wanted: []string{"a", "b"}, unknown: []string{"b"}},
		"overdue holder has lost": {after: length + 1, wanted: []string{"a"}, dropped: []string{"a"}, unknown: []string{"a"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := lease.NewTable(length)
			table.Add("entry-1", "a", start)
			dropped, unknown := table.Renew("entry-1", test.wanted, grace, start.Add(test.after))
			is.Equal(dropped, test.dropped)
			is.Equal(unknown, test.unknown)
		})
	}
}

func TestExpire(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	table := lease.NewTable(length)
	table.Add("entry-1", "a", start)
	table.Add("entry-2", "b", start.Add(time.Second))
	is.Equal(table.Expire(start.Add(length)), nil)
	is.Equal(table.Expire(start.Add(length+1)), []string{"a"})
	is.Equal(table.ItemCounts(), map[string]int{"entry-2": 1})
}

// BenchmarkRenew takes the heartbeat of an entry that holds the given number of attempts.
func BenchmarkRenew(b *testing.B) {
	for name, items := range map[string]int{"8 attempts": 8, "64 attempts": 64} {
		b.Run(name, func(b *testing.B) {
			table, now := lease.NewTable(length), time.Now()
			var wanted []string
			for n := range items {
				wanted = append(wanted, fmt.Sprintf("key-%d", n))
				table.Add("entry-1", wanted[n], now)
			}
			b.ReportAllocs()
			for b.Loop() {
				table.Renew("entry-1", wanted, grace, now)
			}
		})
	}
}
