// Package formation decides which engines of a pool prefill and which decode. With too many prefill
// engines, decode memory runs out in a burst while prefill engines are idle. Engines are switched once,
// before the fleet serves its first request, because an engine takes seconds to switch its phase and
// rejects work meanwhile.
package formation

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/upstream"
)

const (
	// pollInterval is the time between two checks of the directory's size.
	pollInterval = 250 * time.Millisecond
	// settleTime plus the time between two updates of the directory is how long the directory must not
	// have grown before engines are switched. The engines of a starting fleet publish themselves one
	// shortly after the other.
	settleTime = 700 * time.Millisecond
	// switchWindow is the time after the start during which engines are switched. A new fleet of a few VMs
	// serves requests after 10 s and has discovered its engines after 2 s. A fleet of hundreds serves
	// after 14 s and has discovered them after 5 s. An engine takes 6 s to switch.
	switchWindow = 8 * time.Second
	// staffingCoefficient times the square root of a pool's engines is the number of prefill engines kept
	// beyond the share (square-root staffing). A small pool needs relatively more of them than a large
	// one: the load of a single engine varies, while the load of many together hardly does.
	staffingCoefficient = 0.51
	// orderTimeout limits the wait for the response to an order. Engines respond before they switch.
	orderTimeout = time.Second
)

type (
	// Orders sends orders to engines.
	Orders interface {
		// SwitchPhase orders an engine to switch to a phase. It returns an error unless the
		// engine accepted the order.
		SwitchPhase(ctx context.Context, m *upstream.Member, to upstream.Phase) error
	}

	// Rebalancer switches surplus prefill engines to decode when a fleet starts for the first time. It gives orders only while
	// this process is the coordinator of the fleet.
	Rebalancer struct {
		directory   *upstream.Directory
		coordinates func(context.Context) bool
		orders      Orders
		share       float64
		// minStableTime is how long the directory must not have grown.
		minStableTime time.Duration
		idle          func() bool
		log           event.Log
		// switched holds the IDs of the engines that accepted an order. The directory shows their new
		// phase seconds later.
		switched map[string]bool
	}
)

// NewRebalancer returns a Rebalancer that keeps a share of each pool's engines for prefill. It switches engines
// only while idle returns true: no request has been served yet. updateInterval is the longest time
// between two updates of the directory. coordinates reports whether this process is the one that gives orders; it is called
// only when there are orders to give.
func NewRebalancer(directory *upstream.Directory, updateInterval time.Duration, coordinates func(context.Context) bool, orders Orders, share float64, idle func() bool, log event.Log) *Rebalancer {
	return &Rebalancer{directory: directory, coordinates: coordinates, orders: orders, share: share, minStableTime: updateInterval + settleTime, idle: idle, log: log, switched: make(map[string]bool)}
}

// Run switches surplus engines whenever the directory has stopped growing, until a request is served, the
// window is over or ctx ends.
func (b *Rebalancer) Run(ctx context.Context) {
	end := time.Now().Add(switchWindow)
	size, lastGrowth := 0, time.Now()
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for b.idle() {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			known := b.directory.Size()
			if known > size {
				size, lastGrowth = known, now
			}
			switch {
			case now.After(end):
				return
			case size > 0 && now.Sub(lastGrowth) >= b.minStableTime:
				if b.switchSurplus(ctx) {
					// Only further growth starts another round within the window.
					size, lastGrowth = known, now.Add(switchWindow)
				}
			}
		}
	}
}

// switchSurplus orders the surplus prefill engines of all pools to decode. It counts engines that accepted an
// earlier order as decode engines. It returns false if there is a surplus and this process does not coordinate.
func (b *Rebalancer) switchSurplus(ctx context.Context) bool {
	for _, pool := range b.directory.Pools() {
		published := b.directory.Published(pool, upstream.PhasePrefill)
		prefill := slices.DeleteFunc(slices.Clone(published), func(m *upstream.Member) bool { return b.switched[m.ID] })
		decode := len(b.directory.Published(pool, upstream.PhaseDecode)) + len(published) - len(prefill)
		surplus := Surplus(prefill, decode, b.share)
		if len(surplus) > 0 && !b.coordinates(ctx) {
			return false
		}
		for _, m := range surplus {
			limited, cancel := context.WithTimeout(ctx, orderTimeout)
			err := b.orders.SwitchPhase(limited, m, upstream.PhaseDecode)
			cancel()
			fields := []any{"upstream", m.ID, "pool", pool, "phase", upstream.PhaseDecode.String(),
				"prefill", len(prefill), "decode", decode, "share", b.share}
			if err != nil {
				b.log.Error(err, event.PhaseSwitchFailed, fields...)
				continue
			}
			b.switched[m.ID] = true
			b.log.Info(event.EnginePhaseSwitched, fields...)
		}
	}
	return true
}

// Surplus returns the prefill engines of a pool that exceed the given share of all its engines plus the
// spare ones by square-root staffing. It returns none if share is zero or less. The engines that remain are
// spread over the data centres. The result depends on the engines only, not on their order.
func Surplus(prefill []*upstream.Member, decode int, share float64) []*upstream.Member {
	if share <= 0 || len(prefill) == 0 {
		return nil
	}
	engines := float64(len(prefill) + decode)
	keep := int(math.Ceil(share*engines + staffingCoefficient*math.Sqrt(engines)))
	if keep >= len(prefill) {
		return nil
	}
	ordered := slices.SortedFunc(slices.Values(prefill), func(a, b *upstream.Member) int { return cmp.Compare(a.ID, b.ID) })
	return interleaveDataCentres(ordered)[keep:]
}

// interleaveDataCentres orders engines so that any number of the first ones is spread over the data
// centres.
func interleaveDataCentres(members []*upstream.Member) []*upstream.Member {
	rank := make(map[string]int)
	ranks := make(map[*upstream.Member]int, len(members))
	for _, m := range members {
		ranks[m] = rank[m.DataCentre]
		rank[m.DataCentre]++
	}
	return slices.SortedStableFunc(slices.Values(members), func(a, b *upstream.Member) int { return cmp.Compare(ranks[a], ranks[b]) })
}
