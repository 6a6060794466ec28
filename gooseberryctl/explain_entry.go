package gooseberryctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/access"
	"gooseberrypin.example/router/adapter/explain"
	"gooseberrypin.example/router/gateway"
	"gooseberrypin.example/router/upstream"
)

const (
	// standardInput is the name of standard input in place of a file.
	standardInput = "-"
	// maxKeyBytes bounds the file with a customer's key.
	maxKeyBytes = 4 << 10
)

type (
	// EntryRequest describes the request that an entry explains.
	EntryRequest struct {
		Host        string        `help:"Host of the request."`
		Path        string        `help:"Path of the request, with its query."`
		Method      string        `help:"Method of the request; POST if it is not set."`
		Tokens      string        `help:"Tokens of a generation, as PROMPT,MAX_OUTPUT."`
		LengthHint  int           `help:"Expected number of output tokens."`
		PromptParts []string      `help:"Parts of the prompt in order, each as ID:TOKENS." placeholder:"ID:TOKENS"`
		Wait        time.Duration `help:"Time that the caller waits."`
		Caller      string        `help:"IP address of the caller, by which quarantined content is found."`
		BodyFile    string        `help:"File with the body, by which quarantined content is found; - for standard input."`
		KeyFile     string        `help:"File with the customer's key; - for standard input. Only the key's SHA-256 digest is sent."`
	}
)

// isSet reports whether a part of the request is described.
func (r EntryRequest) isSet() bool {
	return r.Host != "" || r.Path != "" || r.Method != "" || r.Tokens != "" || r.LengthHint != 0 || len(r.PromptParts) > 0 || r.Wait != 0 || r.Caller != "" || r.BodyFile != "" || r.KeyFile != ""
}

// query returns the query for a request. A FieldError names the field that is not valid.
func (r EntryRequest) query(model string) (explain.Query, error) {
	q := explain.Query{Host: r.Host, Path: r.Path, Method: r.Method, Caller: r.Caller, Model: model, LengthHint: r.LengthHint, WaitMS: r.Wait.Milliseconds()}
	if q.Method == "" {
		q.Method = http.MethodPost
	}
	if r.BodyFile == standardInput && r.KeyFile == standardInput {
		return q, &explain.FieldError{Field: "key_file", Message: "the body is read from standard input already"}
	}
	var err error
	if r.Tokens != "" {
		if q.Tokens, err = explain.ParseTokens(r.Tokens); err != nil {
			return q, err
		}
	}
	for _, text := range r.PromptParts {
		part, err := explain.ParsePromptPart(text)
		if err != nil {
			return q, err
		}
		q.PromptParts = append(q.PromptParts, part)
	}
	if r.BodyFile != "" {
		if q.Body, err = readInput(r.BodyFile, explain.MaxBodyBytes); err != nil {
			return q, &explain.FieldError{Field: "body_file", Message: err.Error()}
		}
	}
	if r.KeyFile != "" {
		key, err := readInput(r.KeyFile, maxKeyBytes)
		text := strings.TrimSpace(string(key))
		if err == nil && text == "" {
			err = eris.New("is empty")
		}
		if err != nil {
			return q, &explain.FieldError{Field: "key_file", Message: err.Error()}
		}
		q.KeyDigest = access.NewDigest(text).String()
	}
	return q, nil
}

// readInput returns the content of a file or of standard input, which may have a number of bytes at most.
func readInput(name string, maxBytes int64) ([]byte, error) {
	input := io.ReadCloser(os.Stdin)
	if name != standardInput {
		file, err := os.Open(name)
		if err != nil {
			// The name may be a key that was given in place of a file.
			return nil, errors.Unwrap(err)
		}
		defer func() { _ = file.Close() }()
		input = file
	}
	content, err := io.ReadAll(io.LimitReader(input, maxBytes+1))
	if err == nil && int64(len(content)) > maxBytes {
		err = eris.Errorf("more than %d bytes", maxBytes)
	}
	return content, err
}

// explainEntry prints where the entry at a control address would send a request now.
func explainEntry(o *output, address, model string, r EntryRequest) error {
	q, err := r.query(model)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	a, err := explain.Ask(ctx, httpClient, address, q)
	if err != nil {
		return err
	}
	o.printAnswerHead(a)
	if err := o.print(a, []string{"POOL", "PHASE", "UPSTREAM", "DATA CENTRE", "STATE", "IN FLIGHT", "TOKENS", "PER TOKEN", "PACE LIMIT", "WEIGHT", "NOTE"}, candidateRows(a)); err != nil {
		return err
	}
	o.printOutcome(a)
	if a.Version == 0 {
		return &faultError{message: fmt.Sprintf("entry %s has no configuration", a.Entry)}
	}
	return nil
}

// printAnswerHead prints what is decided before an upstream is chosen.
func (o *output) printAnswerHead(a explain.Answer) {
	o.printLine("entry %s in %s, revision %d", a.Entry, a.DataCentre, a.Version)
	if a.Route != "" {
		o.printLine("route %s, kind %s, priority %d, rank %d", a.Route, a.Kind, a.Priority, a.Rank)
	}
	switch {
	case a.Customer != "":
		o.printLine("customer %s", a.Customer)
	case a.CustomersInForce:
		o.printLine("no customer")
	}
	if q := a.Quota; q != nil {
		o.printLine("quota: counts as %v %s; %s", q.Amount, q.Unit, quotaText(q))
	}
	if c := a.Content; c != nil {
		text := c.Verdict
		if c.Content != "" {
			text += fmt.Sprintf(" by %s", c.Content)
		}
		if c.RemainingMS > 0 {
			text += fmt.Sprintf(" for %v", time.Duration(c.RemainingMS)*time.Millisecond)
		}
		o.printLine("content: %s", text)
	}
}

