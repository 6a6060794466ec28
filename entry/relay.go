package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"

	callerv1 "gooseberrypin.example/gen/caller/v1"
	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/gen/fleet/v1/fleetv1connect"
	"gooseberrypin.example/router/adapter/fleet"
	"gooseberrypin.example/router/adapter/wire"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/request"
)

const (
	keeperLostRetry  = 250 * time.Millisecond
	deliveredTimeout = time.Second
)

type (
	// joining tells how a connection joins a key's record.
	joining struct {
		// at is what the caller has.
		at request.Position
		// prefix are the caller's tokens from offset 0, when its keeper was lost.
		prefix []string
		// forwarded connections come from another keeper and are not sent on again.
		forwarded bool
		// lost is the address of an entry that was found unreachable, if any.
		lost string
	}

	// send passes a piece of an answer on.
	send func(request.Piece) error
)

// relay finds the keeper of a generation and passes the answer on. A keeper that is
// lost is replaced by the next one, which continues from what was passed on.
func (e *Entry) relay(ctx context.Context, g request.Generation, at request.Position, out send) *refusal.Refusal {
	keyDigest := g.KeyDigest()
	var last *refusal.Refusal
	j := joining{at: at}
	passed := &passed{out: out, answerID: at.AnswerID, from: at.Offset}
	for _, k := range e.route.Keepers(keyDigest) {
		if ctx.Err() != nil {
			break
		}
		var why *refusal.Refusal
		if k.VM == e.settings.VM {
			why = e.keep(ctx, g, j, passed.send)
		} else {
			why = e.keepAt(ctx, k.Address, g, j, passed.send)
		}
		if why == nil {
			e.delivered(ctx, k.Address, keyDigest)
			return nil
		}
		last = why
		switch why.Reason {
		case refusal.Leaving:
		case refusal.KeeperLost:
			j = passed.joining(k.Address)
		default:
			return why
		}
	}
	if last == nil {
		return refusal.New(refusal.RanNo, refusal.Cancelled, 0, "the caller has gone")
	}
	return last
}

// keepAt passes on the answer that another entry keeps.
func (e *Entry) keepAt(ctx context.Context, address string, g request.Generation, j joining, out send) *refusal.Refusal {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer e.holdings.OnLost(address, cancel)()
	held := port.Attempt{KeyDigest: g.KeyDigest(), Number: e.connections.Add(1)}
	e.holdings.Add(address, held)
	defer e.holdings.Remove(address, held)
	client := fleetv1connect.NewKeeperClient(e.http, fleet.URL(address))
	stream, err := client.Keep(ctx, connect.NewRequest(&fleetv1.KeepRequest{
		Partner:     g.Partner,
		Rule:        g.Rule,
		Request:     fromGeneration(g, j.at),
		Relay:       e.id,
		Connection:  held.Number,
		Forwarded:   j.forwarded,
		LostAddress: j.lost,
		Prefix:      j.prefix,
	}))
	if err != nil {
		return keeperLost(address)
	}
	defer func() { _ = stream.Close() }()
	return e.receive(stream, address, out)
}

func (e *Entry) receive(stream *connect.ServerStreamForClient[fleetv1.KeepEvent], address string, out send) *refusal.Refusal {
	for stream.Receive() {
		switch v := stream.Msg().GetEvent().(type) {
		case *fleetv1.KeepEvent_Refusal:
			return wire.ToRefusal(v.Refusal)
		case *fleetv1.KeepEvent_Piece:
			p := toPiece(v.Piece)
			if err := out(p); err != nil {
				return refusal.New(refusal.RanNo, refusal.Cancelled, 0, "the caller has gone")
			}
			if p.Completion != nil {
				return nil
			}
		}
	}
	if e.naive[naiveKeeperLost] {
		return nil
	}
	return keeperLost(address)
}

// delivered tells the keeper that the caller has the whole answer. A caller may close
// the connection as soon as it has the completion.
func (e *Entry) delivered(ctx context.Context, address, keyDigest string) {
	if address == e.address {
		e.deliver(keyDigest)
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deliveredTimeout)
	defer cancel()
	client := fleetv1.NewKeepingProtobufClient(fleet.URL(address), e.http)
	_, _ = client.Delivered(ctx, &fleetv1.DeliveredRequest{KeyDigest: keyDigest})
}

func keeperLost(address string) *refusal.Refusal {
	return refusal.New(refusal.RanUnknown, refusal.KeeperLost, keeperLostRetry, "the entry at %s can't be reached", address)
}

func fromGeneration(g request.Generation, at request.Position) *callerv1.GenerateRequest {
	return &callerv1.GenerateRequest{
		IdempotencyKey:  g.Key,
		Model:           g.Model,
		Prompt:          g.Prompt,
		MaxOutputTokens: int32(g.MaxOutputTokens),
		OffsetTokens:    int64(at.Offset),
		AnswerId:        at.AnswerID,
	}
}

func toGeneration(m *fleetv1.KeepRequest) request.Generation {
	q := m.GetRequest()
	return request.Generation{
		Partner:         m.GetPartner(),
		Key:             q.GetIdempotencyKey(),
		Rule:            m.GetRule(),
		Model:           q.GetModel(),
		Prompt:          q.GetPrompt(),
		MaxOutputTokens: int(q.GetMaxOutputTokens()),
	}
}
