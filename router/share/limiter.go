// Package share limits each partner to its fair share of the system's capacity while the system is
// loaded.
package share

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gooseberrypin.example/router/refusal"
)

const (
	defaultBurst               = 2 * time.Second
	defaultSharePressureLimit  = 0.97
	defaultExcessPressureLimit = 0.94
	// demandWindow is the time constant with which a partner's demand decays.
	demandWindow     = 4 * time.Second
	fairRateInterval = time.Second
	idleAfter        = 10 * time.Second
	retryJitter      = 0.5
)

type (
	// Option configures a Limiter.
	Option func(l *Limiter)

	// Limiter holds a token bucket for each partner, filled and drained in predicted output
	// tokens. It limits only while the system is loaded, and only partners whose demand exceeds
	// their share. The shares are max-min fair by weight, so capacity that some partners do not
	// use is divided among the others. It is safe for concurrent use.
	Limiter struct {
		mu                  sync.Mutex
		random              *rand.Rand
		burst               time.Duration
		sharePressureLimit  float64
		excessPressureLimit float64
		// rate is the capacity of the whole system, in predicted tokens per second.
		rate float64
		// pressure is the load of the system: 1 is full.
		pressure float64
		// fairRate is the share of a partner of weight 1 at this entry, in predicted tokens per
		// second.
		fairRate        float64
		fairRateUpdated time.Time
		partners        map[string]*partner
	}

	partner struct {
		weight float64
		// demand is the rate of requests, admitted or not, in predicted tokens per second. It is
		// averaged over demandWindow.
		demand        float64
		demandUpdated time.Time
		// bucket is the number of predicted tokens that the partner may use.
		bucket        float64
		bucketUpdated time.Time
	}
)

// NewLimiter returns a limiter that adds jitter from random to the retry delays it returns. It admits
// all requests until SetRate is called.
func NewLimiter(random *rand.Rand, opts ...Option) *Limiter {
	l := &Limiter{random: random, burst: defaultBurst, sharePressureLimit: defaultSharePressureLimit, excessPressureLimit: defaultExcessPressureLimit, partners: make(map[string]*partner)}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// WithBurst sets the size of a partner's bucket, as the time in which its share fills it.
func WithBurst(burst time.Duration) Option {
	return func(l *Limiter) { l.burst = burst }
}

// WithSharePressureLimit sets the pressure below which a partner whose demand exceeds its share may
// still use that share. From this pressure on, only partners within their share are admitted.
func WithSharePressureLimit(pressure float64) Option {
	return func(l *Limiter) { l.sharePressureLimit = pressure }
}

// WithExcessPressureLimit sets the pressure below which partners may exceed their share.
func WithExcessPressureLimit(pressure float64) Option {
	return func(l *Limiter) { l.excessPressureLimit = pressure }
}

// SetRate sets the capacity of the whole system, in predicted tokens per second. Zero means
// that it is unknown: all requests are admitted.
func (l *Limiter) SetRate(tokensPerSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rate != tokensPerSecond {
		// The next request computes the fair rate anew.
		l.fairRateUpdated = time.Time{}
	}
	l.rate = tokensPerSecond
}

// SetPressure sets the load of the system: 1 is full.
func (l *Limiter) SetPressure(pressure float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pressure = pressure
}

// Take takes a request's predicted tokens from the partner's bucket and adds them to its demand. It
// refuses the request when the system is loaded and the partner exceeds its share. A weight of zero
// or less counts as 1. The capacity is divided by liveEntries, the number of entries that share it.
func (l *Limiter) Take(name string, weight float64, predictedTokens, liveEntries int, now time.Time) *refusal.Refusal {
	return l.take(name, weight, predictedTokens, liveEntries, true, now)
}

// TakeResend is Take for a resend of a request that was refused: it adds nothing to the partner's demand.
func (l *Limiter) TakeResend(name string, weight float64, predictedTokens, liveEntries int, now time.Time) *refusal.Refusal {
	return l.take(name, weight, predictedTokens, liveEntries, false, now)
}

// Refund returns the tokens of a request that was refused after Take, before any work was done for
// it.
func (l *Limiter) Refund(name string, predictedTokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, found := l.partners[name]; found {
		p.bucket += float64(predictedTokens)
	}
}

func (l *Limiter) take(name string, weight float64, predictedTokens, liveEntries int, countDemand bool, now time.Time) *refusal.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.partner(name, weight, now)
	l.updateFairRate(liveEntries, now)
	tokens := float64(predictedTokens)
	share := p.weight * l.fairRate
	p.refill(share, l.burst, tokens, now)
	p.decayDemand(now)
	withinShare := p.demand <= share
	if countDemand {
		p.demand += tokens / demandWindow.Seconds()
	}
	if l.rate == 0 || l.pressure < l.excessPressureLimit || withinShare {
		p.bucket = max(0, p.bucket-tokens)
		return nil
	}
	if l.pressure < l.sharePressureLimit && p.bucket >= tokens {
		p.bucket -= tokens
		return nil
	}
	wait := time.Duration(max(tokens-p.bucket, tokens/2) / share * float64(time.Second))
	wait += time.Duration(l.random.Float64() * retryJitter * float64(wait))
	return &refusal.Refusal{
		Ran:        refusal.RanNo,
		Reason:     refusal.PartnerShare,
		RetryAfter: wait,
		Message:    "beyond the partner's share under load",
	}
}

