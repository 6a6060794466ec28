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
	maxClaimRounds     = 5
	drainingRetryAfter = 100 * time.Millisecond
	claimRetryAfter    = 500 * time.Millisecond
)

type (
	// keeper implements the fleet services Keeper and Keeping for the other entries.
	keeper struct {
		entry *Entry
	}
)

// Keep implements Keep of the Keeper service.
func (k *keeper) Keep(ctx context.Context, q *connect.Request[fleetv1.KeepRequest], s *connect.ServerStream[fleetv1.KeepEvent]) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g := toGeneration(q.Msg)
	item := leaseItem(port.Attempt{KeyDigest: g.KeyDigest(), Number: q.Msg.GetConnection()})
	k.entry.relays.add(q.Msg.GetRelay(), item, cancel)
	defer k.entry.relays.remove(q.Msg.GetRelay(), item)
	j := joinRequest{
		position: request.Position{
			AnswerID: q.Msg.GetRequest().GetAnswerId(),
			Offset:   int(q.Msg.GetRequest().GetOffsetTokens()),
		},
		prefix:      q.Msg.GetPrefix(),
		forwarded:   q.Msg.GetForwarded(),
		lostAddress: q.Msg.GetLostAddress(),
	}
	why := k.entry.keep(ctx, g, j, func(p request.Piece) error {
		return s.Send(&fleetv1.KeepEvent{Event: &fleetv1.KeepEvent_Piece{Piece: fromPiece(p)}})
	})
	if why == nil {
		return nil
	}
	return s.Send(&fleetv1.KeepEvent{Event: &fleetv1.KeepEvent_Refusal{Refusal: wire.FromRefusal(why)}})
}

// Delivered implements Delivered of the Keeping service.
func (k *keeper) Delivered(_ context.Context, q *fleetv1.DeliveredRequest) (*fleetv1.DeliveredResponse, error) {
	return &fleetv1.DeliveredResponse{Known: k.entry.markDelivered(q.GetKeyDigest())}, nil
}

// keep joins the record of a key and sends its answer to out. If there is no record, it opens one and starts the work. It
// refuses quarantined content.
func (e *Entry) keep(ctx context.Context, g request.Generation, j joinRequest, out sendPiece) *refusal.Refusal {
	if why := e.crashes.check(g.Fingerprint(), time.Now()); why != nil {
		return why
	}
	r, isNew, why := e.requests.Open(g)
	if why != nil {
		return why
	}
	if isNew {
		if why := e.start(r, j); why != nil {
			return why
		}
		j.position = j.startPosition()
	}
	reader, why := r.Join(j.position)
	if why != nil {
		return why
	}
	defer reader.Close()
	return e.sendAnswer(ctx, reader, out)
}

// sendAnswer sends a record's pieces to out up to the completion.
func (e *Entry) sendAnswer(ctx context.Context, reader *request.Reader, out sendPiece) *refusal.Refusal {
	for {
		p, why := reader.Next(ctx)
		if why != nil {
			return why
		}
		if err := out(p); err != nil {
			reader.CompletionNotSent()
			return refusal.New(refusal.RanYes, refusal.Cancelled, 0, "the caller has gone")
		}
		if p.Completion != nil {
			reader.CompletionSent()
			return nil
		}
	}
}

// start admits a new record and starts its work in the background. The work is cancelled when no connection reads the
// record.
func (e *Entry) start(r *request.Record, j joinRequest) *refusal.Refusal {
	keyDigest := r.Generation.KeyDigest()
	plan, why := e.admit(r, j)
	if why != nil {
		e.requests.Remove(keyDigest, r)
		r.Fail(why)
		return why
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(e.context))
	r.SetCancel(cancel)
	if len(j.prefix) > 0 {
		r.ContinueAnswer(j.position.AnswerID, j.prefix)
	}
	e.work.Add(1)
	go func() {
		defer e.work.Done()
		defer cancel()
		if why := e.claimAndRun(ctx, r, j, plan); why != nil {
			r.Fail(why)
		}
		if !r.Completed() {
			e.requests.Remove(keyDigest, r)
		}
	}()
	return nil
}

// admit returns the plan of a new request, or refuses it before any work is done for it.
func (e *Entry) admit(r *request.Record, j joinRequest) (generation.Plan, *refusal.Refusal) {
	if e.draining.Load() {
		return nil, refusal.New(refusal.RanNo, refusal.Leaving, drainingRetryAfter, "this entry is leaving")
	}
	prompt := r.Generation.Prompt + strings.Join(j.prefix, "")
	return e.route.Admit(&r.Generation, prompt, nil, time.Now())
}

// claimAndRun claims the key at its homes and generates the answer, or copies it from the entry that holds the claim.
func (e *Entry) claimAndRun(ctx context.Context, r *request.Record, j joinRequest, p generation.Plan) *refusal.Refusal {
	k := &keepTask{entry: e, record: r, joinRequest: j, plan: p}
	defer k.endPlan()
	for range maxClaimRounds {
		why, again := k.round(ctx)
		if !again {
			return why
		}
	}
	return refusal.New(refusal.RanNo, refusal.HomeUnsettled, claimRetryAfter, "the key's keeper changes")
}

// copyAnswer copies the answer of the entry that holds the claim into this entry's record. It refuses a connection that
// was forwarded already, so that connections are not forwarded in a loop.
func (e *Entry) copyAnswer(ctx context.Context, r *request.Record, held claim.Held, j joinRequest) *refusal.Refusal {
	if j.forwarded {
		return refusal.New(refusal.RanNo, refusal.HomeUnsettled, claimRetryAfter, "the key's keeper changes")
	}
	r.SetForwardedTo(held.KeeperAddress)
	return e.keepAt(ctx, held.KeeperAddress, r.Generation, joinRequest{forwarded: true}, func(p request.Piece) error {
		r.Restart(p.AnswerID)
		r.Append(p.Tokens)
		if p.Completion != nil {
			r.Finish(p.Completion.FinishReason)
		}
		return nil
	})
}

// markDelivered records that the caller has received the complete answer, here and at the entry that the record was
// forwarded to. It returns false if there is no record of the key.
func (e *Entry) markDelivered(keyDigest string) bool {
	r := e.requests.Find(keyDigest)
	if r == nil {
		return false
	}
	r.MarkDelivered()
	if address := r.ForwardedTo(); address != "" {
		e.notifyDelivered(context.Background(), address, keyDigest)
	}
	return true
}
