package sidecar

import (
	"context"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/router/adapter/wire"
	"gooseberrypin.example/router/port"
)

type (
	prefillStream struct {
		client *client
		stream *connect.ServerStreamForClient[fleetv1.PrefillEvent]
		cancel context.CancelFunc
	}

	decodeStream struct {
		stream *connect.ServerStreamForClient[fleetv1.DecodeEvent]
		cancel context.CancelFunc
	}
)

// Prefill implements port.Sidecars.
func (c *client) Prefill(ctx context.Context, address string, p port.Prefill) (port.PrefillStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	stream, err := c.peer(address).prefiller.Prefill(ctx, connect.NewRequest(&fleetv1.PrefillRequest{
		Attempt:     wire.FromAttempt(p.Attempt),
		Keeper:      p.Keeper,
		Partner:     p.Partner,
		Model:       p.Model,
		Prompt:      p.Prompt,
		Fingerprint: p.Fingerprint,
		BudgetMs:    p.Budget.Milliseconds(),
		Late:        p.Late,
	}))
	if err != nil {
		cancel()
		return nil, eris.Wrapf(err, "prefill at %s", address)
	}
	return &prefillStream{client: c, stream: stream, cancel: cancel}, nil
}

// Decode implements port.Sidecars.
func (c *client) Decode(ctx context.Context, address string, d port.Decode) (port.DecodeStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	stream, err := c.peer(address).decoder.Decode(ctx, connect.NewRequest(&fleetv1.DecodeRequest{
		Attempt:         wire.FromAttempt(d.Attempt),
		Keeper:          d.Keeper,
		KvHandle:        d.KV.Handle,
		SourceAddress:   d.KV.SourceAddress,
		PromptTokens:    int64(d.KV.PromptTokens),
		MaxOutputTokens: int32(d.MaxOutputTokens),
		Model:           d.Model,
		Fingerprint:     d.Fingerprint,
	}))
	if err != nil {
		cancel()
		return nil, eris.Wrapf(err, "decode at %s", address)
	}
	return &decodeStream{stream: stream, cancel: cancel}, nil
}

// Next implements port.PrefillStream.
func (s *prefillStream) Next() (port.PrefillEvent, error) {
	if !s.stream.Receive() {
		return nil, streamError(s.stream.Err(), "prefill")
	}
	m := s.stream.Msg()
	s.client.observeLoad(m.GetLoad())
	switch e := m.GetEvent().(type) {
	case *fleetv1.PrefillEvent_Queued:
		return port.Queued{Delay: wire.Milliseconds(e.Queued.GetDelayMs())}, nil
	case *fleetv1.PrefillEvent_AtHead:
		return port.AtHead{}, nil
	case *fleetv1.PrefillEvent_Done:
		return toPrefilled(e.Done), nil
	case *fleetv1.PrefillEvent_Refusal:
		return port.Refused{Refusal: wire.ToRefusal(e.Refusal)}, nil
	}
	return nil, eris.New("prefill: unknown event")
}

// Close implements port.PrefillStream.
func (s *prefillStream) Close() {
	s.cancel()
	_ = s.stream.Close()
}

// Next implements port.DecodeStream.
func (s *decodeStream) Next() (port.DecodeEvent, error) {
	if !s.stream.Receive() {
		return nil, streamError(s.stream.Err(), "decode")
	}
	switch e := s.stream.Msg().GetEvent().(type) {
	case *fleetv1.DecodeEvent_Tokens:
		return port.Tokens{Texts: e.Tokens.GetTexts()}, nil
	case *fleetv1.DecodeEvent_Finished:
		return port.Finished{Reason: e.Finished.GetFinishReason()}, nil
	case *fleetv1.DecodeEvent_Refusal:
		return port.Refused{Refusal: wire.ToRefusal(e.Refusal)}, nil
	}
	return nil, eris.New("decode: unknown event")
}

// Close implements port.DecodeStream.
func (s *decodeStream) Close() {
	s.cancel()
	_ = s.stream.Close()
}

func toPrefilled(m *fleetv1.PrefillDone) port.Prefilled {
	return port.Prefilled{
		KV: port.KV{
			Handle:        m.GetKvHandle(),
			SourceAddress: m.GetSourceAddress(),
			PromptTokens:  int(m.GetPromptTokens()),
		},
		CachedTokens: int(m.GetCachedTokens()),
	}
}

// streamError returns the error of a stream that closed before its last event.
func streamError(err error, what string) error {
	if err == nil {
		return eris.Errorf("%s: stream closed before its last event", what)
	}
	return eris.Wrap(err, what)
}
