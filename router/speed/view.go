package speed

import (
	"math"
	"slices"
	"time"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/upstream"
)

const (
	// viewAge and viewAgePerEngine bound how long a view is used before it is computed again: one of 700 engines takes about
	// half a millisecond.
	viewAge          = 100 * time.Millisecond
	viewAgePerEngine = 500 * time.Microsecond
	// prefillHalfLife and decodeHalfLife are the times in which the weight of a sample halves. The time of a prompt
	// follows the queue of the engine, while the speed at which it decodes changes little.
	prefillHalfLife = 2 * time.Second
	decodeHalfLife  = 5 * time.Second
	// prefillPriorTokens and decodePriorTokens are the weight of the median of the pool beside the samples of an
	// engine. Without new samples, its estimate approaches the median within some seconds, so that it is tried again.
	prefillPriorTokens = 800
	decodePriorTokens  = 50
	// minSamples is the number of samples from which on an engine is judged.
	minSamples = 8
	// verdictTime is how long the samples of an engine have to speak against its verdict before it changes.
	verdictTime = time.Second
	// referenceQuantile is the quantile of the engines of a pool against which they are judged. It is a fast engine
	// also if two in three are slow.
	referenceQuantile = 0.25
)

type (
	// View is what is known of the engines of one pool and phase. A nil view knows nothing.
	View struct {
		uneven   bool
		median   time.Duration
		perToken map[string]time.Duration
		// expires is when the view is computed again.
		expires time.Time
	}

	// Figure is the learned speed of an engine in a state dump.
	Figure struct {
		Upstream string `json:"upstream"`
		Pool     string `json:"pool"`
		Phase    string `json:"phase"`
		// PerTokenUS is the estimated time per token, in microseconds.
		PerTokenUS float64 `json:"per_token_us"`
		Samples    int     `json:"samples"`
		// AgeMS is the age of the newest sample.
		AgeMS int64 `json:"age_ms"`
		Slow  bool  `json:"slow"`
	}

	// role is a key of the views.
	role struct {
		pool  string
		phase upstream.Phase
	}

	// known is an engine with samples. sum and weight are those of weigh, and best is that of the function best.
	known struct {
		*engine
		member      *upstream.Member
		sum, weight float64
		best        time.Duration
	}
)

// Uneven reports whether an engine of the pool was judged slow. If it is false, the engines differ too little, or too
// little is known of them, to place requests by their speed.
func (v *View) Uneven() bool { return v != nil && v.uneven }

// PerToken returns the estimated time that an engine takes for a token. For an unknown engine, that is the median of the
// pool.
func (v *View) PerToken(m *upstream.Member) time.Duration {
	if perToken, found := v.perToken[m.ID]; found {
		return perToken
	}
	return v.median
}

// Median returns the median of the estimates of the pool.
func (v *View) Median() time.Duration { return v.median }

// View returns what is known of the engines of one pool and phase. members returns all of them.
func (t *Table) View(members func() []*upstream.Member, pool string, phase upstream.Phase, now time.Time) *View {
	if t == nil || t.factor <= 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := role{pool, phase}
	if v, found := t.views[r]; found && now.Before(v.expires) {
		return v
	}
	v := t.compute(members(), now)
	t.views[r] = v
	return v
}

// Peek returns what View would return, and changes nothing.
func (t *Table) Peek(members func() []*upstream.Member, pool string, phase upstream.Phase, now time.Time) *View {
	if t == nil || t.factor <= 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if v, found := t.views[role{pool, phase}]; found && now.Before(v.expires) {
		return v
	}
	list := members()
	// The verdicts on copies of the engines are neither kept nor logged.
	scratch := &Table{factor: t.factor, log: event.Discard(), engines: make(map[uint64]*engine, len(list))}
	for _, m := range list {
		if e, found := t.engines[Key(m.Upstream)]; found {
			duplicate := *e
			scratch.engines[Key(m.Upstream)] = &duplicate
		}
	}
	return scratch.compute(list, now)
}

