package pace_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/pace"
	"gooseberrypin.example/router/upstream"
)

// Guards against an explanation that changes limits: what is done with a peeked limiter stays there.
func TestPeekedLimiterIsSeparate(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := pace.NewLimiter("e", func() int { return 2 })
	m := &upstream.Member{Upstream: upstream.Upstream{ID: "a", Pool: "p", Slots: 8}, History: &upstream.History{}}
	other := &upstream.Member{Upstream: upstream.Upstream{ID: "b", Pool: "p", Slots: 8}, History: &upstream.History{}}
	members := []*upstream.Member{m, other}
	l.Failed(m, now)
	before := l.Figures(members, now)
	peeked := l.Peek()
	all, own := peeked.Limit(m.Upstream, now)
	is.Equal(all, before[0].Limit)
	is.True(own >= float64(int(all/2)) && own <= float64(int(all/2))+1)
	is.Equal(len(peeked.Allowed(members, now)), 2)
	for range 50 {
		peeked.Failed(m, now)
		peeked.Failed(other, now)
	}
	is.True(peeked.Figures(members, now)[0].Limit < before[0].Limit)
	is.Equal(l.Figures(members, now), before)
	is.Equal((*pace.Limiter)(nil).Peek(), nil)
}
