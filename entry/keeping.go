package entry

import (
	"context"
	"time"

	"gooseberrypin.example/router/claim"
	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/generation"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/request"
)

type (
	// keeping is the work on one record: claim, run and settle.
	keeping struct {
		entry   *Entry
		record  *request.Record
		joining joining
		// plan is the admitted first try, until it is run.
		plan generation.Plan
		// unreachable is the keeper that could not be reached, if any.
		unreachable string
		// whole is set once the record has all tokens.
		whole *generation.Completed
	}
)

// round claims the key once and acts on the outcome. It tells whether another round
// may help.
func (k *keeping) round(ctx context.Context) (why *refusal.Refusal, again bool) {
	switch o := k.claim(ctx).(type) {
	case claim.Refused:
		return k.afterRun(o.Refusal), false
	case claim.Held:
		return k.join(ctx, o)
	case claim.Claimed:
		return k.run(ctx, o)
	case claim.Granted:
	}
	panic("entry: a claim without an outcome")
}

func (k *keeping) claim(ctx context.Context) claim.Outcome {
	g := &k.record.Generation
	if k.entry.naive[naiveClaim] {
		return claim.Claimed{KeyDigest: g.KeyDigest(), Keeper: k.entry.id, Number: uint64(time.Now().UnixMilli())}
	}
	return k.entry.claims.Claim(ctx, k.homes(), claim.Request{
		KeyDigest:     g.KeyDigest(),
		ContentDigest: k.record.ContentDigest,
		Keeper:        k.entry.id,
		KeeperAddress: k.entry.address,
		Unreachable:   k.unreachable,
	})
}

// homes returns the addresses of the key's homes in the configuration in force.
func (k *keeping) homes() []string {
	var addresses []string
	g := &k.record.Generation
	for _, home := range k.entry.route.ClaimHomes(g.Model, g.KeyDigest()) {
		addresses = append(addresses, home.SidecarAddress)
	}
	return addresses
}

// afterRun tells a caller that the request ran, when it was refused after its run.
func (k *keeping) afterRun(why *refusal.Refusal) *refusal.Refusal {
	if k.whole == nil {
		return why
	}
	return why.AtLeast(refusal.RanYes)
}

// join follows the entry that keeps the key, or finds it unreachable.
func (k *keeping) join(ctx context.Context, held claim.Held) (why *refusal.Refusal, again bool) {
	if held.KeeperAddress != k.joining.lost {
		why := k.entry.join(ctx, k.record, held, k.joining)
		if why == nil || why.Reason != refusal.KeeperLost {
			return why, false
		}
	}
	k.unreachable = held.Keeper
	k.entry.log.Info(event.KeyTakenOver, "from", held.Keeper)
	return nil, true
}

// run generates what is missing of the answer and settles it.
func (k *keeping) run(ctx context.Context, c claim.Claimed) (why *refusal.Refusal, again bool) {
	if k.whole == nil {
		switch o := k.entry.runner.Run(ctx, k.record, k.job(c)).(type) {
		case generation.Completed:
			k.whole = &o
		case generation.Refused:
			return k.refused(o.Refusal, c)
		}
	}
	return k.settle(c)
}

func (k *keeping) job(c claim.Claimed) generation.Job {
	fingerprint := k.record.Generation.Fingerprint()
	return generation.Job{
		Generation:  k.record.Generation,
		Fingerprint: fingerprint,
		Attempt:     port.Attempt{KeyDigest: c.KeyDigest, Number: c.Number},
		Keeper:      k.entry.id,
		Plan:        k.takePlan(),
		Suspect:     k.entry.crashes.suspected(fingerprint, time.Now()),
	}
}

// takePlan returns the admitted first try once.
func (k *keeping) takePlan() generation.Plan {
	p := k.plan
	k.plan = nil
	return p
}

// endPlan gives up a plan that was not run.
func (k *keeping) endPlan() {
	if p := k.takePlan(); p != nil {
		p.End(0)
	}
}

// refused frees the claim of an attempt, unless a newer attempt replaced it. The caller
// does not wait for that.
func (k *keeping) refused(why *refusal.Refusal, c claim.Claimed) (*refusal.Refusal, bool) {
	if why.Reason == refusal.StaleAttempt {
		k.entry.log.Info(event.ClaimMoved, "attempt", c.Number)
		return nil, true
	}
	if !k.entry.naive[naiveClaim] {
		go k.entry.claims.Settle(context.Background(), c, false)
	}
	return why, false
}

// settle ends the answer if this entry still holds the claim: only one entry can.
func (k *keeping) settle(c claim.Claimed) (why *refusal.Refusal, again bool) {
	if k.entry.naive[naiveClaim] {
		k.record.Finish(k.whole.FinishReason)
		return nil, false
	}
	if homes := k.homes(); len(homes) > 0 && !c.HeldAt(homes) {
		return nil, true
	}
	switch k.entry.claims.Settle(context.Background(), c, true) {
	case claim.Settled:
		k.record.Finish(k.whole.FinishReason)
		return nil, false
	case claim.Lost:
		k.entry.log.Info(event.ClaimMoved, "attempt", c.Number)
		return nil, true
	case claim.Unknown:
	}
	return refusal.New(refusal.RanYes, refusal.HomeUnreachable, noHomeRetry, "no home of the key can be reached to end its answer"), false
}
