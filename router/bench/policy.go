package bench

import (
	"gooseberrypin.example/router/decode"
	"gooseberrypin.example/router/prefill"
)

const (
	reserveAtHead reservationTime = iota
	reserveAtArrival
	reserveAfterPrefill
)

type (
	// reservationTime is the point in a request's execution at which decode memory is reserved.
	reservationTime int

	// Policy is one combination of strategies for admission control, scheduling and the choice of servers.
	Policy struct {
		Name    string
		reserve reservationTime
		prefill prefill.Strategy
		decode  decode.Strategy
		// naive serves requests in the order of arrival. It has no load shedding, no partner shares, no deduplication
		// of resent requests and no stream limits.
		naive bool
	}
)

// Policies returns the policies to compare.
func Policies() []Policy {
	best, mostFree := prefill.BestOfAll{}, decode.BestOfAll{}
	return []Policy{
		{Name: "naive", reserve: reserveAfterPrefill, prefill: prefill.RandomOne{}, decode: decode.RandomOne{}, naive: true},
		{Name: "gooseberrypin", prefill: best, decode: mostFree},
		{Name: "reserve_at_arrival", reserve: reserveAtArrival, prefill: best, decode: mostFree},
		{Name: "reserve_after_prefill", reserve: reserveAfterPrefill, prefill: best, decode: mostFree},
		{Name: "choose_random", prefill: prefill.RandomOne{}, decode: decode.RandomOne{}},
		{Name: "choose_two", prefill: prefill.RandomTwo{}, decode: decode.RandomTwo{}},
		{Name: "choose_hashed", prefill: prefill.Hashed{Count: 1}, decode: mostFree},
	}
}
