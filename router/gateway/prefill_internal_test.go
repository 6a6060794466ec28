package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/upstream"
)

// One of 103 entries has a short prompt in flight at one of 56 prefill engines. Its next prompt goes to the same
// engine, which is in its data centre. The estimate must not assume 103 prompts in the queue of that engine.
func TestOwnPromptIsNotScaledByEntries(t *testing.T) {
	const entries, engines, short, prompt = 103, 56, 500, 3200
	is := is.New(t)
	members := make([]*upstream.Member, engines)
	for i := range members {
		members[i] = &upstream.Member{History: &upstream.History{}}
	}
	g := New(nil, upstream.NewDirectory(), nil, WithEntries(func() int { return entries }))
	n := &generation{activeRequest: &activeRequest{gateway: g, poolState: &poolState{estimates: newEstimates()}}}
	n.poolState.estimates.recordPrefill(33_000, time.Second)
	members[0].Begin(short)
	is.True(n.expectedPrefillTime(members[0], members, prompt) < 150*time.Millisecond)
	for _, m := range members {
		m.Begin(prompt)
	}
	is.True(n.expectedPrefillTime(members[0], members, prompt) > 5*time.Second) // every entry is assumed to be as busy
}
