package formation_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/formation"
	"gooseberrypin.example/router/upstream"
)

type (
	// orders records the orders to switch, and returns err for each.
	orders struct {
		switched []string
		err      error
	}
)

func (o *orders) SwitchPhase(_ context.Context, m *upstream.Member, to upstream.Phase) error {
	o.switched = append(o.switched, m.ID+" "+to.String())
	return o.err
}

func engine(id, dataCentre string, phase upstream.Phase) upstream.Upstream {
	return upstream.Upstream{ID: id, Pool: "chat", DataCentre: dataCentre, Address: id, Phase: phase}
}

func members(engines ...upstream.Upstream) []*upstream.Member {
	var list []*upstream.Member
	for _, e := range engines {
		list = append(list, &upstream.Member{Upstream: e, History: &upstream.History{}})
	}
	return list
}

func TestSurplus(t *testing.T) {
	p := func(id, dataCentre string) upstream.Upstream { return engine(id, dataCentre, upstream.PhasePrefill) }
	tests := map[string]struct {
		prefill []upstream.Upstream
		decode  int
		share   float64
		want    string
	}{
		"surplus in several data centres": {[]upstream.Upstream{p("a", "x"), p("b", "x"), p("c", "y"), p("d", "y"), p("e", "z")}, 4, 0.16, "b d"},
		"as many as needed":               {[]upstream.Upstream{p("a", "x"), p("b", "y"), p("c", "z")}, 6, 0.16, ""},
		"fewer than needed":               {[]upstream.Upstream{p("a", "x")}, 8, 0.16, ""},
		"one of two remains":              {[]upstream.Upstream{p("a", "x"), p("b", "y")}, 0, 0.1, "b"},
		"share of zero":                   {[]upstream.Upstream{p("a", "x"), p("b", "y")}, 0, 0, ""},
		"no prefill engine":               {nil, 3, 0.5, ""},
		"most in one data centre":         {[]upstream.Upstream{p("a", "x"), p("b", "x"), p("c", "x"), p("d", "y")}, 0, 0.16, "b c"},
		"all in one data centre":          {[]upstream.Upstream{p("b", "x"), p("a", "x"), p("c", "x")}, 0, 0.16, "c"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var got []string
			for _, m := range formation.Surplus(members(tt.prefill...), tt.decode, tt.share) {
				got = append(got, m.ID)
			}
			is.Equal(strings.Join(got, " "), tt.want)
		})
	}
}

// TestSurplusOfManyEngines checks that a large pool keeps a smaller fraction of its engines for prefill than
// a small one, by square-root staffing.
func TestSurplusOfManyEngines(t *testing.T) {
	tests := map[string]struct{ prefill, decode, keep int }{
		"9 engines":   {3, 6, 3},
		"18 engines":  {6, 12, 6},
		"53 engines":  {19, 34, 13},
		"160 engines": {56, 104, 33},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var prefill []upstream.Upstream
			for i := range tt.prefill {
				prefill = append(prefill, engine(fmt.Sprint("p", i), "x", upstream.PhasePrefill))
			}
			is.New(t).Equal(len(formation.Surplus(members(prefill...), tt.decode, 0.16)), tt.prefill-tt.keep)
		})
	}
}

// TestRun checks that engines switch once, after all have been published and before the first request.
func TestRun(t *testing.T) {
	tests := map[string]struct {
		// published is when each of the four prefill engines is published.
		published []time.Duration
		// served is when the first request is served.
		served time.Duration
		err    error
		// elected is when this process is elected to give orders.
		elected time.Duration
		// want is the number of orders to switch.
		want int
	}{
		"surplus":               {[]time.Duration{0, 0, 1100 * time.Millisecond, 1100 * time.Millisecond}, time.Hour, nil, 0, 2},
		"orders fail":           {[]time.Duration{0, 0, 1100 * time.Millisecond, 1100 * time.Millisecond}, time.Hour, errors.New("no answer"), 0, 3},
		"request served before": {[]time.Duration{0, 0, 1100 * time.Millisecond, 1100 * time.Millisecond}, 500 * time.Millisecond, nil, 0, 0},
		"engine published late": {[]time.Duration{0, 0, 1100 * time.Millisecond, 3100 * time.Millisecond}, time.Hour, nil, 0, 2},
		"large fleet":           {[]time.Duration{time.Second, 2 * time.Second, 3500 * time.Millisecond, 4400 * time.Millisecond}, time.Hour, nil, 0, 2},
		"late engines only":     {[]time.Duration{7200 * time.Millisecond, 7600 * time.Millisecond, 8 * time.Second, 8 * time.Second}, time.Hour, nil, 0, 0},
		"no engine":             {nil, time.Hour, nil, 0, 0},
		"elected later":         {[]time.Duration{0, 0, 0, 0}, time.Hour, nil, 3 * time.Second, 2},
		"another is elected":    {[]time.Duration{0, 0, 0, 0}, time.Hour, nil, time.Hour, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				began := time.Now()
				d, o := upstream.NewDirectory(), &orders{err: tt.err}
				for i, after := range tt.published {
					time.AfterFunc(after, func() { d.Put(engine(fmt.Sprint("p", i), "x", upstream.PhasePrefill)) })
				}
				idle := func() bool { return time.Since(began) < tt.served }
				coordinates := func(context.Context) bool { return time.Since(began) >= tt.elected }
				formation.NewRebalancer(d, 0, coordinates, o, 0.1, idle, event.Discard()).Run(t.Context())
				is.Equal(len(o.switched), tt.want)
				is.True(time.Since(began) <= 9*time.Second)
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// TestRunWaitsForNextDirectoryUpdate checks that no engine is switched when a starting fleet reaches the
// directory in two updates, of which the first alone has too many prefill engines.
func TestRunWaitsForNextDirectoryUpdate(t *testing.T) {
	const updateInterval = time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, o := upstream.NewDirectory(), &orders{}
		for i := range 4 {
			d.Put(engine(fmt.Sprint("p", i), "x", upstream.PhasePrefill))
			time.AfterFunc(updateInterval, func() { d.Put(engine(fmt.Sprint("d", i), "x", upstream.PhaseDecode)) })
		}
		coordinates := func(context.Context) bool { return true }
		formation.NewRebalancer(d, updateInterval, coordinates, o, 0.3, func() bool { return true }, event.Discard()).Run(t.Context())
		is.Equal(len(o.switched), 0)
	})
}
