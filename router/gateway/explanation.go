package gateway

import (
	"time"

	"gooseberrypin.example/router/refusal"
)

const (
	// Limited is the state of an upstream whose stated limit leaves no request to this entry.
	Limited = "limited"
	// AtPaceLimit is the state of an upstream with as much work in flight as this entry may have there.
	AtPaceLimit = "at_pace_limit"

	// ByLoad means that the upstream with the least work of this entry is chosen.
	ByLoad = "load"
	// BySpeed means that engines are drawn with weights of their learned speeds.
	BySpeed = "speed"
)

type (
	// Explanation is what would happen to a request that arrived now, as far as the entry knows.
	Explanation struct {
		// Version is that of the configuration, or 0 if the entry has none.
		Version  int64  `json:"version"`
		Route    string `json:"route"`
		Kind     string `json:"kind"`
		Priority int    `json:"priority"`
		// Rank is the place in the order of the customer's priority and then the route's; 0 is the most urgent.
		Rank int `json:"rank"`
		// CustomersInForce reports whether requests need a customer's key.
		CustomersInForce bool              `json:"customers_in_force"`
		Customer         string            `json:"customer"`
		Quota            *QuotaState       `json:"quota,omitempty"`
		Content          *ContentState     `json:"content,omitempty"`
		Pools            []PoolExplanation `json:"pools"`
		// Refusal is nil if the request would be sent, as far as the entry knows.
		Refusal *ExpectedRefusal `json:"refusal"`
	}

	// QuotaState is the quota of the customer, as this entry knows it.
	QuotaState struct {
		Unit string `json:"unit"`
		// Amount is what the request counts as.
		Amount float64 `json:"amount"`
		// PerSecond is 0 if there is no limit.
		PerSecond float64 `json:"per_second"`
		Burst     float64 `json:"burst"`
		// Held is what this entry may grant without asking, and OwnPart whether it is its own part of the quota.
		Held    float64 `json:"held"`
		OwnPart bool    `json:"own_part"`
		// Asks reports whether the request would wait for the entry that divides the quota. Allowed is then an estimate.
		Asks    bool `json:"asks"`
		Allowed bool `json:"allowed"`
	}

	// ContentState is whether the content of the request, or a part of its prompt, is kept from upstreams.
	ContentState struct {
		// Verdict is "free", "suspected" or "quarantined", and Content the name of what decides it.
		Verdict     string `json:"verdict"`
		Content     string `json:"content,omitempty"`
		RemainingMS int64  `json:"remaining_ms,omitempty"`
	}

	// PoolExplanation is what would happen in a pool of the route.
	PoolExplanation struct {
		Pool string `json:"pool"`
		// Chance is the chance with which the pool is drawn.
		Chance float64 `json:"chance"`
		// Phases are in the order in which upstreams are chosen.
		Phases []PhaseExplanation `json:"phases"`
		Memory *MemoryState       `json:"memory,omitempty"`
		// WaitsMS is the longest time for which the request would wait until an upstream is below its pace limit.
		WaitsMS int64            `json:"waits_ms"`
		Refusal *ExpectedRefusal `json:"refusal"`
	}

	// PhaseExplanation is the choice of an upstream for one phase; the phase of plain services is "none".
	PhaseExplanation struct {
		Phase string `json:"phase"`
		// By is how the upstream is chosen: ByLoad or BySpeed.
		By string `json:"by"`
		// Chosen is the only candidate with a weight; empty if there are several or none.
		Chosen string `json:"chosen,omitempty"`
		// Skipped is why the phase is left out; empty if it is not.
		Skipped    string           `json:"skipped,omitempty"`
		Candidates []CandidateState `json:"candidates"`
	}

	// CandidateState is an upstream as the request would find it.
	CandidateState struct {
		Upstream   string `json:"upstream"`
		DataCentre string `json:"data_centre"`
		// State is a condition of package upstream, Limited or AtPaceLimit, and Until its end if that is known.
		State string     `json:"state"`
		Until *time.Time `json:"until,omitempty"`
		// Weight is the weight among all candidates, which add up to 1; 0 if the upstream would not be chosen.
		Weight float64 `json:"weight"`
		// Obstacle is why an engine is not asked for decode memory now.
		Obstacle      string     `json:"obstacle,omitempty"`
		ObstacleUntil *time.Time `json:"obstacle_until,omitempty"`
		// InFlight and Tokens are the work of this entry in flight.
		InFlight int `json:"in_flight"`
		Tokens   int `json:"tokens"`
		// PerTokenUS is the learned time per token, and SpeedAgeMS the age of the newest sample; both 0 without samples.
		PerTokenUS float64 `json:"per_token_us"`
		SpeedAgeMS int64   `json:"speed_age_ms"`
		// PaceLimit is the limit on the work in flight of all entries, and PaceShare how much this entry may have in flight
		// now; both 0 if it is not limited.
		PaceLimit float64 `json:"pace_limit"`
		PaceShare float64 `json:"pace_share"`
		// AsksOwner reports whether the entry would ask the owner of the upstream's stated limit before it sends the request.
		AsksOwner bool `json:"asks_owner"`
	}

	// MemoryState is the queue for decode memory, as the request would find it.
	MemoryState struct {
		// Tokens is the memory to reserve.
		Tokens int `json:"tokens"`
		// Waiting is the number of waiters, and Ahead that of those that come before the request.
		Waiting int `json:"waiting"`
		Ahead   int `json:"ahead"`
		// AsksNow reports whether an engine would be asked at once. Otherwise ExpectedWaitMS is the predicted wait, 0 if
		// nothing is known of it.
		AsksNow        bool  `json:"asks_now"`
		ExpectedWaitMS int64 `json:"expected_wait_ms"`
		// MaxWaitMS is the time after which the request would be refused if no engine grants memory.
		MaxWaitMS int64 `json:"max_wait_ms"`
		// WithinShare is the chance with which the request counts as within its customer's fair share.
		WithinShare float64 `json:"within_share"`
		// Denial is why the request would be refused at once.
		Denial string `json:"denial,omitempty"`
	}

	// ExpectedRefusal is how a request would be refused. It would not have run.
	ExpectedRefusal struct {
		Reason string `json:"reason"`
		// Status is the HTTP status of the response, which SetStatus sets.
		Status int `json:"status"`
		// RetryAfterMS and MaxRetryAfterMS bound the retry delay, which is spread over the callers; 0 if there is none.
		RetryAfterMS    int64  `json:"retry_after_ms"`
		MaxRetryAfterMS int64  `json:"max_retry_after_ms"`
		Why             string `json:"why"`

		refusal *refusal.Refusal
	}
)

// SetStatus sets the HTTP status of each expected refusal to what status returns.
func (e *Explanation) SetStatus(status func(*refusal.Refusal) int) {
	set := func(r *ExpectedRefusal) {
		if r != nil {
			r.Status = status(r.refusal)
		}
	}
	set(e.Refusal)
	for _, p := range e.Pools {
		set(p.Refusal)
	}
}
