// Package wire converts between the domain's values and the messages of the protocols.
package wire

import (
	"time"

	callerv1 "gooseberrypin.example/gen/caller/v1"
	"gooseberrypin.example/router/refusal"
)

// FromRefusal returns the message of a refusal; nil stays nil.
func FromRefusal(r *refusal.Refusal) *callerv1.Refusal {
	if r == nil {
		return nil
	}
	return &callerv1.Refusal{
		Ran:          callerv1.Ran(r.Ran),
		Reason:       callerv1.Reason(r.Reason),
		RetryAfterMs: r.RetryAfter.Milliseconds(),
		Message:      r.Message,
	}
}

// ToRefusal returns the refusal of a message; nil stays nil.
func ToRefusal(m *callerv1.Refusal) *refusal.Refusal {
	if m == nil {
		return nil
	}
	return &refusal.Refusal{
		Ran:        refusal.Ran(m.GetRan()),
		Reason:     refusal.Reason(m.GetReason()),
		RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
		Message:    m.GetMessage(),
	}
}
