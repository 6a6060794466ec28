package ingress_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/ingress"
)

func route(name, host, prefix string) ingress.Route {
	return ingress.Route{
		Name: name, Host: host, Prefix: prefix, Kind: ingress.Idempotent{}, Timeout: time.Second, MaxAttempts: 1,
		Shares: []ingress.Share{{Pool: "desk", Weight: 1}},
	}
}

func configuration(version int64, routes ...ingress.Route) *ingress.Configuration {
	return &ingress.Configuration{Version: version, Routes: routes, Pools: map[string]ingress.Pool{"desk": {Name: "desk"}}}
}

func ExampleTable_Match() {
	t := ingress.NewTable(configuration(1, route("all", "a.example", "/"), route("care", "a.example", "/care/")))
	fmt.Println(t.Match("a.example", "/care/1").Name, t.Match("A.example:80", "/x").Name, t.Match("b.example", "/x"))
	// Output: care all <nil>
}

func TestMatch(t *testing.T) {
	table := ingress.NewTable(configuration(1,
		route("root", "a.example", "/"), route("one", "a.example", "/one/"), route("two", "a.example", "/one/two/"),
		route("other", "b.example", "/one/")))
	tests := map[string]struct{ host, path, want string }{
		"longest prefix":          {"a.example", "/one/two/3", "two"},
		"a prefix ends a segment": {"a.example", "/one/twofold", "one"},
		"without its slash":       {"a.example", "/one", "root"},
		"other host":              {"b.example", "/one/x", "other"},
		"no route of the host":    {"b.example", "/", ""},
		"unknown host":            {"c.example", "/one/", ""},
		"a port is ignored":       {"b.example:8080", "/one/", "other"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := ""
			if r := table.Match(tt.host, tt.path); r != nil {
				got = r.Name
			}
			is.Equal(got, tt.want)
		})
	}
}

func TestVersionsOnlyIncrease(t *testing.T) {
	is := is.New(t)
	var s ingress.Store
	is.True(s.Current() == nil)
	is.True(s.Put(configuration(7)))
	is.True(!s.Put(configuration(7)))
	is.True(!s.Put(configuration(3)))
	is.True(s.Put(configuration(12)))
	is.Equal(s.Current().Configuration.Version, int64(12))
}

func TestPickFollowsWeights(t *testing.T) {
	is := is.New(t)
	r := route("split", "a", "/")
	r.Shares = []ingress.Share{{Pool: "x", Weight: 90}, {Pool: "y", Weight: 10}, {Pool: "none", Weight: 0}}
	random := rand.New(rand.NewPCG(1, 2))
	drawn := map[string]int{}
	for range 10_000 {
		drawn[r.Pick(random)]++
	}
	is.Equal(drawn["none"], 0)
	is.True(drawn["x"] > 8_800 && drawn["x"] < 9_200)
}

func TestCheckNamesTheFault(t *testing.T) {
	tests := map[string]struct {
		change func(*ingress.Route)
		want   string
	}{
		"prefix":       {func(r *ingress.Route) { r.Prefix = "/a" }, `route "r": prefix "/a" does not begin and end with a slash`},
		"kind":         {func(r *ingress.Route) { r.Kind = nil }, `route "r": kind is missing`},
		"timeout":      {func(r *ingress.Route) { r.Timeout = 0 }, `route "r": timeout 0s is not positive`},
		"attempts":     {func(r *ingress.Route) { r.MaxAttempts = 0 }, `route "r": max attempts 0 is below 1`},
		"no pool":      {func(r *ingress.Route) { r.Shares = nil }, `route "r": no pool`},
		"no weight":    {func(r *ingress.Route) { r.Shares[0].Weight = 0 }, `route "r": all weights are 0`},
		"unknown pool": {func(r *ingress.Route) { r.Shares[0].Pool = "x" }, `route "r": pool "x" is not declared`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := route("r", "a", "/")
			tt.change(&r)
			is.Equal(configuration(1, r).Check().Error(), tt.want)
		})
	}
}
