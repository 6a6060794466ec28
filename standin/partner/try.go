package partner

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strings"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	callerv1 "gooseberrypin.example/gen/caller/v1"
)

type (
	// ending is how one try ended.
	ending struct {
		whole    bool
		mismatch bool
		replayed bool
		refusal  *callerv1.Refusal
		err      error
		text     string
		status   int32
		body     []byte
	}
)

// try sends a request once to one entry.
func (s *sending) try(ctx context.Context, e entry) ending {
	switch r := s.request.(type) {
	case Generation:
		return s.generate(ctx, e, r)
	case Call:
		return s.call(ctx, e, r)
	}
	panic("partner: unknown request")
}

func (s *sending) call(ctx context.Context, e entry, c Call) ending {
	r := connect.NewRequest(&callerv1.CallRequest{IdempotencyKey: c.Key, Service: c.Service, Path: c.Path, Body: c.Body})
	s.authorize(r.Header().Set)
	answer, err := e.router.Call(ctx, r)
	if err != nil {
		return failure(err)
	}
	s.progress()
	return ending{whole: true, status: answer.Msg.GetStatus(), body: answer.Msg.GetBody(), replayed: answer.Msg.GetReplayed()}
}

func (s *sending) generate(ctx context.Context, e entry, g Generation) ending {
	offset := s.have()
	r := connect.NewRequest(&callerv1.GenerateRequest{
		IdempotencyKey:  g.Key,
		Model:           g.Model,
		Prompt:          g.Prompt,
		MaxOutputTokens: g.MaxOutputTokens,
		OffsetTokens:    int64(offset),
	})
	s.authorize(r.Header().Set)
	stream, err := e.router.Generate(ctx, r)
	if err != nil {
		return failure(err)
	}
	defer func() { _ = stream.Close() }()
	var completion *callerv1.Completion
	for stream.Receive() {
		m := stream.Msg()
		if int(m.GetOffsetTokens()) != offset && len(m.GetTokens()) > 0 {
			return ending{mismatch: true, err: eris.Errorf("offset %d, want %d", m.GetOffsetTokens(), offset)}
		}
		if !s.take(offset, m.GetTokens()) {
			return ending{mismatch: true, err: eris.Errorf("other tokens at offset %d", offset)}
		}
		offset += len(m.GetTokens())
		completion = m.GetCompletion()
	}
	if err := stream.Err(); err != nil {
		return failure(err)
	}
	return s.complete(offset, completion)
}

// complete checks the proof of a whole answer.
func (s *sending) complete(offset int, c *callerv1.Completion) ending {
	if c == nil {
		return ending{err: eris.New("the stream ended without a completion")}
	}
	text := s.text(offset)
	sum := sha256.Sum256([]byte(text))
	if int(c.GetTokenCount()) != offset || c.GetDigestSha256() != hex.EncodeToString(sum[:]) {
		return ending{mismatch: true, err: eris.Errorf("count %d or digest is wrong after %d tokens", c.GetTokenCount(), offset)}
	}
	return ending{whole: true, text: text}
}

func (s *sending) authorize(set func(key, value string)) {
	set("Authorization", "Bearer "+s.client.credential)
}

// text joins the first tokens of the answer.
func (s *sending) text(n int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.tokens[:n], "")
}

// failure reads the typed detail of an error.
func failure(err error) ending {
	var c *connect.Error
	if errors.As(err, &c) {
		for _, d := range c.Details() {
			value, bad := d.Value()
			if r, found := value.(*callerv1.Refusal); bad == nil && found {
				return ending{refusal: r, err: err}
			}
		}
	}
	return ending{err: err}
}
