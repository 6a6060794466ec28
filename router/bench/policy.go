package bench

import (
	"gooseberrypin.example/router/decode"
	"gooseberrypin.example/router/prefill"
)

const (
	reserveAtHead reservePoint = iota
	reserveAtArrival
	reserveAfterPrefill
)

type (
	// reservePoint is when decode memory is reserved.
	reservePoint int

	// Policy is one way to decide.
	Policy struct {
		Name    string
		reserve reservePoint
		prefill prefill.Strategy
		decode  decode.Strategy
		// naive serves first come first served, without shedding, shares, joined resends or pace.
		naive bool
	}
)

// Policies returns the ways to decide that are compared.
func Policies() []Policy {
	best, roomiest := prefill.BestOfAll{}, decode.BestOfAll{}
	return []Policy{
		{Name: "naive", reserve: reserveAfterPrefill, prefill: prefill.RandomOne{}, decode: decode.RandomOne{}, naive: true},
		{Name: "gooseberrypin", prefill: best, decode: roomiest},
		{Name: "reserve_at_arrival", reserve: reserveAtArrival, prefill: best, decode: roomiest},
		{Name: "reserve_after_prefill", reserve: reserveAfterPrefill, prefill: best, decode: roomiest},
		{Name: "choose_random", prefill: prefill.RandomOne{}, decode: decode.RandomOne{}},
		{Name: "choose_two", prefill: prefill.RandomTwo{}, decode: decode.RandomTwo{}},
		{Name: "choose_hashed", prefill: prefill.Hashed{Count: 1}, decode: roomiest},
	}
}
