// Package formation decides which engines of a pool prefill and which decode. It answers bursts:
// decode memory runs out while prefill engines are idle. Engines are turned once, before the fleet
// serves its first request, as an engine takes seconds to turn and refuses work meanwhile.
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
	// interval is the pause between two looks at the directory.
	interval = 250 * time.Millisecond
	// settleTime and the time between two reads of the directory's source are how long the directory must
	// not have grown: engines of a fleet that starts publish themselves one shortly after the other.
	settleTime = 700 * time.Millisecond
	// window is how long after the start engines are turned. A new fleet of a few VMs serves after ten
	// seconds and knows its engines after two; one of hundreds serves after fourteen and knows them
	// after five. An engine needs six to turn.
	window = 8 * time.Second
	// staffing times the root of a pool's engines is the number of engines that prefill beyond their share.
	// A few engines need more to spare than many: the work of each varies, that of all together hardly does.
	staffing = 0.51
	// orderTimeout bounds the answer to an order, which engines give at once.
	orderTimeout = time.Second
)

type (
	// Orders sends orders to engines.
	Orders interface {
		// SwitchPhase makes an engine serve another phase.
		SwitchPhase(ctx context.Context, m *upstream.Member, to upstream.Phase) error
	}

	// Rebalancer turns engines when a fleet starts for the first time. Only one process of a fleet may
	// run one.
	Rebalancer struct {
		directory *upstream.Directory
		orders    Orders
		share     float64
		settle    time.Duration
		idle      func() bool
		log       event.Log
		// turned are the engines that took an order; their entries follow seconds later.
		turned map[string]bool
	}
)

// NewRebalancer returns a former that leaves a share of each pool's engines to prefill, while idle
// reports that no request was served yet. The directory hears news of its source by this interval.
func NewRebalancer(directory *upstream.Directory, newsEvery time.Duration, orders Orders, share float64, idle func() bool, log event.Log) *Rebalancer {
	return &Rebalancer{directory: directory, orders: orders, share: share, settle: newsEvery + settleTime, idle: idle, log: log, turned: make(map[string]bool)}
}

// Run turns engines whenever the directory is settled, until requests come or the window is over.
func (f *Rebalancer) Run(ctx context.Context) {
	end := time.Now().Add(window)
	size, grown := 0, time.Now()
	t := time.NewTicker(interval)
	defer t.Stop()
	for f.idle() {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			known := f.directory.Size()
			if known > size {
				size, grown = known, now
			}
			switch {
			case now.After(end):
				return
			case size > 0 && now.Sub(grown) >= f.settle:
				f.turn(ctx)
				size, grown = known, now.Add(window)
			}
		}
	}
}

func (f *Rebalancer) turn(ctx context.Context) {
	for _, pool := range f.directory.Pools() {
		published := f.directory.Published(pool, upstream.PhasePrefill)
		prefill := slices.DeleteFunc(slices.Clone(published), func(m *upstream.Member) bool { return f.turned[m.ID] })
		decode := len(f.directory.Published(pool, upstream.PhaseDecode)) + len(published) - len(prefill)
		for _, m := range Surplus(prefill, decode, f.share) {
			limited, cancel := context.WithTimeout(ctx, orderTimeout)
			err := f.orders.SwitchPhase(limited, m, upstream.PhaseDecode)
			cancel()
			fields := []any{"upstream", m.ID, "pool", pool, "phase", upstream.PhaseDecode.String(),
				"prefill", len(prefill), "decode", decode, "share", f.share}
			if err != nil {
				f.log.Error(err, event.TurnFailed, fields...)
				continue
			}
			f.turned[m.ID] = true
			f.log.Info(event.EngineTurned, fields...)
		}
	}
}

// Surplus returns the prefill engines of a pool beyond a share of all its engines and what few engines need
// to spare. The result is the same for every process that knows the same engines.
func Surplus(prefill []*upstream.Member, decode int, share float64) []*upstream.Member {
	if share <= 0 || len(prefill) == 0 {
		return nil
	}
	engines := float64(len(prefill) + decode)
	keep := int(math.Ceil(share*engines + staffing*math.Sqrt(engines)))
	if keep >= len(prefill) {
		return nil
	}
	ordered := slices.SortedFunc(slices.Values(prefill), func(a, b *upstream.Member) int { return cmp.Compare(a.ID, b.ID) })
	return spread(ordered)[keep:]
}

// spread orders engines so that any number of the first ones is spread over the data centres.
func spread(members []*upstream.Member) []*upstream.Member {
	rank := make(map[string]int)
	ranks := make(map[*upstream.Member]int, len(members))
	for _, m := range members {
		ranks[m] = rank[m.DataCentre]
		rank[m.DataCentre]++
	}
	return slices.SortedStableFunc(slices.Values(members), func(a, b *upstream.Member) int { return cmp.Compare(ranks[a], ranks[b]) })
}