// Age returns the age of the newest sample of an engine, or false if there is none.
func (t *Table) Age(u upstream.Upstream, now time.Time) (time.Duration, bool) {
	if t == nil {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, found := t.engines[Key(u)]; found && len(e.samples) > 0 {
		return now.Sub(e.samples[0].Observed), true
	}
	return 0, false
}

// compute judges the engines of a pool and estimates their speeds. The caller holds the lock.
func (t *Table) compute(members []*upstream.Member, now time.Time) *View {
	v := &View{expires: now.Add(viewAge + time.Duration(len(members))*viewAgePerEngine)}
	list := make([]known, 0, len(members))
	means := make([]float64, 0, len(members))
	for _, m := range members {
		if e, found := t.engines[Key(m.Upstream)]; found && len(e.samples) > 0 {
			k := known{engine: e, member: m, best: e.best(now)}
			k.sum, k.weight = e.weigh(m.Phase, now)
			list = append(list, k)
			means = append(means, k.sum/k.weight)
		}
	}
	if len(list) == 0 {
		return v
	}
	slices.Sort(means)
	median := means[len(means)/2]
	v.median = time.Duration(median)
	v.perToken = make(map[string]time.Duration, len(list))
	for _, k := range list {
		prior := priorTokens(k.member.Phase)
		v.perToken[k.member.ID] = time.Duration((k.sum + prior*median) / (k.weight + prior))
	}
	v.uneven = t.judge(slices.DeleteFunc(list, func(k known) bool { return len(k.samples) < minSamples }), now)
	return v
}

// weigh returns the sums of the samples' times and tokens, each with a weight that falls with its age.
func (e *engine) weigh(phase upstream.Phase, now time.Time) (sum, tokens float64) {
	halfLife := prefillHalfLife
	if phase == upstream.PhaseDecode {
		halfLife = decodeHalfLife
	}
	for _, s := range e.samples {
		weight := float64(s.Tokens) * math.Exp2(-float64(now.Sub(s.Observed))/float64(halfLife))
		sum += weight * float64(s.PerToken)
		tokens += weight
	}
	return sum, tokens
}

func priorTokens(phase upstream.Phase) float64 {
	if phase == upstream.PhaseDecode {
		return decodePriorTokens
	}
	return prefillPriorTokens
}

// best returns the shortest time per token of the last bestIntervals and in the samples: most likely that prompt found no
// queue, or that stream had few others beside it.
func (e *engine) best(now time.Time) time.Duration {
	shortest := e.samples[0].PerToken
	for _, s := range e.samples {
		shortest = min(shortest, s.PerToken)
	}
	current := interval(now)
	for _, b := range e.bests {
		if b.perToken > 0 && current-b.interval < bestIntervals {
			shortest = min(shortest, b.perToken)
		}
	}
	return shortest
}

// judge updates the verdicts on engines, and reports whether any of them is slow. An engine becomes slow when it differs
// by the factor from the faster engines of its pool, and normal again when it differs by half as much. The caller holds
// the lock.
func (t *Table) judge(list []known, now time.Time) bool {
	if len(list) < 2 {
		return false
	}
	slices.SortFunc(list, func(a, b known) int { return int(a.best - b.best) })
	reference := list[int(referenceQuantile*float64(len(list)-1))].best
	uneven := false
	for _, j := range list {
		bound := t.factor
		if j.slow {
			bound = (1 + t.factor) / 2
		}
		switch slow := float64(j.best) >= bound*float64(reference); {
		case slow == j.slow:
			j.differsSince = time.Time{}
		case j.differsSince.IsZero():
			j.differsSince = now
		case now.Sub(j.differsSince) >= verdictTime:
			j.slow, j.differsSince = slow, time.Time{}
			t.logVerdict(j, reference)
		}
		uneven = uneven || j.slow
	}
	return uneven
}

func (t *Table) logVerdict(j known, reference time.Duration) {
	verdict := event.UpstreamNormal
	if j.slow {
		verdict = event.UpstreamSlow
	}
	t.log.Info(verdict, "upstream", j.member.ID, "pool", j.member.Pool, "phase", j.member.Phase.String(),
		"per_token_us", microseconds(j.best), "fast_per_token_us", microseconds(reference), "factor", t.factor)
}

// Figures returns the learned speeds of the engines of one pool and phase for a state dump.
func (t *Table) Figures(members []*upstream.Member, pool string, phase upstream.Phase, now time.Time) []Figure {
	var figures []Figure
	v := t.View(func() []*upstream.Member { return members }, pool, phase, now)
	if v == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range members {
		if e, found := t.engines[Key(m.Upstream)]; found && len(e.samples) > 0 {
			figures = append(figures, Figure{
				Upstream: m.ID, Pool: m.Pool, Phase: m.Phase.String(), PerTokenUS: microseconds(v.PerToken(m)),
				Samples: len(e.samples), AgeMS: now.Sub(e.samples[0].Observed).Milliseconds(), Slow: e.slow,
			})
		}
	}
	return figures
}

func microseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Microsecond)
}
