package quota

import "time"

const (
	// burstPart and debtPart are the parts of what the bounds allow beyond the quota, without transitionTime, that enlarge
	// the saved-up burst, and that entries may spend before they are granted it. The rest is for partitions.
	burstPart = 0.45
	debtPart  = 0.3
	// transitionTime is the time for which entries that change their owner may be granted a rate twice.
	transitionTime = time.Second
	// minCapacity is the amount that may accumulate unused at least: with less than a unit, no request is ever granted.
	minCapacity = 1
)

type (
	// CustomerLimit is the quota of a customer over all entries together, in the customer's unit.
	CustomerLimit struct {
		Name string
		// PerSecond is the rate; 0 stands for no limit.
		PerSecond float64
		// Burst is the amount that may accumulate unused.
		Burst float64
	}

	// CustomerLimits are the quotas of one version of the configuration. Version is 0 without a configuration.
	CustomerLimits struct {
		Version int64
		Limits  []CustomerLimit
	}

	// CustomerBounds bound what all entries together may send for a customer in any window: Overage times as much beyond
	// the quota as the quota itself, and Slack.
	CustomerBounds struct {
		Window  time.Duration
		Overage float64
		Slack   float64
	}

	// CustomerLoad is the load of a customer at all entries together, in its unit a second.
	CustomerLoad struct {
		Name string
		// Demand is what callers ask for, refused requests included.
		Demand float64
		// Granted is what was granted to requests.
		Granted float64
	}

	// CustomerState is what an entry has of a customer's quota, for the state dump. Rates are in units a second.
	CustomerState struct {
		Name      string  `json:"name"`
		PerSecond float64 `json:"per_second"`
		Burst     float64 `json:"burst"`
		// Held is what this entry may still grant without asking.
		Held float64 `json:"held"`
		// Granted and Demand are what requests got and asked for at this entry.
		Granted float64 `json:"granted"`
		Demand  float64 `json:"demand"`
		// FleetGranted and FleetDemand are the same at all entries, and FleetRemaining what all of them may spend now.
		FleetGranted   float64 `json:"fleet_granted"`
		FleetDemand    float64 `json:"fleet_demand"`
		FleetRemaining float64 `json:"fleet_remaining"`
		// Allocator is the entry that divides the quota; empty while this entry uses its own part.
		Allocator string `json:"allocator"`
	}

	// CustomerReport is the report of an entry to the allocator of the fleet.
	CustomerReport struct {
		// Entry is the address of the entry, and Process identifies its process.
		Entry   string
		Process int64
		// Number increases with each report of the process. Applied is the number of the last one whose answer it applied.
		Number  int64
		Applied int64
		// Allocator identifies the process whose grants the entry holds; 0 for none.
		Allocator int64
		// Early is whether requests wait for the answer.
		Early     bool
		Customers []CustomerUse
	}

	// CustomerUse is what one entry holds and needs of a customer's quota.
	CustomerUse struct {
		Name string
		// Held is the amount that the entry may still grant; negative after requests that exceeded it.
		Held float64
		// Returned is the amount that the entry gives back with this report.
		Returned float64
		// Want is the amount that waiting requests need in total.
		Want float64
		// Demand and Granted are what callers asked for and got at this entry, in units a second.
		Demand  float64
		Granted float64
	}

	// CustomerAnswer is the allocator's answer to a report.
	CustomerAnswer struct {
		// Allocator identifies the process that answers.
		Allocator int64
		// Interval is the time until the next report, and EarlyGap the least time until one for which requests wait.
		Interval  time.Duration
		EarlyGap  time.Duration
		Customers []CustomerShare
		// Others are the loads of customers that the report does not name, at most maxOthers.
		Others []CustomerLoad
	}

	// CustomerShare is what the allocator answers about one customer.
	CustomerShare struct {
		Name string
		// Grant is the amount that the entry may grant in addition.
		Grant float64
		// Target is the amount that the entry should hold. It gives back more than that.
		Target float64
		// Debt is the amount by which the entry may exceed what it holds.
		Debt float64
		// PerSecond is the rate at which the entry may expect further grants.
		PerSecond float64
		// Short is whether the quota had less left than the entry needs.
		Short bool
		// Available is what all entries together may spend now.
		Available float64
		// Demand and Granted are the sums over all entries, in units a second.
		Demand  float64
		Granted float64
	}

	// division is how the bound of a customer is divided over its uses. All entries together spend at most
	// perSecond x window + capacity + debt in a window.
	division struct {
		perSecond float64
		// capacity is the largest amount that may be unspent, held by entries or not granted yet.
		capacity float64
		// debt is the amount by which all entries together may exceed what they hold.
		debt float64
		// partition scales the part that an allocator grants when some of the entries don't report to it.
		partition float64
	}
)

// Allowed returns the largest amount that all entries together may send for a customer in any window.
func (b CustomerBounds) Allowed(l CustomerLimit) float64 {
	return (l.PerSecond*b.Window.Seconds()+l.Burst)*(1+b.Overage) + b.Slack
}

// divide divides the bound of a customer.
func (b CustomerBounds) divide(l CustomerLimit) division {
	allowed, inWindow, reserved := b.Allowed(l), l.PerSecond*b.Window.Seconds(), l.PerSecond*transitionTime.Seconds()
	beyond := max(0, allowed-inWindow-l.Burst-reserved)
	d := division{
		perSecond: l.PerSecond,
		capacity:  max(l.Burst+burstPart*beyond, minCapacity),
		debt:      debtPart * beyond,
	}
	d.partition = min(partitionFactor, max(1, (allowed-reserved)/(inWindow+d.capacity+d.debt)))
	return d
}
