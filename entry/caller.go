package entry

import (
	"context"
	"net/http"
	"strings"

	"connectrpc.com/connect"

	callerv1 "gooseberrypin.example/gen/caller/v1"
	"gooseberrypin.example/router/access"
	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/request"
	"gooseberrypin.example/router/route"
)

const (
	maxKeyBytes     = 256
	maxPromptBytes  = 1 << 20
	maxOutputTokens = 1 << 20
	// MaxRequestBytes is the maximum size of a caller's message.
	MaxRequestBytes = 2 << 20
)

type (
	// caller implements the Router service for callers.
	caller struct {
		entry *Entry
	}
)

// Generate implements Generate of the Router service for callers.
func (c *caller) Generate(ctx context.Context, q *connect.Request[callerv1.GenerateRequest], s *connect.ServerStream[callerv1.GenerateResponse]) error {
	g, why := c.generation(q.Header(), q.Msg)
	if why != nil {
		return c.refuse(why)
	}
	at := request.Position{AnswerID: q.Msg.GetAnswerId(), Offset: int(q.Msg.GetOffsetTokens())}
	why = c.entry.relay(ctx, g, at, func(p request.Piece) error {
		return s.Send(fromPiece(p))
	})
	if why != nil {
		return c.refuse(why)
	}
	c.entry.count("answered")
	return nil
}

// Complete implements Complete of the Router service for callers.
func (c *caller) Complete(ctx context.Context, q *connect.Request[callerv1.GenerateRequest]) (*connect.Response[callerv1.CompleteResponse], error) {
	g, why := c.generation(q.Header(), q.Msg)
	if why != nil {
		return nil, c.refuse(why)
	}
	var tokens []string
	var completion *request.Completion
	why = c.entry.relay(ctx, g, request.Position{}, func(p request.Piece) error {
		tokens = append(tokens[:min(p.Offset, len(tokens))], p.Tokens...)
		completion = p.Completion
		return nil
	})
	if why != nil {
		return nil, c.refuse(why)
	}
	c.entry.count("answered")
	return connect.NewResponse(&callerv1.CompleteResponse{
		Text:       strings.Join(tokens, ""),
		Completion: fromCompletion(completion),
	}), nil
}

// partner returns the partner that the request's credential belongs to, with the index of the configuration in force.
func (c *caller) partner(h http.Header) (*configuration.Index, *configuration.Partner, *refusal.Refusal) {
	s := c.entry.store.Current()
	if s == nil {
		return nil, nil, route.NoConfiguration()
	}
	credential := access.Bearer(h)
	if credential == "" {
		return nil, nil, refusal.New(refusal.RanNo, refusal.UnknownPartner, 0, "no credential: send the header Authorization: Bearer CREDENTIAL")
	}
	p := s.Index.PartnerByCredential(access.NewDigest(credential).String())
	if p == nil {
		return nil, nil, refusal.New(refusal.RanNo, refusal.UnknownPartner, 0, "the credential is not known")
	}
	return s.Index, p, nil
}

// generation validates a caller's request. It limits the output tokens to the maximum of the rule.
func (c *caller) generation(h http.Header, m *callerv1.GenerateRequest) (request.Generation, *refusal.Refusal) {
	index, p, why := c.partner(h)
	if why != nil {
		return request.Generation{}, why
	}
	if why := checkGeneration(m); why != nil {
		return request.Generation{}, why
	}
	rule := index.RuleForModel(m.GetModel())
	if rule == nil || !p.Allows(rule.Name) {
		return request.Generation{}, refusal.New(refusal.RanNo, refusal.UnknownRule, 0, "no rule for model %q", m.GetModel())
	}
	g := request.Generation{
		Partner:         p.Name,
		Key:             m.GetIdempotencyKey(),
		Rule:            rule.Name,
		Model:           m.GetModel(),
		Prompt:          m.GetPrompt(),
		MaxOutputTokens: int(m.GetMaxOutputTokens()),
	}
	if rule.MaxOutputTokens > 0 && (g.MaxOutputTokens <= 0 || g.MaxOutputTokens > rule.MaxOutputTokens) {
		g.MaxOutputTokens = rule.MaxOutputTokens
	}
	return g, nil
}

// refuse counts a refusal and returns it as the error for the caller.
func (c *caller) refuse(why *refusal.Refusal) error {
	c.entry.count("refused")
	return toError(why)
}

func checkGeneration(m *callerv1.GenerateRequest) *refusal.Refusal {
	switch {
	case m.GetIdempotencyKey() == "":
		return malformed("idempotency_key: missing")
	case len(m.GetIdempotencyKey()) > maxKeyBytes:
		return malformed("idempotency_key: longer than %d bytes", maxKeyBytes)
	case m.GetModel() == "":
		return malformed("model: missing")
	case m.GetPrompt() == "":
		return malformed("prompt: missing")
	case len(m.GetPrompt()) > maxPromptBytes:
		return malformed("prompt: longer than %d bytes", maxPromptBytes)
	case m.GetMaxOutputTokens() < 0 || m.GetMaxOutputTokens() > maxOutputTokens:
		return malformed("max_output_tokens: not between 0 and %d", maxOutputTokens)
	case m.GetOffsetTokens() < 0:
		return malformed("offset_tokens: negative")
	}
	return nil
}

func malformed(format string, args ...any) *refusal.Refusal {
	return refusal.New(refusal.RanNo, refusal.Malformed, 0, format, args...)
}

func fromPiece(p request.Piece) *callerv1.GenerateResponse {
	return &callerv1.GenerateResponse{
		AnswerId:     p.AnswerID,
		OffsetTokens: int64(p.Offset),
		Tokens:       p.Tokens,
		Completion:   fromCompletion(p.Completion),
	}
}

func toPiece(m *callerv1.GenerateResponse) request.Piece {
	return request.Piece{
		AnswerID:   m.GetAnswerId(),
		Offset:     int(m.GetOffsetTokens()),
		Tokens:     m.GetTokens(),
		Completion: toCompletion(m.GetCompletion()),
	}
}

func fromCompletion(c *request.Completion) *callerv1.Completion {
	if c == nil {
		return nil
	}
	return &callerv1.Completion{
		TokenCount:   int64(c.TokenCount),
		DigestSha256: c.DigestSHA256,
		FinishReason: c.FinishReason,
	}
}

func toCompletion(m *callerv1.Completion) *request.Completion {
	if m == nil {
		return nil
	}
	return &request.Completion{
		TokenCount:   int(m.GetTokenCount()),
		DigestSHA256: m.GetDigestSha256(),
		FinishReason: m.GetFinishReason(),
	}
}
