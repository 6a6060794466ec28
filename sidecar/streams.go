package sidecar

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/gen/fleet/v1/fleetv1connect"
	"gooseberrypin.example/router/adapter/wire"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/sidecar/claims"
	"gooseberrypin.example/sidecar/engine"
)

const (
	maxRequestBytes = 8 << 20
)

type (
	// enginesServer implements the twirp service Engines.
	enginesServer struct {
		controller *engine.Controller
	}

	// prefillServer implements the connect service Prefiller.
	prefillServer struct {
		controller *engine.Controller
	}

	// decodeServer implements the connect service Decoder.
	decodeServer struct {
		controller *engine.Controller
	}
)

// mountEngine mounts the services of the sidecar of an engine.
func mountEngine(mux *http.ServeMux, u modelEngine) {
	c := u.controller
	claimsServer := fleetv1.NewClaimsServer(claims.NewServer(u.claims))
	mux.Handle(claimsServer.PathPrefix(), claimsServer)
	engineServer := fleetv1.NewEnginesServer(&enginesServer{controller: c})
	mux.Handle(engineServer.PathPrefix(), engineServer)
	maxBytes := connect.WithReadMaxBytes(maxRequestBytes)
	mux.Handle(fleetv1connect.NewPrefillerHandler(&prefillServer{controller: c}, maxBytes))
	mux.Handle(fleetv1connect.NewDecoderHandler(&decodeServer{controller: c}, maxBytes))
}

// Reserve implements the service Engines.
func (e *enginesServer) Reserve(_ context.Context, q *fleetv1.ReserveRequest) (*fleetv1.ReserveResponse, error) {
	r := e.controller.Reserve(port.Reservation{
		Attempt:         wire.ToAttempt(q.GetAttempt()),
		Keeper:          q.GetKeeper(),
		Partner:         q.GetPartner(),
		Model:           q.GetModel(),
		Fingerprint:     q.GetFingerprint(),
		PromptTokens:    int(q.GetPromptTokens()),
		MaxOutputTokens: int(q.GetMaxOutputTokens()),
		Hold:            wire.Milliseconds(q.GetHoldMs()),
	})
	return &fleetv1.ReserveResponse{Refusal: wire.FromRefusal(r), Load: wire.FromLoad(e.controller.Load())}, nil
}

// Release implements the service Engines.
func (e *enginesServer) Release(_ context.Context, q *fleetv1.ReleaseRequest) (*fleetv1.ReleaseResponse, error) {
	return &fleetv1.ReleaseResponse{Held: e.controller.Release(wire.ToAttempt(q.GetAttempt()))}, nil
}

// StartPrefill implements the service Engines.
func (e *enginesServer) StartPrefill(_ context.Context, q *fleetv1.StartPrefillRequest) (*fleetv1.StartPrefillResponse, error) {
	r := e.controller.StartPrefill(wire.ToAttempt(q.GetAttempt()))
	return &fleetv1.StartPrefillResponse{Refusal: wire.FromRefusal(r)}, nil
}

// Prefill implements the service Prefiller.
func (p *prefillServer) Prefill(ctx context.Context, q *connect.Request[fleetv1.PrefillRequest], s *connect.ServerStream[fleetv1.PrefillEvent]) error {
	m := q.Msg
	work := port.Prefill{
		Attempt:     wire.ToAttempt(m.GetAttempt()),
		Keeper:      m.GetKeeper(),
		Partner:     m.GetPartner(),
		Model:       m.GetModel(),
		Prompt:      m.GetPrompt(),
		Fingerprint: m.GetFingerprint(),
		Budget:      time.Duration(m.GetBudgetMs()) * time.Millisecond,
		Late:        m.GetLate(),
	}
	r := p.controller.Prefill(ctx, work, func(e port.PrefillEvent) error { return s.Send(p.event(e)) })
	if r == nil {
		return nil
	}
	return s.Send(p.event(port.Refused{Refusal: r}))
}

func (p *prefillServer) event(e port.PrefillEvent) *fleetv1.PrefillEvent {
	m := &fleetv1.PrefillEvent{Load: wire.FromLoad(p.controller.Load())}
	switch e := e.(type) {
	case port.Queued:
		m.Event = &fleetv1.PrefillEvent_Queued{Queued: &fleetv1.PrefillQueued{DelayMs: e.Delay.Milliseconds()}}
	case port.AtHead:
		m.Event = &fleetv1.PrefillEvent_AtHead{AtHead: &fleetv1.PrefillAtHead{}}
	case port.Prefilled:
		m.Event = &fleetv1.PrefillEvent_Done{Done: &fleetv1.PrefillDone{
			KvHandle:      e.KV.Handle,
			SourceAddress: e.KV.SourceAddress,
			PromptTokens:  int64(e.KV.PromptTokens),
			CachedTokens:  int64(e.CachedTokens),
		}}
	case port.Refused:
		m.Event = &fleetv1.PrefillEvent_Refusal{Refusal: wire.FromRefusal(e.Refusal)}
	}
	return m
}

// Decode implements the service Decoder.
func (d *decodeServer) Decode(ctx context.Context, q *connect.Request[fleetv1.DecodeRequest], s *connect.ServerStream[fleetv1.DecodeEvent]) error {
	m := q.Msg
	work := port.Decode{
		Attempt:     wire.ToAttempt(m.GetAttempt()),
		Keeper:      m.GetKeeper(),
		Model:       m.GetModel(),
		Fingerprint: m.GetFingerprint(),
		KV: port.KV{
			Handle:        m.GetKvHandle(),
			SourceAddress: m.GetSourceAddress(),
			PromptTokens:  int(m.GetPromptTokens()),
		},
		MaxOutputTokens: int(m.GetMaxOutputTokens()),
	}
	var offset int64
	r := d.controller.Decode(ctx, work, func(e port.DecodeEvent) error { return s.Send(toDecodeEvent(e, &offset)) })
	if r == nil {
		return nil
	}
	return s.Send(toDecodeEvent(port.Refused{Refusal: r}, &offset))
}

// toDecodeEvent converts an event. It adds the number of tokens in it to *offset.
func toDecodeEvent(e port.DecodeEvent, offset *int64) *fleetv1.DecodeEvent {
	m := &fleetv1.DecodeEvent{}
	switch e := e.(type) {
	case port.Tokens:
		m.Event = &fleetv1.DecodeEvent_Tokens{Tokens: &fleetv1.DecodeTokens{Offset: *offset, Texts: e.Texts}}
		*offset += int64(len(e.Texts))
	case port.Finished:
		m.Event = &fleetv1.DecodeEvent_Finished{Finished: &fleetv1.DecodeFinished{TokenCount: *offset, FinishReason: e.Reason}}
	case port.Refused:
		m.Event = &fleetv1.DecodeEvent_Refusal{Refusal: wire.FromRefusal(e.Refusal)}
	}
	return m
}
