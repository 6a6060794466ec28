package migration_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/migration"
)

// Guards against moves of streams that end in time anyway, and of those that no engine would end in time.
func TestIsWorthwhile(t *testing.T) {
	slow, fast := 150*time.Millisecond, 40*time.Millisecond
	tests := map[string]struct {
		stream      migration.Stream
		destination time.Duration
		want        bool
	}{
		"long at a slow engine":        {migration.Stream{Received: 10, Estimate: 100, Max: 160, Pause: slow, Remaining: 10 * time.Second}, fast, true},
		"longer than its estimate":     {migration.Stream{Received: 60, Estimate: 40, Max: 160, Pause: slow, Remaining: 2 * time.Second}, fast, true},
		"short at a slow engine":       {migration.Stream{Received: 10, Estimate: 20, Max: 160, Pause: slow, Remaining: 10 * time.Second}, fast, false},
		"long at a fast engine":        {migration.Stream{Received: 10, Estimate: 100, Max: 160, Pause: fast, Remaining: 10 * time.Second}, fast, false},
		"the other one is slower":      {migration.Stream{Received: 10, Estimate: 100, Max: 160, Pause: slow, Remaining: 10 * time.Second}, 200 * time.Millisecond, false},
		"too late":                     {migration.Stream{Received: 60, Estimate: 140, Max: 160, Pause: slow, Remaining: time.Second}, fast, false},
		"less time than a move takes":  {migration.Stream{Received: 60, Estimate: 70, Max: 160, Pause: slow, Remaining: 200 * time.Millisecond}, fast, false},
		"no estimate, long maximum":    {migration.Stream{Received: 10, Max: 160, Pause: slow, Remaining: 6 * time.Second}, fast, true},
		"no estimate, no maximum":      {migration.Stream{Received: 10, Pause: slow, Remaining: 6 * time.Second}, fast, false},
		"far longer than its estimate": {migration.Stream{Received: 150, Estimate: 1, Max: 160, Pause: slow, Remaining: time.Second}, fast, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := migration.NewPlanner()
			for range 100 {
				p.Began()
			}
			is.New(t).Equal(p.IsWorthwhile(tt.stream, migration.Destination{Pause: tt.destination}), tt.want)
		})
	}
}

// Guards against more moves than the stated share of the streams, in any sequence, also from a start without streams.
func TestAtMostAShareOfStreamsMoves(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		p := migration.NewPlanner()
		began, moved := 0, 0
		for range 2000 {
			switch {
			case random.IntN(3) == 0:
				p.Began()
				began++
			case moved > 0 && random.IntN(20) == 0:
				p.Return()
				moved--
			case p.Reserve():
				moved++
			}
			is.True(float64(moved) <= 0.15*float64(began)+1e-9)
		}
		is.True(float64(moved) >= 0.1*float64(began))
	}
}

// Guards against a verdict from too few events, and against moves for callers that read slowly.
func TestPauseOfAStream(t *testing.T) {
	const pause = 100 * time.Millisecond
	tests := map[string]struct {
		events  int
		writing time.Duration
		known   bool
	}{
		"too few events":    {6, 0, false},
		"enough events":     {7, 0, true},
		"slow reader":       {40, 30 * time.Millisecond, false},
		"many fast written": {40, time.Millisecond, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var p migration.Progress
			for n := range tt.events {
				p.Received(time.Unix(0, 0).Add(time.Duration(n)*pause), tt.writing)
			}
			got, known := p.Pause()
			is.Equal(known, tt.known)
			is.True(!known || got == pause)
		})
	}
}

// One stream that is at risk is compared with each engine of its pool every quarter of a second.
func BenchmarkIsWorthwhile(b *testing.B) {
	p := migration.NewPlanner()
	s := migration.Stream{Received: 60, Estimate: 40, Max: 160, Pause: 150 * time.Millisecond, Remaining: 2 * time.Second}
	for b.Loop() {
		p.IsWorthwhile(s, migration.Destination{Pause: 40 * time.Millisecond})
	}
}
