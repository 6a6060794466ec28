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
	// partialAnswer is the received part of a generated answer.
	partialAnswer struct {
		id     string
		tokens []string
	}

	// attemptResult is the result of one attempt.
	attemptResult struct {
		complete bool
		mismatch bool
		replayed bool
		refusal  *callerv1.Refusal
		err      error
		text     string
		status   int32
		body     []byte
	}
)

// attempt sends the request to an entry and returns the result.
func (s *requestState) attempt(ctx context.Context, e entry) attemptResult {
	switch r := s.request.(type) {
	case Generation:
		return s.generate(ctx, e, r)
	case Call:
		return s.call(ctx, e, r)
	}
	panic("partner: unknown type of request")
}

func (s *requestState) call(ctx context.Context, e entry, c Call) attemptResult {
	r := connect.NewRequest(&callerv1.CallRequest{IdempotencyKey: c.Key, Service: c.Service, Path: c.Path, Body: c.Body})
	s.authorize(r.Header().Set)
	response, err := e.client.Call(ctx, r)
	if err != nil {
		return failedAttempt(err)
	}
	s.reportProgress()
	return attemptResult{complete: true, status: response.Msg.GetStatus(), body: response.Msg.GetBody(), replayed: response.Msg.GetReplayed()}
}

func (s *requestState) generate(ctx context.Context, e entry, g Generation) attemptResult {
	received := s.receivedAnswer()
	r := connect.NewRequest(&callerv1.GenerateRequest{
		IdempotencyKey:  g.Key,
		Model:           g.Model,
		Prompt:          g.Prompt,
		MaxOutputTokens: g.MaxOutputTokens,
		OffsetTokens:    int64(len(received.tokens)),
		AnswerId:        received.id,
	})
	s.authorize(r.Header().Set)
	stream, err := e.client.Generate(ctx, r)
	if err != nil {
		return failedAttempt(err)
	}
	defer func() { _ = stream.Close() }()
	var completion *callerv1.Completion
	for stream.Receive() {
		m := stream.Msg()
		if int(m.GetOffsetTokens()) > len(received.tokens) {
			return attemptResult{mismatch: true, err: eris.Errorf("gap in the stream: offset %d after %d tokens", m.GetOffsetTokens(), len(received.tokens))}
		}
		received.add(m)
		s.recordReceived(received, len(m.GetTokens()))
		completion = m.GetCompletion()
	}
	if err := stream.Err(); err != nil {
		return failedAttempt(err)
	}
	return checkCompletion(received.tokens, completion)
}

// add appends the tokens of a message. A message at an earlier offset replaces all tokens from there on.
func (a *partialAnswer) add(m *callerv1.GenerateResponse) {
	a.id = m.GetAnswerId()
	a.tokens = append(a.tokens[:m.GetOffsetTokens():m.GetOffsetTokens()], m.GetTokens()...)
}

// checkCompletion verifies the tokens of an answer against the token count and the digest of its completion.
func checkCompletion(tokens []string, c *callerv1.Completion) attemptResult {
	if c == nil {
		return attemptResult{err: eris.New("the stream closed without a completion")}
	}
	text := strings.Join(tokens, "")
	sum := sha256.Sum256([]byte(text))
	if int(c.GetTokenCount()) != len(tokens) || c.GetDigestSha256() != hex.EncodeToString(sum[:]) {
		return attemptResult{mismatch: true, err: eris.Errorf("token count %d or digest of the completion does not match the %d received tokens", c.GetTokenCount(), len(tokens))}
	}
	return attemptResult{complete: true, text: text}
}

func (s *requestState) authorize(set func(key, value string)) {
	set("Authorization", "Bearer "+s.client.credential)
}

// failedAttempt returns the result of an attempt with an error. It takes the refusal from the details of the error.
func failedAttempt(err error) attemptResult {
	var c *connect.Error
	if errors.As(err, &c) {
		for _, d := range c.Details() {
			value, errValue := d.Value()
			if r, found := value.(*callerv1.Refusal); errValue == nil && found {
				return attemptResult{refusal: r, err: err}
			}
		}
	}
	return attemptResult{err: err}
}
