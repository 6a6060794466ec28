// Package share divides the system fairly among partners while it is loaded.
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
	defaultBurst  = 2 * time.Second
	defaultShared = 0.97
	defaultBeyond = 0.94
	demandWindow  = 4 * time.Second
	levelInterval = time.Second
	idleAfter     = 10 * time.Second
	retryJitter   = 0.5
)

type (
	// Option sets an option of a limiter.
	Option func(l *Limiter)

	// Limiter gives each partner a bucket of predicted tokens. It limits only while the
	// system is loaded, and only partners that ask for more than the fair level, so that
	// what light partners leave goes to the others. It is safe for concurrent use.
	Limiter struct {
		mu       sync.Mutex
		random   *rand.Rand
		burst    time.Duration
		shared   float64
		beyond   float64
		rate     float64
		pressure float64
		level    float64
		levelled time.Time
		partners map[string]*partner
	}

	partner struct {
		weight float64
		// demand is the rate asked for, in predicted tokens a second.
		demand  float64
		asked   time.Time
		bucket  float64
		updated time.Time
	}
)

// NewLimiter returns a limiter that draws its jitter from random.
func NewLimiter(random *rand.Rand, opts ...Option) *Limiter {
	l := &Limiter{random: random, burst: defaultBurst, shared: defaultShared, beyond: defaultBeyond, partners: make(map[string]*partner)}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// WithBurst sets how long a partner may save its share up.
func WithBurst(burst time.Duration) Option {
	return func(l *Limiter) { l.burst = burst }
}

// WithShared sets the pressure up to which partners above the fair level use their
// share. What is left above it is for the others.
func WithShared(pressure float64) Option {
	return func(l *Limiter) { l.shared = pressure }
}

// WithBeyond sets the pressure up to which partners may go beyond their share.
func WithBeyond(pressure float64) Option {
	return func(l *Limiter) { l.beyond = pressure }
}

// SetRate sets the predicted tokens a second that the whole system carries.
func (l *Limiter) SetRate(tokensPerSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate = tokensPerSecond
}

// SetPressure sets how loaded the system is: 1 is full.
func (l *Limiter) SetPressure(pressure float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pressure = pressure
}

// Take counts a request of a partner, or refuses it beyond the partner's share under load.
func (l *Limiter) Take(name string, weight float64, predictedTokens, liveEntries int, now time.Time) *refusal.Refusal {
	return l.take(name, weight, predictedTokens, liveEntries, true, now)
}

// TakeResend is Take for a resend of a request that was refused: it adds nothing to what the partner asks for.
func (l *Limiter) TakeResend(name string, weight float64, predictedTokens, liveEntries int, now time.Time) *refusal.Refusal {
	return l.take(name, weight, predictedTokens, liveEntries, false, now)
}

// Refund gives back what a request took that was refused later, before any work was done for it.
func (l *Limiter) Refund(name string, predictedTokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, found := l.partners[name]; found {
		p.bucket += float64(predictedTokens)
	}
}

func (l *Limiter) take(name string, weight float64, predicted, entries int, first bool, now time.Time) *refusal.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.partner(name, weight, now)
	l.relevel(entries, now)
	tokens := float64(predicted)
	share := p.weight * l.level
	p.refill(share, l.burst, tokens, now)
	p.fade(now)
	light := p.demand <= share
	if first {
		p.demand += tokens / demandWindow.Seconds()
	}
	if l.rate == 0 || l.pressure < l.beyond || light {
		p.bucket = max(0, p.bucket-tokens)
		return nil
	}
	if l.pressure < l.shared && p.bucket >= tokens {
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
		p = &partner{asked: now, updated: now}
		l.partners[name] = p
	}
	p.weight = weight
	if weight <= 0 {
		p.weight = 1
	}
	return p
}

// refill adds a partner's share since the last request.
func (p *partner) refill(share float64, burst time.Duration, tokens float64, now time.Time) {
	passed := max(0, now.Sub(p.updated))
	p.updated = now
	p.bucket = min(max(share*burst.Seconds(), tokens), p.bucket+share*passed.Seconds())
}

// fade lets what a partner asked for lose weight with time.
func (p *partner) fade(now time.Time) {
	passed := max(0, now.Sub(p.asked))
	p.asked = now
	p.demand *= math.Exp(-passed.Seconds() / demandWindow.Seconds())
}

// relevel computes the level at which the partners' capped demands fill the rate.
func (l *Limiter) relevel(liveEntries int, now time.Time) {
	if now.Sub(l.levelled) < levelInterval {
		return
	}
	l.levelled = now
	active := make([]*partner, 0, len(l.partners))
	weights := 0.0
	for name, p := range l.partners {
		if now.Sub(p.updated) > idleAfter {
			delete(l.partners, name)
			continue
		}
		p.fade(now)
		active = append(active, p)
		weights += p.weight
	}
	l.level = level(active, weights, l.rate/float64(max(1, liveEntries)))
}

func level(active []*partner, weights, left float64) float64 {
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
	fair := left
	for _, p := range active {
		fair = left / weights
		if p.demand/p.weight >= fair {
			return fair
		}
		left -= p.demand
		weights -= p.weight
	}
	return fair
}