func quotaText(q *gateway.QuotaState) string {
	if q.PerSecond == 0 {
		return "no limit"
	}
	text := fmt.Sprintf("%v a second, burst %v; this entry holds %.1f", q.PerSecond, q.Burst, q.Held)
	if q.OwnPart {
		text += " of its own part"
	}
	if q.Asks {
		text += "; it would ask for more, the outcome is an estimate"
	}
	return text
}

// candidateRows returns the rows of the table of upstreams.
func candidateRows(a explain.Answer) [][]string {
	var rows [][]string
	for _, p := range a.Pools {
		for _, phase := range p.Phases {
			for _, c := range phase.Candidates {
				perToken, limit, weight := "-", "-", "-"
				if c.PerTokenUS > 0 {
					perToken = fmt.Sprintf("%.0f µs, %v old", c.PerTokenUS, (time.Duration(c.SpeedAgeMS) * time.Millisecond).Round(time.Second/10))
				}
				if c.PaceLimit > 0 {
					limit = fmt.Sprintf("%.1f, here %.0f", c.PaceLimit, c.PaceShare)
				}
				if c.Weight > 0 {
					weight = strconv.FormatFloat(c.Weight, 'f', 3, 64)
				}
				rows = append(rows, []string{
					p.Pool, phase.Phase, c.Upstream, orDash(c.DataCentre), untilText(c.State, c.Until, a.At), strconv.Itoa(c.InFlight), strconv.Itoa(c.Tokens),
					perToken, limit, weight, candidateNote(c, a.At),
				})
			}
		}
	}
	return rows
}

func candidateNote(c gateway.CandidateState, at time.Time) string {
	var notes []string
	if c.Obstacle != "" {
		notes = append(notes, untilText(c.Obstacle, c.ObstacleUntil, at))
	}
	if c.AsksOwner {
		notes = append(notes, "asks the owner of its limit")
	}
	return orDash(strings.Join(notes, ", "))
}

// untilText returns a state with the time until its end, if that is known.
func untilText(state string, until *time.Time, at time.Time) string {
	if until == nil {
		return state
	}
	return fmt.Sprintf("%s for %v", state, until.Sub(at).Round(time.Millisecond))
}

// printOutcome prints what would happen in each pool, and to the request.
func (o *output) printOutcome(a explain.Answer) {
	for _, p := range a.Pools {
		if len(a.Pools) > 1 {
			o.printLine("pool %s, drawn with a chance of %.3f", p.Pool, p.Chance)
		}
		if m := p.Memory; m != nil {
			o.printLine("memory: %d tokens, %d wait, %d before it; %s", m.Tokens, m.Waiting, m.Ahead, waitText(m))
		}
		if p.WaitsMS > 0 {
			o.printLine("waits up to %d ms until an upstream is below its pace limit", p.WaitsMS)
		}
		for _, phase := range p.Phases {
			name := phase.Phase
			if name == upstream.PhaseNone.String() {
				name = "upstream"
			}
			o.printLine("%s: %s", name, choiceText(phase))
		}
		if p.Refusal != nil && len(a.Pools) > 1 {
			o.printLine("refused in %s: %s", p.Pool, refusalText(p.Refusal))
		}
	}
	if a.Refusal != nil {
		o.printLine("refused: %s", refusalText(a.Refusal))
		return
	}
	o.printLine("not refused, as far as the entry knows")
}

func waitText(m *gateway.MemoryState) string {
	text := fmt.Sprintf("expected wait unknown, at most %d ms", m.MaxWaitMS)
	switch {
	case m.Denial != "":
		text = "refused at once: " + m.Denial
	case m.AsksNow:
		text = "an engine is asked at once"
	case m.ExpectedWaitMS > 0:
		text = fmt.Sprintf("expected wait %d ms, at most %d ms", m.ExpectedWaitMS, m.MaxWaitMS)
	}
	if m.WithinShare < 1 {
		text += fmt.Sprintf("; within its customer's fair share with a chance of %.2f", m.WithinShare)
	}
	return text
}

// choiceText returns which upstream of a phase would be chosen.
func choiceText(p gateway.PhaseExplanation) string {
	switch {
	case p.Skipped != "":
		return p.Skipped
	case p.Chosen != "":
		return p.Chosen + " by " + p.By
	case slices.ContainsFunc(p.Candidates, func(c gateway.CandidateState) bool { return c.Weight > 0 }):
		return "drawn by the weights, by " + p.By
	}
	return "none"
}

func refusalText(r *gateway.ExpectedRefusal) string {
	text := fmt.Sprintf("%s, status %d", r.Reason, r.Status)
	switch {
	case r.MaxRetryAfterMS > r.RetryAfterMS:
		text += fmt.Sprintf(", Retry-After %d to %d ms", r.RetryAfterMS, r.MaxRetryAfterMS)
	case r.RetryAfterMS > 0:
		text += fmt.Sprintf(", Retry-After %d ms", r.RetryAfterMS)
	}
	return text + ": " + r.Why
}
