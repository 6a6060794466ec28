// Package explain serves and requests explanations of where an entry would send a request, over HTTP.
package explain

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/access"
	"gooseberrypin.example/router/gateway"
)

const (
	// Path is the path of explanations on the control address of an entry.
	Path = "/explain"
	// MaxBodyBytes bounds the body of an explained request.
	MaxBodyBytes = 1 << 20
	// maxQueryBytes bounds an encoded query: a body takes a third more, and the other fields are smaller than a request's head.
	maxQueryBytes = MaxBodyBytes/3*4 + 64<<10
	// maxAnswerBytes bounds an answer: some 400 bytes for each of 2,100 upstreams.
	maxAnswerBytes = 8 << 20
	// queryTimeout bounds the time in which a query arrives and its answer is read. Only one is answered at a time.
	queryTimeout = 3 * time.Second
	// maxTokens bounds a number of tokens.
	maxTokens = 1e9
)

type (
	// Query describes the request to explain.
	Query struct {
		Host string `json:"host"`
		// Path is the path, with a query if there is one.
		Path   string `json:"path"`
		Method string `json:"method"`
		// Caller is the IP address of the client. Together with the method, the path and the body it identifies the content
		// that may be quarantined.
		Caller string `json:"caller,omitempty"`
		Body   []byte `json:"body,omitempty"`
		Model  string `json:"model,omitempty"`
		// Tokens is the number of tokens of a generation, or nil. Without it, the request counts as one without a prompt: its
		// model, length hint and prompt parts make no difference.
		Tokens *Tokens `json:"tokens,omitempty"`
		// LengthHint is the expected number of output tokens; 0 if it is not stated.
		LengthHint  int          `json:"length_hint,omitempty"`
		PromptParts []PromptPart `json:"prompt_parts,omitempty"`
		// WaitMS is how long the caller waits, in milliseconds; 0 if it does not say.
		WaitMS int64 `json:"wait_ms,omitempty"`
		// KeyDigest is the SHA-256 digest of the customer's key in hexadecimal digits; empty without a key.
		KeyDigest string `json:"key_digest,omitempty"`
	}

	// Tokens is the number of tokens of a prompt and the largest one of its output.
	Tokens struct {
		Prompt    int `json:"prompt"`
		MaxOutput int `json:"max_output"`
	}

	// PromptPart is a part of a prompt.
	PromptPart struct {
		ID     string `json:"id"`
		Tokens int    `json:"tokens"`
	}

	// Answer is the explanation of an entry.
	Answer struct {
		// Entry is the name of the entry.
		Entry      string    `json:"entry"`
		DataCentre string    `json:"data_centre"`
		At         time.Time `json:"at"`
		gateway.Explanation
	}

	// FieldError reports a field of a query that is not valid.
	FieldError struct {
		Field   string `json:"field"`
		Message string `json:"message"`
	}

	// Handler answers queries. It answers one at a time, which bounds their memory.
	Handler struct {
		explain func(Query) Answer
		mu      sync.Mutex
	}
)

// Error implements error.
func (e *FieldError) Error() string {
	return e.Field + ": " + e.Message
}

// ParseTokens parses a number of tokens of the form PROMPT,MAX_OUTPUT.
func ParseTokens(text string) (*Tokens, error) {
	prompt, output, found := strings.Cut(text, ",")
	t := &Tokens{}
	var promptError, outputError error
	t.Prompt, promptError = strconv.Atoi(prompt)
	t.MaxOutput, outputError = strconv.Atoi(output)
	if !found || promptError != nil || outputError != nil {
		return nil, &FieldError{"tokens", strconv.Quote(text) + " is not of the form PROMPT,MAX_OUTPUT"}
	}
	return t, nil
}

// ParsePromptPart parses a part of a prompt of the form ID:TOKENS.
func ParsePromptPart(text string) (PromptPart, error) {
	id, count, _ := strings.Cut(text, ":")
	tokens, err := strconv.Atoi(count)
	if err != nil {
		return PromptPart{}, &FieldError{"prompt_parts", strconv.Quote(text) + " is not of the form ID:TOKENS"}
	}
	return PromptPart{ID: id, Tokens: tokens}, nil
}

