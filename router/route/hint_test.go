package route_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/label"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/request"
	"gooseberrypin.example/router/route"
	"gooseberrypin.example/router/vm"
)

// newHintStore returns a store with a configuration that serves models by one prefill engine and one decode engine, u1.
func newHintStore(t *testing.T, models ...string) *configuration.Store {
	c := &configuration.Configuration{
		Revision: 1,
		Upstreams: []configuration.Upstream{
			{Name: "u0", Kind: configuration.KindEngine, Labels: label.Labels{"role": "prefill"}},
			{Name: "u1", Kind: configuration.KindEngine, Labels: label.Labels{"role": "decode"}},
		},
		Pools: []configuration.Pool{
			{Name: "p", Role: configuration.RolePrefill, Selector: "role=prefill"},
			{Name: "d", Role: configuration.RoleDecode, Selector: "role=decode"},
		},
	}
	for _, model := range models {
		c.Rules = append(c.Rules, configuration.Rule{Name: "rule-" + model, Model: model, PrefillPool: "p", DecodePool: "d"})
	}
	index, err := configuration.NewIndex(c)
	is.New(t).NoErr(err)
	store := configuration.NewStore()
	store.Put(&configuration.Snapshot{Revision: 1, Index: index})
	return store
}

// TestExpiredHintsDoNotBlockUpstreams checks that a hint that blocks an upstream expires: without work, the
// upstream would send no newer one.
func TestExpiredHintsDoNotBlockUpstreams(t *testing.T) {
	full := port.Load{Upstream: "u1", TotalPieces: 64, RunningLimit: 8, Accepting: true}
	leaving := port.Load{Upstream: "u1", FreePieces: 64, TotalPieces: 64, RunningLimit: 8}
	tests := map[string]struct {
		load port.Load
		age  time.Duration
		want bool
	}{
		"not accepting, fresh":   {load: leaving, age: 100 * time.Millisecond},
		"not accepting, expired": {load: leaving, age: time.Second, want: true},
		"full, fresh":            {load: full, age: 100 * time.Millisecond},
		"full, expired":          {load: full, age: time.Second, want: true},
	}
	store := newHintStore(t, "m")
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := route.NewRouter(route.Self{Name: "entry"}, store, vm.NewTable(), rand.New(rand.NewPCG(1, 1)))
				r.Observe(test.load, time.Now())
				<-time.After(test.age)
				p, refused := r.Admit(&request.Generation{Model: "m", Prompt: "p"}, "p", nil, time.Now())
				if refused == nil {
					_, refused = p.DecodeTarget(t.Context(), false, nil)
				}
				is.New(t).Equal(refused == nil, test.want)
			})
		})
	}
}

// Each model's requests try an upstream again whose hint has expired, also while another model's requests do so all the time.
func TestHintExpiresForEachModel(t *testing.T) {
	store := newHintStore(t, "m", "n")
	synctest.Test(t, func(t *testing.T) {
		r := route.NewRouter(route.Self{Name: "entry"}, store, vm.NewTable(), rand.New(rand.NewPCG(1, 1)))
		assigned := func(model string) bool {
			p, refused := r.Admit(&request.Generation{Model: model, Prompt: "p"}, "p", nil, time.Now())
			if refused == nil {
				_, refused = p.DecodeTarget(t.Context(), false, nil)
			}
			return refused == nil
		}
		is := is.New(t)
		r.Observe(port.Load{Upstream: "u1", TotalPieces: 64, RunningLimit: 8, Accepting: true}, time.Now())
		time.Sleep(time.Second)
		is.True(assigned("m"))
		is.True(assigned("n"))
	})
}
