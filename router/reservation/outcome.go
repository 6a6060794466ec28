package reservation

import (
	"time"
)

const (
	// NotDenied is the denial of a grant, and of a waiter whose context ended.
	NotDenied Denial = ""
	// Expired means that the waiter waited for too long.
	Expired Denial = "expired"
	// PredictedLate means that a new waiter was predicted to get no memory in time.
	PredictedLate Denial = "predicted_late"
	// Outranked means that a waiter was predicted to get no memory in time after others of a higher standing.
	Outranked Denial = "outranked"
)

type (
	// Denial is why a waiter got no memory, as it is logged.
	Denial string

	// Outcome is the result of a reservation attempt: Reserved, Full, Limited or Failed.
	//
	//sumtype:decl
	Outcome interface{ outcome() }

	// Reserved is the outcome when the engine holds the memory under an ID.
	Reserved struct{ ID string }

	// Full is the outcome when the engine does not have that much free memory.
	Full struct{}

	// Limited is the outcome when the engine takes no more requests for a time.
	Limited struct{ RetryAfter time.Duration }

	// Failed is the outcome when the engine does not answer, or another incarnation answers at its address.
	Failed struct{ Err error }
)

func (Reserved) outcome() {}
func (Full) outcome()     {}
func (Limited) outcome()  {}
func (Failed) outcome()   {}
