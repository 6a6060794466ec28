package entry

import (
	"context"
	"strings"
	"time"

	"connectrpc.com/connect"

	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/router/adapter/wire"
	"gooseberrypin.example/router/claim"
	"gooseberrypin.example/router/generation"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/request"
)

const (
	claimRounds   = 5
	drainingRetry = 100 * time.Millisecond
	noHomeRetry   = 500 * time.Millisecond
)

type (
	// keeper serves the other entries.
	keeper struct {
		entry *Entry
	}
)

// Keep implements the fleet's Keeper service.
func (k *keeper) Keep(ctx context.Context, q *connect.Request[fleetv1.KeepRequest], s *connect.ServerStream[fleetv1.KeepEvent]) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g := toGeneration(q.Msg)
	item := leaseItem(port.Attempt{KeyDigest: g.KeyDigest(), Number: q.Msg.GetConnection()})
	k.entry.relays.add(q.Msg.GetRelay(), item, cancel)
	defer k.entry.relays.remove(q.Msg.GetRelay(), item)
	j := joining{
		at: request.Position{
			AnswerID: q.Msg.GetRequest().GetAnswerId(),
			Offset:   int(q.Msg.GetRequest().GetOffsetTokens()),
		},
		prefix:    q.Msg.GetPrefix(),
		forwarded: q.Msg.GetForwarded(),
		lost:      q.Msg.GetLostAddress(),
	}
	why := k.entry.keep(ctx, g, j, func(p request.Piece) error {
		return s.Send(&fleetv1.KeepEvent{Event: &fleetv1.KeepEvent_Piece{Piece: fromPiece(p)}})
	})
	if why == nil {
		return nil
	}
	return s.Send(&fleetv1.KeepEvent{Event: &fleetv1.KeepEvent_Refusal{Refusal: wire.FromRefusal(why)}})
}

// Delivered implements the fleet's Keeping service.
func (k *keeper) Delivered(_ context.Context, q *fleetv1.DeliveredRequest) (*fleetv1.DeliveredResponse, error) {
	return &fleetv1.DeliveredResponse{Known: k.entry.deliver(q.GetKeyDigest())}, nil
}

// keep joins the record of a key, or opens it and starts the work.
func (e *Entry) keep(ctx context.Context, g request.Generation, j joining, out send) *refusal.Refusal {
	if why := e.crashes.check(g.Fingerprint(), time.Now()); why != nil {
		return why
	}
	r, isNew, why := e.book.Open(g)
	if why != nil {
		return why
	}
	if isNew {
		if why := e.start(r, j); why != nil {
			return why
		}
		j.at = j.begin()
	}
	reader, why := r.Join(j.at)
	if why != nil {
		return why
	}
	defer reader.Close()
	return e.read(ctx, reader, out)
}

func (e *Entry) read(ctx context.Context, reader *request.Reader, out send) *refusal.Refusal {
	for {
		p, why := reader.Next(ctx)
		if why != nil {
			return why
		}
		if err := out(p); err != nil {
			reader.CompletionNotSent()
			return refusal.New(refusal.RanNo, refusal.Cancelled, 0, "the caller has gone")
		}
		if p.Completion != nil {
			reader.CompletionSent()
			return nil
		}
	}
}

// start works on a new record in the background, until it ends or nobody reads it.
func (e *Entry) start(r *request.Record, j joining) *refusal.Refusal {
	keyDigest := r.Generation.KeyDigest()
	plan, why := e.admit(r, j)
	if why != nil {
		e.book.Remove(keyDigest, r)
		r.Fail(why)
		return why
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(e.context))
	r.SetCancel(cancel)
	if len(j.prefix) > 0 {
		r.ContinueAnswer(j.at.AnswerID, j.prefix)
	}
	e.work.Add(1)
	go func() {
		defer e.work.Done()
		defer cancel()
		if why := e.claimAndRun(ctx, r, j, plan); why != nil {
			r.Fail(why)
		}
		if !r.Completed() {
			e.book.Remove(keyDigest, r)
		}
	}()
	return nil
}

// admit refuses a new request before any work is done for it.
func (e *Entry) admit(r *request.Record, j joining) (generation.Plan, *refusal.Refusal) {
	if e.draining.Load() {
		return nil, refusal.New(refusal.RanNo, refusal.Leaving, drainingRetry, "this entry is leaving")
	}
	prompt := r.Generation.Prompt + strings.Join(j.prefix, "")
	return e.route.Admit(&r.Generation, prompt, nil, time.Now())
}

// claimAndRun claims the key at its homes, or joins the entry that has it.
func (e *Entry) claimAndRun(ctx context.Context, r *request.Record, j joining, p generation.Plan) *refusal.Refusal {
	w := &keeping{entry: e, record: r, joining: j, plan: p}
	defer w.endPlan()
	for range claimRounds {
		why, again := w.round(ctx)
		if !again {
			return why
		}
	}
	return refusal.New(refusal.RanNo, refusal.HomeUnsettled, noHomeRetry, "the key's keeper changes")
}

// join copies the answer that another entry keeps into this entry's record.
func (e *Entry) join(ctx context.Context, r *request.Record, held claim.Held, j joining) *refusal.Refusal {
	if j.forwarded {
		return refusal.New(refusal.RanNo, refusal.HomeUnsettled, noHomeRetry, "the key's keeper changes")
	}
	r.SetForwardedTo(held.KeeperAddress)
	return e.keepAt(ctx, held.KeeperAddress, r.Generation, joining{forwarded: true}, func(p request.Piece) error {
		r.Restart(p.AnswerID)
		r.Append(p.Tokens)
		if p.Completion != nil {
			r.Finish(p.Completion.FinishReason)
		}
		return nil
	})
}

// deliver notes that a caller has the whole answer.
func (e *Entry) deliver(keyDigest string) bool {
	r := e.book.Find(keyDigest)
	if r == nil {
		return false
	}
	r.MarkDelivered()
	if holder := r.ForwardedTo(); holder != "" {
		e.delivered(context.Background(), holder, keyDigest)
	}
	return true
}
