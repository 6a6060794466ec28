package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"gooseberrypin.example/router/speed"
	"gooseberrypin.example/router/upstream"
)

const (
	// minSampleEvents is the number of pauses between events that one sample of a decode engine covers. Single pauses vary
	// with the steps in which an engine sends its tokens.
	minSampleEvents = 8
	// maxWriteShare is the largest share of a sample's time that writes to the caller may take. A caller that reads slowly
	// makes the stream slow.
	maxWriteShare = 0.1
	// soonestDrawn is the number of engines that are drawn at random for a choice by the expected finish.
	soonestDrawn = 2
)

type (
	// decodeSample measures the pauses between the events of a stream of one engine.
	decodeSample struct {
		member *upstream.Member
		// began is when the first of the events was received; zero before the first event.
		began  time.Time
		events int
		// writing is the time that writes to the caller have taken since began.
		writing time.Duration
	}
)

// WithSpeeds sets the table in which the gateway records how fast engines work. Requests are placed by it where engines
// differ. By default the gateway learns no speeds.
func WithSpeeds(speeds *speed.Table) Option {
	return func(g *Gateway) { g.speeds = speeds }
}

// recordSpeed records the time in which an engine worked on a number of tokens.
func (g *Gateway) recordSpeed(m *upstream.Member, tokens int, took time.Duration) {
	g.speeds.Record(m.Upstream, tokens, took, time.Now())
}

// sampleEvent adds an event to the current sample, and records the sample once it covers enough pauses.
func (r *relay) sampleEvent(now time.Time) {
	s, engine := &r.sample, r.activeRequest.pool.Engine
	if s.member == nil || engine == nil {
		return
	}
	if !s.began.IsZero() {
		s.events++
	}
	elapsed := now.Sub(s.began)
	switch {
	case s.began.IsZero():
	case s.events < minSampleEvents:
		return
	case float64(s.writing) <= maxWriteShare*float64(elapsed):
		r.activeRequest.gateway.recordSpeed(s.member, s.events*engine.TokensPerEvent, elapsed)
	}
	*s = decodeSample{member: s.member, began: now}
}

// speedsOf returns what is known of the speeds of the engines of the pool in a phase; nil if nothing is known.
func (n *generation) speedsOf(phase upstream.Phase) *speed.View {
	if n.peek != nil {
		return n.gateway.peekSpeeds(n.pool.Name, phase)
	}
	return n.gateway.speedsOf(n.pool.Name, phase)
}

func (g *Gateway) speedsOf(pool string, phase upstream.Phase) *speed.View {
	published := func() []*upstream.Member { return g.directory.Published(pool, phase) }
	return g.speeds.View(published, pool, phase, time.Now())
}

// chooseSoonest returns a chooser of a prefill engine by the expected finish of the prompt. It draws two engines at random and
// one in the data centre: with the best of all engines, the prompts of all entries would go to the same engine until its
// figure changes. Of those it draws one with a weight of the inverse square of the expected finish, with which engines get
// prompts in proportion to their speed, and slow ones are tried again.
func chooseSoonest(speeds *speed.View, promptTokens int) chooser {
	return func(members []*upstream.Member, dataCentre string, tried map[string]bool, random *rand.Rand) *upstream.Member {
		untried := slices.DeleteFunc(slices.Clone(members), func(m *upstream.Member) bool { return tried[m.ID] })
		random.Shuffle(len(untried), func(i, j int) { untried[i], untried[j] = untried[j], untried[i] })
		drawn := slices.Clone(untried[:min(len(untried), soonestDrawn)])
		if i := slices.IndexFunc(untried, func(m *upstream.Member) bool { return m.DataCentre == dataCentre }); i >= soonestDrawn {
			drawn = append(drawn, untried[i])
		}
		var chosen *upstream.Member
		total := 0.0
		for _, m := range drawn {
			weight := soonestWeight(speeds, m, dataCentre, promptTokens)
			if total += weight; random.Float64()*total < weight {
				chosen = m
			}
		}
		return chosen
	}
}

// soonestWeight returns the weight of a prefill engine for a prompt: the inverse square of its expected finish.
func soonestWeight(speeds *speed.View, m *upstream.Member, dataCentre string, promptTokens int) float64 {
	finish := float64(speeds.PerToken(m)) * float64(promptTokens+m.Load().Tokens)
	if m.DataCentre != dataCentre {
		finish += remoteCostTokens * float64(speeds.Median())
	}
	return 1 / (finish * finish)
}