func (l *Limiter) partner(name string, weight float64, now time.Time) *partner {
	p, found := l.partners[name]
	if !found {
		p = &partner{demandUpdated: now, bucketUpdated: now}
		l.partners[name] = p
	}
	p.weight = weight
	if weight <= 0 {
		p.weight = 1
	}
	return p
}

// refill adds the partner's share since its last request to the bucket. The bucket's
// capacity is at least tokens, so that a request larger than the burst can be admitted.
func (p *partner) refill(share float64, burst time.Duration, tokens float64, now time.Time) {
	elapsed := max(0, now.Sub(p.bucketUpdated))
	p.bucketUpdated = now
	p.bucket = min(max(share*burst.Seconds(), tokens), p.bucket+share*elapsed.Seconds())
}

// decayDemand reduces the partner's demand by the time since its last update.
func (p *partner) decayDemand(now time.Time) {
	elapsed := max(0, now.Sub(p.demandUpdated))
	p.demandUpdated = now
	p.demand *= math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
}

// updateFairRate removes idle partners and computes the fair rate, at most once per
// fairRateInterval.
func (l *Limiter) updateFairRate(liveEntries int, now time.Time) {
	if now.Sub(l.fairRateUpdated) < fairRateInterval {
		return
	}
	l.fairRateUpdated = now
	active := make([]*partner, 0, len(l.partners))
	weights := 0.0
	for name, p := range l.partners {
		if now.Sub(p.bucketUpdated) > idleAfter {
			delete(l.partners, name)
			continue
		}
		p.decayDemand(now)
		active = append(active, p)
		weights += p.weight
	}
	l.fairRate = fairRate(active, weights, l.rate/float64(max(1, liveEntries)))
}

// fairRate returns the rate per unit of weight at which the partners' demands, each capped at its
// share, add up to remaining. When all demands fit, it returns the rate left for the partner with the
// highest demand per weight. It sorts active by demand per weight; weights is the partners' sum.
func fairRate(active []*partner, weights, remaining float64) float64 {
	slices.SortFunc(active, func(a, b *partner) int {
		x, y := a.demand/a.weight, b.demand/b.weight
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	fair := remaining
	for _, p := range active {
		fair = remaining / weights
		if p.demand/p.weight >= fair {
			return fair
		}
		remaining -= p.demand
		weights -= p.weight
	}
	return fair
}
