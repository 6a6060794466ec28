package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/upstream"
)

// One of 103 entries has a short prompt at one of 56 prefill engines, and the next prompt goes there too, as the
// engine is near. That makes no queue of 103 prompts.
func TestOwnPromptIsNotEverybodys(t *testing.T) {
	const entries, engines, short, prompt = 103, 56, 500, 3200
	is := is.New(t)
	members := make([]*upstream.Member, engines)
	for i := range members {
		members[i] = &upstream.Member{History: &upstream.History{}}
	}
	g := New(nil, upstream.NewDirectory(), nil, WithEntries(func() int { return entries }))
	n := &generation{work: &work{gateway: g, shared: &pool{pace: newPace()}}}
	n.shared.pace.prefilled(33_000, time.Second)
	members[0].Begin(short)
	is.True(n.queue(members[0], members, prompt) < 150*time.Millisecond)
	for _, m := range members {
		m.Begin(prompt)
	}
	is.True(n.queue(members[0], members, prompt) > 5*time.Second) // every entry is taken to be as busy
}
