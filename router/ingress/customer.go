package ingress

import (
	"strings"
	"unicode"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/access"
)

const (
	// UnitRequests counts each request as 1.
	UnitRequests QuotaUnit = iota
	// UnitTokens counts a request as its prompt and maximum output tokens.
	UnitTokens
)

type (
	// QuotaUnit is what a customer's quota counts.
	QuotaUnit int

	// CustomerQuota limits the requests of a customer at all entries together.
	CustomerQuota struct {
		Unit QuotaUnit
		// PerSecond is the rate in units a second; 0 means no limit.
		PerSecond float64
		// Burst is the number of units beyond the rate that may be used at once.
		Burst float64
		// PlainTokens is what a request without a token count counts as if the unit is UnitTokens.
		PlainTokens int
	}

	// Customer is a customer whose requests carry one of its keys.
	Customer struct {
		Name string
		// Priority takes precedence over that of the route. 0 is the most urgent.
		Priority int
		Quota    CustomerQuota
		// Keys are the digests of the customer's keys. The keys themselves are not kept.
		Keys []access.Digest
	}
)

// String returns the name of the unit in the configuration, logs and metrics.
func (u QuotaUnit) String() string {
	switch u {
	case UnitRequests:
		return "requests"
	case UnitTokens:
		return "tokens"
	}
	return "unknown"
}

// checkCustomers returns an error for the first fault in a list of customers, or nil. It names customers and never their
// keys.
func checkCustomers(customers []Customer) error {
	names, owners := make(map[string]bool), make(map[access.Digest]string)
	for n, c := range customers {
		if c.Name == "" {
			return eris.Errorf("customer %d of %d has no name", n+1, len(customers))
		}
		if names[c.Name] {
			return eris.Errorf("customer %q is declared twice", c.Name)
		}
		names[c.Name] = true
		if err := c.check(); err != nil {
			return eris.Wrapf(err, "customer %q", c.Name)
		}
		for _, key := range c.Keys {
			if owner, found := owners[key]; found && owner != c.Name {
				return eris.Errorf("customers %q and %q have the same key", owner, c.Name)
			}
			owners[key] = c.Name
		}
	}
	return nil
}

func (c *Customer) check() error {
	q := c.Quota
	switch {
	case strings.TrimSpace(c.Name) != c.Name || strings.ContainsFunc(c.Name, unicode.IsControl):
		// The name is sent in a header field.
		return eris.New("the name begins or ends with a space or has control characters")
	case q.PerSecond < 0:
		return eris.Errorf("rate %v is negative", q.PerSecond)
	case q.Burst < 0:
		return eris.Errorf("burst %v is negative", q.Burst)
	case q.PlainTokens < 0:
		return eris.Errorf("%d tokens of a request without a token count are negative", q.PlainTokens)
	}
	return nil
}