// Check returns an error for the first field that is not valid, or nil.
func (q Query) Check() *FieldError {
	switch {
	case q.Host == "" || strings.ContainsAny(q.Host, "/ \r\n"):
		return &FieldError{"host", strconv.Quote(q.Host) + " is no host"}
	case !strings.HasPrefix(q.Path, "/") || strings.ContainsAny(q.Path, " \r\n"):
		return &FieldError{"path", strconv.Quote(q.Path) + " does not begin with a slash, or has a space or a line break"}
	case q.Method == "" || strings.ContainsFunc(q.Method, func(r rune) bool { return r < 'A' || r > 'Z' }):
		return &FieldError{"method", strconv.Quote(q.Method) + " is no method in capital letters"}
	case q.Caller != "" && !isAddress(q.Caller):
		return &FieldError{"caller", strconv.Quote(q.Caller) + " is no IP address"}
	case strings.ContainsAny(q.Model, "\r\n"):
		return &FieldError{"model", strconv.Quote(q.Model) + " has a line break"}
	case q.Tokens != nil && (!validTokens(q.Tokens.Prompt) || !validTokens(q.Tokens.MaxOutput)):
		return &FieldError{"tokens", "a number is not between 0 and 1e9"}
	case !validTokens(q.LengthHint):
		return &FieldError{"length_hint", strconv.Itoa(q.LengthHint) + " is not between 0 and 1e9"}
	case q.WaitMS < 0 || q.WaitMS > math.MaxInt64/int64(time.Millisecond):
		return &FieldError{"wait_ms", strconv.FormatInt(q.WaitMS, 10) + " is negative or too long"}
	case len(q.Body) > MaxBodyBytes:
		return &FieldError{"body", strconv.Itoa(len(q.Body)) + " bytes are more than " + strconv.Itoa(MaxBodyBytes)}
	}
	for _, p := range q.PromptParts {
		if p.ID == "" || strings.ContainsAny(p.ID, ":, \r\n") || !validTokens(p.Tokens) {
			return &FieldError{"prompt_parts", "part " + strconv.Quote(p.ID) + " with " + strconv.Itoa(p.Tokens) + " tokens is not valid"}
		}
	}
	if _, err := q.Digest(); err != nil {
		return &FieldError{"key_digest", "not 64 hexadecimal digits"}
	}
	return nil
}

func validTokens(n int) bool {
	return n >= 0 && n <= maxTokens
}

func isAddress(text string) bool {
	_, err := netip.ParseAddr(text)
	return err == nil
}

// Digest returns the digest of the customer's key, or the zero digest without a key.
func (q Query) Digest() (access.Digest, error) {
	var d access.Digest
	if q.KeyDigest == "" {
		return d, nil
	}
	b, err := hex.DecodeString(q.KeyDigest)
	if err != nil || len(b) != len(d) {
		return d, eris.New("no SHA-256 digest")
	}
	copy(d[:], b)
	return d, nil
}

// NewHandler returns a handler that answers valid queries by a function.
func NewHandler(explain func(Query) Answer) *Handler {
	return &Handler{explain: explain}
}

// ServeHTTP implements http.Handler. It answers 400 with a FieldError to a query that is not valid.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// Errors mean that the connection is closed. The server resets the deadline for reads itself.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(queryTimeout))
	_ = control.SetWriteDeadline(time.Now().Add(queryTimeout))
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	var q Query
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxQueryBytes))
	d.DisallowUnknownFields()
	w.Header().Set("Content-Type", "application/json")
	fault := fieldError(d.Decode(&q))
	if fault == nil {
		fault = q.Check()
	}
	if fault != nil {
		w.WriteHeader(http.StatusBadRequest)
		_ = json.NewEncoder(w).Encode(fault)
		return
	}
	// An error means that the client has gone.
	_ = json.NewEncoder(w).Encode(h.explain(q))
}

// fieldError returns the field of a query that could not be decoded; nil for no error.
func fieldError(err error) *FieldError {
	var mistyped *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case eris.As(err, &mistyped) && mistyped.Field != "":
		return &FieldError{mistyped.Field, "a JSON " + mistyped.Value + " is not of the type " + mistyped.Type.String()}
	}
	return &FieldError{"query", err.Error()}
}

// Ask returns the explanation of the entry at a control address. It returns a FieldError if the query is not valid.
func Ask(ctx context.Context, client *http.Client, address string, q Query) (Answer, error) {
	if fault := q.Check(); fault != nil {
		return Answer{}, fault
	}
	content, err := json.Marshal(q)
	if err != nil {
		return Answer{}, eris.Wrap(err, "query")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Path, bytes.NewReader(content))
	if err != nil {
		return Answer{}, eris.Wrap(err, address)
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := client.Do(r)
	if err != nil {
		return Answer{}, eris.Wrap(err, address)
	}
	defer func() { _ = response.Body.Close() }()
	d := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes))
	switch response.StatusCode {
	case http.StatusOK:
		var a Answer
		return a, eris.Wrap(d.Decode(&a), address)
	case http.StatusBadRequest:
		fault := &FieldError{}
		if d.Decode(fault) == nil && fault.Field != "" {
			return Answer{}, fault
		}
	}
	return Answer{}, eris.Errorf("%s: status %s", address, response.Status)
}
