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
	// keepTask is the work on one record: it claims the key, generates the answer and settles the claim.
	keepTask struct {
		entry       *Entry
		record      *request.Record
		joinRequest joinRequest
		// plan is the admitted first try. It is nil once the try has started.
		plan generation.Plan
		// unreachableKeeper is the ID of the keeper that could not be reached, or empty.
		unreachableKeeper string
		// completed is nil until the record has all tokens.
		completed *generation.Completed
	}
)

// round claims the key once and acts on the outcome. It reports whether another round may succeed.
func (k *keepTask) round(ctx context.Context) (why *refusal.Refusal, again bool) {
	switch o := k.claim(ctx).(type) {
	case claim.Refused:
		return k.withRan(o.Refusal), false
	case claim.Held:
		return k.join(ctx, o)
	case claim.Claimed:
		return k.run(ctx, o)
	case claim.Granted:
	}
	panic("entry: unexpected claim outcome")
}

// claim claims the key at its homes.
func (k *keepTask) claim(ctx context.Context) claim.Outcome {
	g := &k.record.Generation
	if k.entry.naive[naiveClaim] {
		return claim.Claimed{KeyDigest: g.KeyDigest(), Keeper: k.entry.id, Number: uint64(time.Now().UnixMilli())}
	}
	return k.entry.claims.Claim(ctx, k.homes(), claim.Request{
		KeyDigest:     g.KeyDigest(),
		ContentDigest: k.record.ContentDigest,
		Keeper:        k.entry.id,
		KeeperAddress: k.entry.address,
		Unreachable:   k.unreachableKeeper,
	})
}

// homes returns the sidecar addresses of the key's homes in the configuration in force.
func (k *keepTask) homes() []string {
	var addresses []string
	g := &k.record.Generation
	for _, home := range k.entry.route.ClaimHomes(g.Model, g.KeyDigest()) {
		addresses = append(addresses, home.SidecarAddress)
	}
	return addresses
}

// withRan sets Ran to RanYes in a refusal if the request has already run.
func (k *keepTask) withRan(why *refusal.Refusal) *refusal.Refusal {
	if k.completed == nil {
		return why
	}
	return why.AtLeast(refusal.RanYes)
}

// join copies the answer of the entry that holds the claim. If that entry is unreachable, it records that and requests
// another round, which takes the key over.
func (k *keepTask) join(ctx context.Context, held claim.Held) (why *refusal.Refusal, again bool) {
	if held.KeeperAddress != k.joinRequest.lostAddress {
		why := k.entry.copyAnswer(ctx, k.record, held, k.joinRequest)
		if why == nil || why.Reason != refusal.KeeperLost {
			return why, false
		}
	}
	k.unreachableKeeper = held.Keeper
	k.entry.log.Info(event.KeyTakenOver, "from", held.Keeper)
	return nil, true
}

// run generates the rest of the answer, unless it is complete, and settles the claim.
func (k *keepTask) run(ctx context.Context, c claim.Claimed) (why *refusal.Refusal, again bool) {
	if k.completed == nil {
		switch o := k.entry.runner.Run(ctx, k.record, k.job(c)).(type) {
		case generation.Completed:
			k.completed = &o
		case generation.Refused:
			return k.handleRefused(o.Refusal, c)
		}
	}
	return k.settle(c)
}

// job returns the job for a claim. The first job has the admitted plan.
func (k *keepTask) job(c claim.Claimed) generation.Job {
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

// takePlan returns the admitted first try on the first call, and nil afterwards.
func (k *keepTask) takePlan() generation.Plan {
	p := k.plan
	k.plan = nil
	return p
}

// endPlan ends a plan that was not run.
func (k *keepTask) endPlan() {
	if p := k.takePlan(); p != nil {
		p.End(0)
	}
}

// handleRefused releases the claim of a refused attempt in the background. If a newer attempt has replaced this one, it
// requests another round instead.
func (k *keepTask) handleRefused(why *refusal.Refusal, c claim.Claimed) (*refusal.Refusal, bool) {
	if why.Reason == refusal.StaleAttempt {
		k.entry.log.Info(event.ClaimMoved, "attempt", c.Number)
		return nil, true
	}
	if !k.entry.naive[naiveClaim] {
		go k.entry.claims.Settle(context.Background(), c, false)
	}
	return why, false
}

// settle completes the answer if this entry still holds the claim. At most one entry can settle a claim, so a key is
// answered once. If another entry holds the claim, or no current home has it, settle requests another round.
func (k *keepTask) settle(c claim.Claimed) (why *refusal.Refusal, again bool) {
	if k.entry.naive[naiveClaim] {
		k.record.Finish(k.completed.FinishReason)
		return nil, false
	}
	if homes := k.homes(); len(homes) > 0 && !c.HeldAt(homes) {
		return nil, true
	}
	switch k.entry.claims.Settle(context.Background(), c, true) {
	case claim.Settled:
		k.record.Finish(k.completed.FinishReason)
		return nil, false
	case claim.Lost:
		k.entry.log.Info(event.ClaimMoved, "attempt", c.Number)
		return nil, true
	case claim.Unknown:
	}
	return refusal.New(refusal.RanYes, refusal.HomeUnreachable, claimRetryAfter, "no home of the key can be reached to end its answer"), false
}
