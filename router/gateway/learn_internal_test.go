package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/speed"
	"gooseberrypin.example/router/upstream"
)

const (
	promptTokens = 3200
	tokenTime    = 30 * time.Microsecond
)

// learned returns a generation whose gateway has learned the speeds of engines of a phase, as multiples of tokenTime. The
// speed of an engine with 0 is unknown.
func learned(factors []float64, phase upstream.Phase) (*generation, []*upstream.Member) {
	d := upstream.NewDirectory()
	for i := range factors {
		d.Put(upstream.Upstream{ID: fmt.Sprintf("e%02d", i), Pool: "chat", Phase: phase, DataCentre: "east"})
	}
	members := d.Published("chat", phase)
	g := New(nil, d, nil, WithSpeeds(speed.NewTable(speed.DefaultUnevenFactor)), WithEntries(func() int { return 30 }))
	n := &generation{activeRequest: &activeRequest{
		gateway: g, pool: ingress.Pool{Name: "chat"}, poolState: &poolState{estimates: newEstimates()},
		request: &Request{Generation: &Generation{PromptTokens: promptTokens}},
	}}
	for range 12 {
		time.Sleep(300 * time.Millisecond)
		for i, m := range members {
			if factors[i] > 0 {
				g.recordSpeed(m, promptTokens, time.Duration(factors[i]*promptTokens*float64(tokenTime)))
			}
		}
		n.speedsOf(phase)
	}
	return n, members
}

// Where engines differ, prompts go to slow ones less often, but never to none of them. Where they do not, the one with the
// least load gets the prompt, as without learned speeds.
func TestPromptsFollowTheSpeedOfEngines(t *testing.T) {
	tests := map[string]struct {
		factors         []float64
		uneven          bool
		minimum, others int
	}{
		"even":                        {[]float64{1, 1, 1, 1, 1, 1}, false, 100, 250},
		"less uneven than the factor": {[]float64{1.3, 1, 1, 1, 1, 1}, false, 100, 250},
		"one slow":                    {[]float64{4, 1, 1, 1, 1, 1}, true, 5, 100},
		"one unknown":                 {[]float64{0, 4, 1, 1, 1, 1}, true, 100, 250},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n, members := learned(tt.factors, upstream.PhasePrefill)
				is.Equal(n.speedsOf(upstream.PhasePrefill).Uneven(), tt.uneven)
				random := rand.New(rand.NewPCG(1, 1))
				chosen := 0
				var running []*upstream.Member
				for range 1000 {
					m := n.prefillChooser()(members, "east", nil, random)
					m.Begin(promptTokens)
					if running = append(running, m); len(running) > 3 {
						running[0].End(promptTokens)
						running = running[1:]
					}
					if m == members[0] {
						chosen++
					}
				}
				is.True(chosen >= tt.minimum && chosen <= tt.others)
			})
		})
	}
}

// Of equally fast engines, the one in the data centre of the decode engine is preferred, and a slow one in it is not. One that
// was tried is not chosen again.
func TestSoonestEngineWithDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, members := learned([]float64{1, 1, 1, 4}, upstream.PhasePrefill)
		members[0].DataCentre, members[3].DataCentre = "west", "west"
		chosen := make(map[string]int)
		random := rand.New(rand.NewPCG(1, 1))
		choose := n.prefillChooser()
		for range 1000 {
			chosen[choose(members, "west", nil, random).ID]++
			is.True(choose(members, "west", map[string]bool{"e00": true, "e01": true}, random).ID > "e01")
		}
		is.True(4*chosen["e00"] > 5*chosen["e01"])
		is.True(chosen["e01"] > 2*chosen["e03"])
		is.Equal(choose(members, "west", map[string]bool{"e00": true, "e01": true, "e02": true, "e03": true}, random), nil)
	})
}

// The time-out of a slow engine must cover its own speed, and that of a fast one need not.
func TestExpectedPrefillTimeFollowsTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, members := learned([]float64{0.7, 0.7, 0.7, 7}, upstream.PhasePrefill)
		fast, slow := n.expectedPrefillTime(members[0], members, promptTokens), n.expectedPrefillTime(members[3], members, promptTokens)
		is.True(fast < 100*time.Millisecond)
		is.True(slow > 500*time.Millisecond)
		members[3].Begin(promptTokens)
		is.True(n.expectedPrefillTime(members[3], members, promptTokens) > 3*slow/2)
	})
}

// A slow decode engine prefills a prompt itself only if it saves time at its own speed.
func TestSlowDecodeEngineLeavesPromptsToPrefillEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, decodeEngines := learned([]float64{1, 1, 1, 6}, upstream.PhaseDecode)
		n.route = &ingress.Route{TargetLatency: 300 * time.Millisecond}
		n.poolState.estimates.recordPrefill(promptTokens, promptTokens*tokenTime)
		prefillEngine := &upstream.Member{Upstream: upstream.Upstream{ID: "p"}, History: &upstream.History{}}
		n.gateway.entries = func() int { return 1 }
		prefillEngine.Begin(4 * promptTokens)
		members := []*upstream.Member{prefillEngine}
		is.True(n.decodeEnginePrefillsSooner(prefillEngine, members, decodeEngines[0]))
		is.True(!n.decodeEnginePrefillsSooner(prefillEngine, members, decodeEngines[3]))
	})
}
