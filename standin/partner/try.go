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
	// answer is what a try has of an answer.
	answer struct {
		id     string
		tokens []string
	}

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
	have := s.have()
	r := connect.NewRequest(&callerv1.GenerateRequest{
		IdempotencyKey:  g.Key,
		Model:           g.Model,
		Prompt:          g.Prompt,
		MaxOutputTokens: g.MaxOutputTokens,
		OffsetTokens:    int64(len(have.tokens)),
		AnswerId:        have.id,
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
		if int(m.GetOffsetTokens()) > len(have.tokens) {
			return ending{mismatch: true, err: eris.Errorf("offset %d after %d tokens", m.GetOffsetTokens(), len(have.tokens))}
		}
		have.add(m)
		s.keep(have, len(m.GetTokens()))
		completion = m.GetCompletion()
	}
	if err := stream.Err(); err != nil {
		return failure(err)
	}
	return complete(have.tokens, completion)
}

// add takes a piece. One at an earlier offset replaces all from there on.
func (a *answer) add(m *callerv1.GenerateResponse) {
	a.id = m.GetAnswerId()
	a.tokens = append(a.tokens[:m.GetOffsetTokens():m.GetOffsetTokens()], m.GetTokens()...)
}

// complete checks the proof of a whole answer.
func complete(tokens []string, c *callerv1.Completion) ending {
	if c == nil {
		return ending{err: eris.New("the stream ended without a completion")}
	}
	text := strings.Join(tokens, "")
	sum := sha256.Sum256([]byte(text))
	if int(c.GetTokenCount()) != len(tokens) || c.GetDigestSha256() != hex.EncodeToString(sum[:]) {
		return ending{mismatch: true, err: eris.Errorf("count %d or digest is wrong after %d tokens", c.GetTokenCount(), len(tokens))}
	}
	return ending{whole: true, text: text}
}

func (s *sending) authorize(set func(key, value string)) {
	set("Authorization", "Bearer "+s.client.credential)
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
