package claim

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/refusal"
)

const (
	settlePause   = 100 * time.Millisecond
	settleBound   = 5 * time.Second
	tellPause     = time.Second
	tellBound     = time.Minute
	unreachedWait = 500 * time.Millisecond
)

var (
	// ErrDown tells that the process of a home does not run, so that what it recorded is lost.
	ErrDown = eris.New("the home does not run")
)

type (
	// Homes reaches the sidecars that hold claims. An error means that no answer came;
	// ErrDown that none can come.
	Homes interface {
		Claim(ctx context.Context, address string, q Request) (Outcome, error)
		Settle(ctx context.Context, address, keyDigest string, number uint64, keeper string, answered bool) (Settlement, error)
	}

	// Claimed is a claim that an entry holds at its homes.
	Claimed struct {
		KeyDigest string
		Keeper    string
		request   Request
		// Number is the highest attempt number that a home granted.
		Number uint64
		homes  []home
	}

	// Claimer claims keys at their homes. The first home owns the claim; the second one
	// keeps it while the first does not run, and what the first one forgot in a restart.
	Claimer struct {
		homes Homes
	}

	home struct {
		address string
		number  uint64
	}

	// answer is what one home said.
	answer struct {
		outcome Outcome
		down    bool
	}
)

func (Claimed) outcome() {}

// NewClaimer returns a holder that reaches homes through a port.
func NewClaimer(h Homes) *Claimer {
	return &Claimer{homes: h}
}

// Claim asks the homes one after the other. It returns Claimed, Held or Refused. A home
// that does not answer, but may run, ends the claim where its word is needed.
func (h *Claimer) Claim(ctx context.Context, addresses []string, q Request) Outcome {
	c := Claimed{KeyDigest: q.KeyDigest, Keeper: q.Keeper, request: q}
	needed := true
	for _, address := range addresses {
		a := h.ask(ctx, address, q)
		switch o := a.outcome.(type) {
		case Granted:
			c.homes = append(c.homes, home{address: address, number: o.Number})
			c.Number = max(c.Number, o.Number)
			needed = q.Unreachable != "" || o.Covered < Retention
		case Held, Refused:
			h.free(ctx, c)
			return o
		case Claimed, nil:
			if needed && !a.down {
				h.free(ctx, c)
				return unreached()
			}
		}
	}
	if len(c.homes) == 0 {
		return unreached()
	}
	return c
}

// Settle ends a claim. The first home with a record decides whether an answer may be
// handed on; the others are told. Unknown means that no home could tell in time.
func (h *Claimer) Settle(ctx context.Context, c Claimed, answered bool) Settlement {
	ctx, cancel := context.WithTimeout(ctx, settleBound)
	defer cancel()
	for {
		if s, decided := h.settleOnce(ctx, c, answered); decided {
			return s
		}
		pause(ctx, settlePause)
		if ctx.Err() != nil {
			return Unknown
		}
	}
}

// HeldAt tells whether a claim is held at one of the addresses.
func (c Claimed) HeldAt(addresses []string) bool {
	for _, home := range c.homes {
		for _, address := range addresses {
			if home.address == address {
				return true
			}
		}
	}
	return false
}

// settleOnce asks until a home decides. When all of them have forgotten the claim, it is lost.
func (h *Claimer) settleOnce(ctx context.Context, c Claimed, answered bool) (s Settlement, decided bool) {
	silent := false
	for i, home := range c.homes {
		s, err := h.homes.Settle(ctx, home.address, c.KeyDigest, home.number, c.Keeper, answered)
		switch {
		case errors.Is(err, ErrDown):
		case err != nil:
			silent = true
		case s == Settled:
			go h.tell(c, i, answered)
			return Settled, true
		case s == Lost:
			return Lost, true
		}
	}
	return Lost, !silent
}

// tell settles at the other homes, whose word is not needed, for as long as one of them
// does not answer.
func (h *Claimer) tell(c Claimed, decided int, answered bool) {
	ctx, cancel := context.WithTimeout(context.Background(), tellBound)
	defer cancel()
	for i, home := range c.homes {
		for i != decided && ctx.Err() == nil && !h.told(ctx, c, home, answered) {
			pause(ctx, tellPause)
		}
	}
}

// told settles at one home, and records the answer there if the claim was forgotten.
func (h *Claimer) told(ctx context.Context, c Claimed, at home, answered bool) bool {
	s, err := h.homes.Settle(ctx, at.address, c.KeyDigest, at.number, c.Keeper, answered)
	if s == Unknown && err == nil && answered {
		if g, granted := h.ask(ctx, at.address, c.request).outcome.(Granted); granted {
			_, err = h.homes.Settle(ctx, at.address, c.KeyDigest, g.Number, c.Keeper, answered)
		}
	}
	return err == nil || errors.Is(err, ErrDown)
}

func (h *Claimer) ask(ctx context.Context, address string, q Request) answer {
	o, err := h.homes.Claim(ctx, address, q)
	if err != nil {
		return answer{down: errors.Is(err, ErrDown)}
	}
	return answer{outcome: o}
}

// free gives up what was granted when the claim as a whole was not.
func (h *Claimer) free(ctx context.Context, c Claimed) {
	for _, home := range c.homes {
		_, _ = h.homes.Settle(ctx, home.address, c.KeyDigest, home.number, c.Keeper, false)
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func unreached() Outcome {
	return Refused{refusal.New(refusal.RanNo, refusal.HomeUnreachable, unreachedWait, "the home of the key can't be asked")}
}
