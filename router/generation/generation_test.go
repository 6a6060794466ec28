package generation_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/claim"
	"gooseberrypin.example/router/generation"
	"gooseberrypin.example/router/lease"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/request"
)

var errLost = eris.New("connection lost")

type (
	// fake implements the sidecars with scripted answers and records the calls and reservations.
	fake struct {
		prefills []any // the last event of each Prefill, or its error
		reserves []*refusal.Refusal
		decodes  [][]any // the events of each Decode; an error ends the stream
		prompts  []string
		reserved map[string]int
		calls    []string
	}
	prefillStream struct {
		events []any
	}
	decodeStream struct {
		ctx    context.Context
		events []any
	}
	routes struct{ plans []*plan }
	plan   struct {
		avoid []string
		ends  int
	}
	crashes   struct{ count int }
	noRetries struct{ left int }
)

func (f *fake) Prefill(_ context.Context, address string, p port.Prefill) (port.PrefillStream, error) {
	f.calls = append(f.calls, "prefill "+address)
	f.prompts = append(f.prompts, p.Prompt)
	end := f.prefills[0]
	f.prefills = f.prefills[1:]
	if err, ok := end.(error); ok {
		return nil, err
	}
	return &prefillStream{events: []any{port.Queued{}, port.AtHead{}, end}}, nil
}

func (f *fake) StartPrefill(context.Context, string, port.Attempt) (*refusal.Refusal, error) {
	return nil, nil
}

func (f *fake) Reserve(_ context.Context, address string, _ port.Reservation) (port.Load, *refusal.Refusal, error) {
	f.calls = append(f.calls, "reserve "+address)
	var refused *refusal.Refusal
	if len(f.reserves) > 0 {
		refused, f.reserves = f.reserves[0], f.reserves[1:]
	}
	if refused == nil {
		f.reserved[address]++
	}
	return port.Load{}, refused, nil
}

func (f *fake) Release(_ context.Context, address string, _ port.Attempt) error {
	f.reserved[address] = 0
	return nil
}

func (f *fake) Decode(ctx context.Context, address string, _ port.Decode) (port.DecodeStream, error) {
	f.calls = append(f.calls, "decode "+address)
	events := f.decodes[0]
	f.decodes = f.decodes[1:]
	return &decodeStream{ctx: ctx, events: events}, nil
}

func (f *fake) Claim(context.Context, string, claim.Request) (claim.Outcome, error) {
	return claim.Granted{Number: 1}, nil
}

func (f *fake) Settle(context.Context, string, string, uint64, string, bool) (claim.Settlement, error) {
	return claim.Settled, nil
}

func (s *prefillStream) Next() (port.PrefillEvent, error) {
	e := s.events[0]
	s.events = s.events[1:]
	return e.(port.PrefillEvent), nil
}

func (s *prefillStream) Close() {}

func (s *decodeStream) Next() (port.DecodeEvent, error) {
	if len(s.events) == 0 {
		<-s.ctx.Done()
		return nil, s.ctx.Err()
	}
	e := s.events[0]
	s.events = s.events[1:]
	if err, ok := e.(error); ok {
		return nil, err
	}
	return e.(port.DecodeEvent), nil
}

func (s *decodeStream) Close() {}

func pick(kind string, avoid []string) generation.Target {
	for n := 1; ; n++ {
		name := fmt.Sprintf("%s%d", kind, n)
		if !slices.Contains(avoid, name) {
			return generation.Target{Upstream: name, SidecarAddress: name}
		}
	}
}

func (r *routes) Admit(_ *request.Generation, _ string, avoid []string, _ time.Time) (generation.Plan, *refusal.Refusal) {
	p := &plan{avoid: avoid}
	r.plans = append(r.plans, p)
	return p, nil
}

func (p *plan) PrefillTarget() generation.Target { return pick("p", p.avoid) }

func (p *plan) DecodeTarget(_ context.Context, _ bool, avoid []string) (generation.Target, *refusal.Refusal) {
	return pick("d", avoid), nil
}

func (p *plan) Deadline() time.Time        { return time.Now().Add(time.Second) }
func (p *plan) Late() bool                 { return false }
func (p *plan) Reserved(generation.Target) {}
func (p *plan) Prefilled()                 {}
func (p *plan) Finish(int)                 { p.ends++ }
func (p *plan) End(int)                    { p.ends++ }

func (*routes) MarkUnreachable(string, time.Time) {}

func (c *crashes) RecordCrash(context.Context, string, string) *refusal.Refusal {
	if c.count++; c.count > 1 {
		return refusal.New(refusal.RanYes, refusal.Quarantined, time.Minute, "crashes")
	}
	return nil
}

