package gateway

import (
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
