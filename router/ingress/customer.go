package ingress

import (
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