func (c *crashes) RecordSuccess(string) {}

func (n *noRetries) RecordFirstTry() {}

func (n *noRetries) Allow() bool {
	n.left--
	return n.left >= 0
}

func TestRun(t *testing.T) {
	done := port.Prefilled{KV: port.KV{Handle: "h"}}
	crashed := port.Refused{Refusal: refusal.New(refusal.RanYes, refusal.UpstreamLost, 0, "crashed")}
	full := refusal.New(refusal.RanNo, refusal.Overloaded, time.Second, "full")
	leaving := port.Refused{Refusal: refusal.New(refusal.RanNo, refusal.Leaving, 0, "leaving")}
	complete := []any{port.Tokens{Texts: []string{"a ", "b"}}, port.Finished{Reason: "stop"}}
	cases := map[string]struct {
		fake          fake
		retries       int
		text          string
		reason        refusal.Reason
		calls         string
		callerCancels bool
		maxOutput     int
	}{
		"complete": {
			fake: fake{prefills: []any{done}, decodes: [][]any{complete}},
			text: "a b", calls: "prefill p1,reserve d1,decode d1",
		},
		"a refused prefill is tried at another upstream with the same reservation": {
			fake: fake{prefills: []any{leaving, errLost, done}, decodes: [][]any{complete}},
			text: "a b", calls: "prefill p1,reserve d1,prefill p2,prefill p3,decode d1",
		},
		"without decode memory no prefill starts": {
			fake:   fake{prefills: []any{done}, reserves: []*refusal.Refusal{full, full, full}},
			reason: refusal.Overloaded, calls: "prefill p1,reserve d1,reserve d2,reserve d3",
		},
		"a retry after a lost decode continues from the answer so far": {
			fake: fake{prefills: []any{done, done}, decodes: [][]any{
				{port.Tokens{Texts: []string{"a "}}, errLost},
				{port.Tokens{Texts: []string{"b"}}, port.Finished{Reason: "stop"}},
			}},
			retries: 1, text: "a b", calls: "prefill p1,reserve d1,decode d1,prefill p1,reserve d1,decode d1",
		},
		"an answer of the greatest length whose end was lost is complete": {
			fake:    fake{prefills: []any{done, done}, decodes: [][]any{{port.Tokens{Texts: []string{"a ", "b"}}, errLost}, {port.Tokens{Texts: []string{"c"}}, port.Finished{Reason: "length"}}}},
			retries: 1, text: "a b", calls: "prefill p1,reserve d1,decode d1", maxOutput: 2,
		},
		"no retry without budget": {
			fake:   fake{prefills: []any{done}, decodes: [][]any{{errLost}}},
			reason: refusal.UpstreamLost, calls: "prefill p1,reserve d1,decode d1",
		},
		"a request that is cancelled before the run makes no calls": {
			callerCancels: true, reason: refusal.Cancelled,
		},
		"content is quarantined after two crashes": {
			fake:    fake{prefills: []any{done, done, done}, decodes: [][]any{{crashed}, {crashed}}},
			retries: 5, reason: refusal.Quarantined, calls: "prefill p1,reserve d1,decode d1,prefill p1,reserve d1,decode d1",
		},
		"a crashed prefill is not tried at another upstream": {
			fake:   fake{prefills: []any{crashed}},
			reason: refusal.UpstreamLost, calls: "prefill p1,reserve d1",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &c.fake
				f.reserved = make(map[string]int)
				holdings := lease.NewHoldings()
				route := &routes{}
				runner := generation.NewRunner(f, route, holdings, &crashes{}, &noRetries{left: c.retries})
				g := request.Generation{Partner: "p", Key: "k", Model: "m", Prompt: "question ", MaxOutputTokens: c.maxOutput}
				r, _, _ := request.NewTable().Open(g)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if c.callerCancels {
					cancel()
				}
				first, _ := route.Admit(&g, g.Prompt, nil, time.Now())
				switch o := runner.Run(ctx, r, generation.Job{Generation: g, Plan: first}).(type) {
				case generation.Completed:
					is.Equal(strings.Join(r.Tokens(), ""), c.text)
				case generation.Refused:
					is.Equal(o.Refusal.Reason, c.reason)
				}
				is.Equal(strings.Join(f.calls, ","), c.calls)
				is.Equal(len(holdings.Addresses()), 0)
				for _, p := range route.plans {
					is.Equal(p.ends, 1) // each plan ends exactly once
				}
				for address, n := range f.reserved {
					is.Equal(address+fmt.Sprint(n), address+"0") // no reservation remains
				}
				if len(f.prompts) == 2 && c.text != "" {
					is.Equal(f.prompts[1], "question a ")
				}
			})
		})
	}
}
