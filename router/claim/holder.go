package claim

import (
	"context"
	"sync"
	"time"

	"gooseberrypin.example/router/refusal"
)

const (
	// Settled tells that the answer may be handed on.
	Settled Settlement = iota + 1
	// Lost tells that another entry holds the claim now.
	Lost
	// Unknown tells that no home could be asked in time.
	Unknown

	settlePause   = 100 * time.Millisecond
	settleBound   = 5 * time.Second
	unreachedWait = 500 * time.Millisecond
)

type (
	// Settlement is how an answer's claim ended.
	Settlement int

	// Homes reaches the sidecars that hold claims. An error means that no answer came.
	Homes interface {
		Claim(ctx context.Context, address string, q Request) (Outcome, error)
		Settle(ctx context.Context, address, keyDigest string, number uint64, keeper string, answered bool) (bool, error)
	}

	// Claimed is a claim that an entry holds at one or more homes.
	Claimed struct {
		KeyDigest string
		Keeper    string
		// Number is the highest attempt number that a home granted.
		Number uint64
		homes  []home
	}

	// Holder claims keys at their homes, the first of which decides.
	Holder struct {
		homes Homes
	}

	home struct {
		address string
		number  uint64
	}

	reply struct {
		address string
		outcome Outcome
	}
)

func (Claimed) outcome() {}

// NewHolder returns a holder that reaches homes through a port.
func NewHolder(h Homes) *Holder {
	return &Holder{homes: h}
}

// Claim asks all homes at once. The first one that answers decides between entries that
// ask at the same time; the others are made to agree, so that a restarted home does not
// forget a claim. It returns Claimed, Held or Refused.
func (h *Holder) Claim(ctx context.Context, addresses []string, q Request) Outcome {
	replies := h.ask(ctx, addresses, q)
	if len(replies) == 0 {
		return Refused{refusal.New(refusal.RanNo, refusal.HomeUnreachable, unreachedWait, "no home of the key can be reached")}
	}
	c := Claimed{KeyDigest: q.KeyDigest, Keeper: q.Keeper}
	for i, r := range replies {
		if held, found := r.outcome.(Held); found && i > 0 {
			r.outcome = h.takeOver(ctx, r.address, q, held.Keeper)
		}
		switch o := r.outcome.(type) {
		case Granted:
			c.homes = append(c.homes, home{address: r.address, number: o.Number})
			c.Number = max(c.Number, o.Number)
		case Held, Refused:
			h.free(ctx, replies, q)
			return o
		case Claimed:
		}
	}
	return c
}

// Settle ends a claim at all of its homes. An answer is settled when a home agrees and
// none objects; homes that can't be asked are tried again for a while when none answers.
func (h *Holder) Settle(ctx context.Context, c Claimed, answered bool) Settlement {
	ctx, cancel := context.WithTimeout(ctx, settleBound)
	defer cancel()
	for {
		agreed, objected := h.settleOnce(ctx, c, answered)
		switch {
		case objected > 0:
			return Lost
		case agreed > 0:
			return Settled
		}
		select {
		case <-time.After(settlePause):
		case <-ctx.Done():
			return Unknown
		}
	}
}

func (h *Holder) settleOnce(ctx context.Context, c Claimed, answered bool) (agreed, objected int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, home := range c.homes {
		wg.Go(func() {
			settled, err := h.homes.Settle(ctx, home.address, c.KeyDigest, home.number, c.Keeper, answered)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
			case settled:
				agreed++
			default:
				objected++
			}
		})
	}
	wg.Wait()
	return agreed, objected
}

// ask returns the replies of the homes that answered, in the homes' order.
func (h *Holder) ask(ctx context.Context, addresses []string, q Request) []reply {
	outcomes := make([]Outcome, len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			if o, err := h.homes.Claim(ctx, address, q); err == nil {
				outcomes[i] = o
			}
		})
	}
	wg.Wait()
	var replies []reply
	for i, o := range outcomes {
		if o != nil {
			replies = append(replies, reply{address: addresses[i], outcome: o})
		}
	}
	return replies
}

// takeOver replaces another entry's claim after the first home decided for this one.
func (h *Holder) takeOver(ctx context.Context, address string, q Request, other string) Outcome {
	q.Unreachable = other
	o, err := h.homes.Claim(ctx, address, q)
	if err != nil {
		return nil
	}
	return o
}

// free gives up what was granted when the claim as a whole was not.
func (h *Holder) free(ctx context.Context, replies []reply, q Request) {
	for _, r := range replies {
		if g, found := r.outcome.(Granted); found {
			_, _ = h.homes.Settle(ctx, r.address, q.KeyDigest, g.Number, q.Keeper, false)
		}
	}
}
