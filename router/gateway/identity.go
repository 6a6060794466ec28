package gateway

import (
	"time"

	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/revocation"
)

const (
	// keysOutdatedRetryAfter is the retry delay for callers with a key while keys are not trusted. Most other entries still
	// trust them, so it is short.
	keysOutdatedRetryAfter = 500 * time.Millisecond
	// maxUnknownKeyAge is the age of the knowledge of keys from which an unknown key is refused with a retry delay instead of
	// finally: the key may be newer. It is above the age in calm conditions, of a watch without changes and the next one.
	maxUnknownKeyAge = 6 * time.Second
	// loggedDigestBytes is the length of the prefix of a digest in logs, which distinguishes keys.
	loggedDigestBytes = 8
)

type (
	// KeyCheck returns whether the keys of customers are trusted now.
	KeyCheck func() revocation.Verdict
)

// WithKeyCheck sets the function that decides for each request whether the keys in force are trusted. By default they are.
func WithKeyCheck(check KeyCheck) Option {
	return func(g *Gateway) { g.checkKeys = check }
}

// admissionTable returns the table by which a request is judged, and whether its keys are trusted. Nil means that there is
// no configuration yet. The verdict is that of the time after the table was read, and the table is still in force after
// the verdict: a process that is suspended in between neither uses an old table with a new verdict nor the reverse.
func (g *Gateway) admissionTable() (*ingress.Table, revocation.Verdict) {
	for {
		table := g.rules.Current()
		if table == nil || !table.HasCustomers() {
			return table, revocation.Trusted{}
		}
		verdict := g.checkKeys()
		if table == g.rules.Current() {
			return table, verdict
		}
	}
}

// authenticate returns the customer of a request, nil if there is none and the route needs none, or a refusal.
func (g *Gateway) authenticate(r *Request, table *ingress.Table, route *ingress.Route, verdict revocation.Verdict, random *randomness) (*ingress.Customer, *refusal.Refusal) {
	if !table.HasCustomers() || route.Public && !r.HasKey {
		return nil, nil
	}
	age := time.Duration(0)
	switch v := verdict.(type) {
	case revocation.Outdated:
		return nil, refusal.New(refusal.RanNo, refusal.KeysOutdated, random.spread(keysOutdatedRetryAfter),
			"keys may have been revoked since this entry last knew of all of them, %v ago", v.Age.Round(time.Millisecond))
	case revocation.Trusted:
		age = v.Age
	}
	if r.HasKey {
		if c := table.Customer(r.KeyDigest); c != nil {
			return c, nil
		}
	}
	switch {
	case route.Public:
		return nil, nil
	case !r.HasKey:
		return nil, refusal.New(refusal.RanNo, refusal.Unauthenticated, 0, "no key")
	case age > maxUnknownKeyAge:
		return nil, refusal.New(refusal.RanNo, refusal.KeysOutdated, random.spread(keysOutdatedRetryAfter),
			"unknown key, which may be newer than the keys of this entry, %v old", age.Round(time.Millisecond))
	}
	return nil, refusal.New(refusal.RanNo, refusal.Unauthenticated, 0, "unknown key")
}

// identity returns what upstreams receive about the customer.
func (ar *activeRequest) identity() Identity {
	i := Identity{InForce: ar.table.HasCustomers()}
	if ar.customer != nil {
		i.Customer = ar.customer.Name
	}
	return i
}

// rank returns the place of the request in the order of priorities.
func (ar *activeRequest) rank() int {
	return ar.table.Rank(ar.customer, ar.route)
}
