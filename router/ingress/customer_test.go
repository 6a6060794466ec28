package ingress_test

import (
	"cmp"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gooseberrypin.example/router/access"
	"gooseberrypin.example/router/ingress"
)

// customer returns a customer with the digests of its keys.
func customer(name string, keys ...string) ingress.Customer {
	c := ingress.Customer{Name: name}
	for _, key := range keys {
		c.Keys = append(c.Keys, access.NewDigest(key))
	}
	return c
}

func TestCustomerOfAKey(t *testing.T) {
	is := is.New(t)
	c := configuration(1, route("all", "a", "/"))
	is.True(!ingress.NewTable(c).HasCustomers())
	c.Customers = []ingress.Customer{customer("line", "k1", "k2", "k1"), customer("mesh", "k3"), customer("none")}
	is.NoErr(c.Check())
	table := ingress.NewTable(c)
	is.True(table.HasCustomers())
	for key, want := range map[string]string{"k1": "line", "k2": "line", "k3": "mesh"} {
		is.Equal(table.Customer(access.NewDigest(key)).Name, want)
	}
	is.True(table.Customer(access.NewDigest("")) == nil)
	is.True(table.Customer(access.NewDigest("k4")) == nil)
}

// A key must never be readable in the errors, which are logged.
func TestCheckNamesTheCustomerAndNeverAKey(t *testing.T) {
	tests := map[string]struct {
		change func([]ingress.Customer) []ingress.Customer
		want   string
	}{
		"no name":          {func(c []ingress.Customer) []ingress.Customer { c[1].Name = ""; return c }, "customer 2 of 2 has no name"},
		"name twice":       {func(c []ingress.Customer) []ingress.Customer { c[1].Name = "line"; return c }, `customer "line" is declared twice`},
		"forged field":     {func(c []ingress.Customer) []ingress.Customer { c[1].Name = "a\r\nb: c"; return c }, `customer "a\r\nb: c": the name begins or ends with a space or has control characters`},
		"key of another":   {func(c []ingress.Customer) []ingress.Customer { c[1].Keys = c[0].Keys; return c }, `customers "line" and "mesh" have the same key`},
		"negative rate":    {func(c []ingress.Customer) []ingress.Customer { c[1].Quota.PerSecond = -1; return c }, `customer "mesh": rate -1 is negative`},
		"negative burst":   {func(c []ingress.Customer) []ingress.Customer { c[1].Quota.Burst = -2; return c }, `customer "mesh": burst -2 is negative`},
		"negative tokens":  {func(c []ingress.Customer) []ingress.Customer { c[1].Quota.PlainTokens = -3; return c }, `customer "mesh": -3 tokens of a request without a token count are negative`},
		"nothing is wrong": {func(c []ingress.Customer) []ingress.Customer { return c }, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := configuration(1, route("r", "a", "/"))
			c.Customers = tt.change([]ingress.Customer{customer("line", "secret1"), customer("mesh", "secret2")})
			text := ""
			if err := c.Check(); err != nil {
				text = err.Error()
			}
			is.Equal(text, tt.want)
			is.True(!strings.Contains(text, "secret") && !strings.Contains(text, access.NewDigest("secret1").String()))
		})
	}
}

// A customer's priority takes precedence over that of any route, and the priority that engines receive keeps the order. A
// request without a customer is not more urgent than one of a customer.
func TestRanksFollowCustomerThenRoute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := configuration(1)
		for n, p := range rapid.SliceOfN(rapid.IntRange(-2, 20), 1, 8).Draw(t, "routes") {
			r := route(fmt.Sprint("r", n), "a", "/")
			r.Kind, r.Priority = ingress.Streaming{}, p
			c.Routes = append(c.Routes, r)
		}
		for n, p := range rapid.SliceOfN(rapid.IntRange(-2, 20), 1, 8).Draw(t, "customers") {
			c.Customers = append(c.Customers, ingress.Customer{Name: fmt.Sprint("c", n), Priority: p})
		}
		table := ingress.NewTable(c)
		type standing struct{ customer, route, rank, engine int }
		var all []standing
		for _, r := range c.Routes {
			for _, customer := range c.Customers {
				rank := table.Rank(&customer, &r)
				all = append(all, standing{customer.Priority, r.Priority, rank, table.EnginePriority(rank)})
			}
			rank := table.Rank(nil, &r)
			all = append(all, standing{math.MaxInt, r.Priority, rank, table.EnginePriority(rank)})
		}
		customerPriorities, routePriorities := make(map[int]bool), make(map[int]bool)
		for _, customer := range c.Customers {
			customerPriorities[customer.Priority] = true
		}
		for _, r := range c.Routes {
			routePriorities[r.Priority] = true
		}
		for _, a := range all {
			if a.engine < 0 || a.engine > 9 {
				t.Fatalf("engine priority %d", a.engine)
			}
			for _, b := range all {
				order := cmp.Or(cmp.Compare(a.customer, b.customer), cmp.Compare(a.route, b.route))
				anonymous := a.customer == math.MaxInt || b.customer == math.MaxInt
				got := cmp.Compare(a.rank, b.rank)
				if !anonymous && got != order || anonymous && a.route == b.route && got == -order && order != 0 {
					t.Fatalf("%+v and %+v", a, b)
				}
				engines := cmp.Compare(a.engine, b.engine)
				if engines != got && (engines != 0 || len(customerPriorities)*len(routePriorities) <= 10) {
					t.Fatalf("engines do not keep the order of %+v and %+v", a, b)
				}
			}
		}
	})
}

// Without customers, the priority is that of the route, as in deployments before customers.
func TestRankWithoutCustomersIsThatOfTheRoute(t *testing.T) {
	is := is.New(t)
	r := route("r", "a", "/")
	r.Kind = ingress.Streaming{}
	for priority, engine := range map[int]int{0: 0, 2: 2, 9: 9, 12: 9, -1: 0} {
		r.Priority = priority
		table := ingress.NewTable(configuration(1, r))
		is.Equal(table.Rank(nil, &r), priority)
		is.Equal(table.EnginePriority(priority), engine)
	}
}

// The cost of a look-up must not grow with the number of keys: a configuration may have thousands.
func TestLookupCostsTheSameWithTenThousandKeys(t *testing.T) {
	is := is.New(t)
	table := func(keys int) (*ingress.Table, access.Digest) {
		c := configuration(1, route("r", "a", "/"))
		for n := range 16 {
			list := customer(fmt.Sprint("c", n))
			for k := range keys / 16 {
				list.Keys = append(list.Keys, access.NewDigest(fmt.Sprint(n, "/", k)))
			}
			c.Customers = append(c.Customers, list)
		}
		is.NoErr(c.Check())
		return ingress.NewTable(c), access.NewDigest(fmt.Sprint(15, "/", keys/16-1))
	}
	cost := func(table *ingress.Table, last access.Digest) time.Duration {
		const lookups = 20_000
		best := time.Hour
		for range 5 {
			began := time.Now()
			for range lookups {
				is.True(table.Customer(last) != nil)
			}
			best = min(best, time.Since(began)/lookups)
		}
		return best
	}
	few, many := cost(table(16)), cost(table(10_000))
	t.Logf("%v with 16 keys, %v with 10,000", few, many)
	is.True(many < 20*few+time.Microsecond) // a search through all keys takes some 600 times as long
}
