package reservation

import (
	"time"
)

type (
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
