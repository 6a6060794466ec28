package claim

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/refusal"
)

const (
	settleRetryDelay      = 100 * time.Millisecond
	settleTimeout         = 5 * time.Second
	propagationRetryDelay = time.Second
	propagationTimeout    = time.Minute
	unreachableRetryAfter = 500 * time.Millisecond
)

var (
	// ErrDown reports that the process of a home is not running, so that its records are lost.
	ErrDown = eris.New("the process of the home is not running")
)

type (
	// Homes sends requests to the sidecars that store claims. An error means that no answer
	// was received. ErrDown means that none will be, because the process is not running.
	Homes interface {
		Claim(ctx context.Context, address string, q Request) (Outcome, error)
		Settle(ctx context.Context, address, keyDigest string, number uint64, keeper string, answered bool) (Settlement, error)
	}

	// Claimed is a claim that an entry holds at one or more homes.
	Claimed struct {
		KeyDigest string
		Keeper    string
		request   Request
		// Number is the highest attempt number that a home granted.
		Number uint64
		grants []grant
	}

	// Claimer claims keys at their homes. The first home decides on the claim. The second one
	// decides while the first is not running, and retains the claims that the first loses in
	// a restart.
	Claimer struct {
		homes Homes
	}

	// grant is the claim as one home granted it.
	grant struct {
		address string
		number  uint64
	}

	// reply is the outcome of a claim at one home, or nil if no answer was received.
	reply struct {
		outcome  Outcome
		homeDown bool
	}
)

func (Claimed) outcome() {}

// NewClaimer returns a Claimer that contacts homes through h.
func NewClaimer(h Homes) *Claimer {
	return &Claimer{homes: h}
}

// Claim requests a claim from the homes one after the other. It returns Claimed, Held or
// Refused. It refuses the claim if a home does not answer whose answer is needed and whose
// process may be running. Answers are needed until a home grants the claim whose records
// cover Retention, and from all homes if the request names an unreachable keeper.
func (cl *Claimer) Claim(ctx context.Context, addresses []string, q Request) Outcome {
	c := Claimed{KeyDigest: q.KeyDigest, Keeper: q.Keeper, request: q}
	needed := true
	for _, address := range addresses {
		r := cl.requestClaim(ctx, address, q)
		switch o := r.outcome.(type) {
		case Granted:
			c.grants = append(c.grants, grant{address: address, number: o.Number})
			c.Number = max(c.Number, o.Number)
			needed = q.Unreachable != "" || o.Covered < Retention
		case Held, Refused:
			cl.release(ctx, c)
			return o
		case Claimed, nil:
			if needed && !r.homeDown {
				cl.release(ctx, c)
				return homeUnreachable()
			}
		}
	}
	if len(c.grants) == 0 {
		return homeUnreachable()
	}
	return c
}

// Settle ends a claim. The first home with a record decides whether the answer may be
// delivered. The other homes are updated in the background. Unknown means that no home
// decided within settleTimeout.
func (cl *Claimer) Settle(ctx context.Context, c Claimed, answered bool) Settlement {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for {
		if s, decided := cl.settleOnce(ctx, c, answered); decided {
			return s
		}
		sleep(ctx, settleRetryDelay)
		if ctx.Err() != nil {
			return Unknown
		}
	}
}

// HeldAt reports whether the home at one of the addresses granted the claim.
func (c Claimed) HeldAt(addresses []string) bool {
	for _, g := range c.grants {
		for _, address := range addresses {
			if g.address == address {
				return true
			}
		}
	}
	return false
}

// settleOnce asks the homes in order until one decides. The claim is lost if none has a record
// of it. It is undecided if a home that may have one did not answer.
func (cl *Claimer) settleOnce(ctx context.Context, c Claimed, answered bool) (s Settlement, decided bool) {
	unanswered := false
	for i, g := range c.grants {
		s, err := cl.homes.Settle(ctx, g.address, c.KeyDigest, g.number, c.Keeper, answered)
		switch {
		case errors.Is(err, ErrDown):
		case err != nil:
			unanswered = true
		case s == Settled:
			go cl.propagate(c, i, answered)
			return Settled, true
		case s == Lost:
			return Lost, true
		}
	}
	return Lost, !unanswered
}

// propagate settles the claim at the homes other than the deciding one. It retries each home
// that does not answer, up to propagationTimeout in total.
func (cl *Claimer) propagate(c Claimed, decidedBy int, answered bool) {
	ctx, cancel := context.WithTimeout(context.Background(), propagationTimeout)
	defer cancel()
	for i, g := range c.grants {
		for i != decidedBy && ctx.Err() == nil && !cl.settleAt(ctx, c, g, answered) {
			sleep(ctx, propagationRetryDelay)
		}
	}
}

// settleAt settles a claim at one home. If the home has lost the claim of an answered request,
// settleAt claims the key again there and records the answer. It reports whether the home
// needs no retry.
func (cl *Claimer) settleAt(ctx context.Context, c Claimed, g grant, answered bool) bool {
	s, err := cl.homes.Settle(ctx, g.address, c.KeyDigest, g.number, c.Keeper, answered)
	if s == Unknown && err == nil && answered {
		if renewed, granted := cl.requestClaim(ctx, g.address, c.request).outcome.(Granted); granted {
			_, err = cl.homes.Settle(ctx, g.address, c.KeyDigest, renewed.Number, c.Keeper, answered)
		}
	}
	return err == nil || errors.Is(err, ErrDown)
}

func (cl *Claimer) requestClaim(ctx context.Context, address string, q Request) reply {
	o, err := cl.homes.Claim(ctx, address, q)
	if err != nil {
		return reply{homeDown: errors.Is(err, ErrDown)}
	}
	return reply{outcome: o}
}

// release frees the key at the homes that granted a claim, after another home did not grant it.
func (cl *Claimer) release(ctx context.Context, c Claimed) {
	for _, g := range c.grants {
		_, _ = cl.homes.Settle(ctx, g.address, c.KeyDigest, g.number, c.Keeper, false)
	}
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// homeUnreachable returns the refusal of a claim on which no home decided.
func homeUnreachable() Outcome {
	return Refused{refusal.New(refusal.RanNo, refusal.HomeUnreachable, unreachableRetryAfter, "the home of the key can't be asked")}
}
