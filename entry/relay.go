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
	keeperLostRetryAfter = 250 * time.Millisecond
	deliveredTimeout     = time.Second
)

type (
	// joinRequest describes how a connection joins the record of a key.
	joinRequest struct {
		// position is the part of the answer that the caller has.
		position request.Position
		// prefix contains the caller's tokens from offset 0 if the previous keeper was lost.
		prefix []string
		// forwarded reports whether the connection comes from another keeper. Such a connection is not forwarded again.
		forwarded bool
		// lostAddress is the address of a keeper that was found unreachable, or empty.
		lostAddress string
	}

	// sendPiece sends a piece of an answer to the connection.
	sendPiece func(request.Piece) error
)

// relay sends the answer of a generation's keeper to the caller. If the keeper is leaving or lost, relay tries the next one
// in rank. After a loss, that keeper continues the answer after the tokens that the caller has.
func (e *Entry) relay(ctx context.Context, g request.Generation, at request.Position, out sendPiece) *refusal.Refusal {
	keyDigest := g.KeyDigest()
	var last *refusal.Refusal
	j := joinRequest{position: at}
	relayed := &relayedAnswer{out: out, answerID: at.AnswerID, startOffset: at.Offset}
	for _, k := range e.route.Keepers(keyDigest) {
		if ctx.Err() != nil {
			break
		}
		var why *refusal.Refusal
		if k.VM == e.settings.VM {
			why = e.keep(ctx, g, j, relayed.send)
		} else {
			why = e.keepAt(ctx, k.Address, g, j, relayed.send)
		}
		if why == nil {
			e.notifyDelivered(ctx, k.Address, keyDigest)
			return nil
		}
		last = why
		switch why.Reason {
		case refusal.Leaving:
		case refusal.KeeperLost:
			j = relayed.nextJoin(k.Address)
		default:
			return why
		}
	}
	if last == nil {
		// An earlier connection may have started the work of the key.
		return refusal.New(refusal.RanUnknown, refusal.Cancelled, 0, "the caller has gone")
	}
	return last
}

// keepAt sends the answer that the entry at an address keeps to out. It holds a lease there, and fails with KeeperLost
// when the entry misses its heartbeats.
func (e *Entry) keepAt(ctx context.Context, address string, g request.Generation, j joinRequest, out sendPiece) *refusal.Refusal {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer e.holdings.OnLost(address, cancel)()
	held := port.Attempt{KeyDigest: g.KeyDigest(), Number: e.lastConnection.Add(1)}
	e.holdings.Add(address, held)
	defer e.holdings.Remove(address, held)
	client := fleetv1connect.NewKeeperClient(e.http, fleet.URL(address))
	stream, err := client.Keep(ctx, connect.NewRequest(&fleetv1.KeepRequest{
		Partner:     g.Partner,
		Rule:        g.Rule,
		Request:     fromGeneration(g, j.position),
		Relay:       e.id,
		Connection:  held.Number,
		Forwarded:   j.forwarded,
		LostAddress: j.lostAddress,
		Prefix:      j.prefix,
	}))
	if err != nil {
		return keeperLost(address)
	}
	defer func() { _ = stream.Close() }()
	return e.receive(stream, address, out)
}

// receive receives the pieces of a keeper's answer and sends them to out, up to the completion.
func (e *Entry) receive(stream *connect.ServerStreamForClient[fleetv1.KeepEvent], address string, out sendPiece) *refusal.Refusal {
	for stream.Receive() {
		switch v := stream.Msg().GetEvent().(type) {
		case *fleetv1.KeepEvent_Refusal:
			return wire.ToRefusal(v.Refusal)
		case *fleetv1.KeepEvent_Piece:
			p := toPiece(v.Piece)
			if err := out(p); err != nil {
				return refusal.New(refusal.RanYes, refusal.Cancelled, 0, "the caller has gone")
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

// notifyDelivered reports to the keeper that the caller has received the complete answer. It continues when ctx is
// cancelled, as a caller may close the connection as soon as it has the completion.
func (e *Entry) notifyDelivered(ctx context.Context, address, keyDigest string) {
	if address == e.address {
		e.markDelivered(keyDigest)
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deliveredTimeout)
	defer cancel()
	client := fleetv1.NewKeepingProtobufClient(fleet.URL(address), e.http)
	_, _ = client.Delivered(ctx, &fleetv1.DeliveredRequest{KeyDigest: keyDigest})
}

func keeperLost(address string) *refusal.Refusal {
	return refusal.New(refusal.RanUnknown, refusal.KeeperLost, keeperLostRetryAfter, "the entry at %s can't be reached", address)
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
