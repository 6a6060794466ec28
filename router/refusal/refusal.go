// Package refusal describes why a request was not answered and whether it ran.
package refusal

import (
	"fmt"
	"time"
)

const (
	// RanNo tells that no upstream ran the request, and none ever will for this try.
	RanNo Ran = 1
	// RanUnknown tells that nobody can say whether the request ran.
	RanUnknown Ran = 2
	// RanYes tells that the request ran.
	RanYes Ran = 3

	// Malformed refuses a request that can't be read, is too large or lacks a field.
	Malformed Reason = 1
	// UnknownPartner refuses a missing or unknown credential.
	UnknownPartner Reason = 2
	// UnknownRule refuses a model or service that no rule of the partner covers.
	UnknownRule Reason = 3
	// Overloaded refuses a request that would miss its targets.
	Overloaded Reason = 4
	// PartnerShare refuses a partner beyond its share under load.
	PartnerShare Reason = 5
	// Quarantined refuses content that crashed upstreams.
	Quarantined Reason = 6
	// AlreadyAnswered refuses a key whose whole answer was delivered.
	AlreadyAnswered Reason = 7
	// Superseded refuses a connection replaced by a newer one of the same key.
	Superseded Reason = 8
	// UpstreamLost refuses an upstream that died or went silent.
	UpstreamLost Reason = 9
	// Deadline refuses a deadline that can't be met any more.
	Deadline Reason = 10
	// Leaving refuses an upstream or entry that takes no new work.
	Leaving Reason = 11
	// KeyMissing refuses a call that may not be repeated without a UUIDv7 key.
	KeyMissing Reason = 12
	// KeyTooOld refuses a key created before the horizon.
	KeyTooOld Reason = 13
	// KeyInFuture refuses a key created in the future.
	KeyInFuture Reason = 14
	// KeyReused refuses a key used before for other content.
	KeyReused Reason = 15
	// HomeUnsettled refuses a key whose earlier home may still run it.
	HomeUnsettled Reason = 16
	// HomeUnreachable refuses a key whose home can't be asked.
	HomeUnreachable Reason = 17
	// TableFull refuses a full table of records.
	TableFull Reason = 18
	// Cancelled refuses a request that its caller cancelled.
	Cancelled Reason = 19
	// NoConfiguration refuses a process without a configuration.
	NoConfiguration Reason = 20
	// NoUpstream refuses a pool without a usable member.
	NoUpstream Reason = 21
	// Tombstoned refuses a key that was given up and never runs.
	Tombstoned Reason = 22
	// InProgress refuses a key that runs now.
	InProgress Reason = 23
	// StaleAttempt refuses an attempt that a newer one replaced.
	StaleAttempt Reason = 24
	// KVLost refuses a KV cache that expired or could not be transferred.
	KVLost Reason = 25
	// WrongRole refuses an upstream that does not serve this role or model.
	WrongRole Reason = 26
	// KeeperLost refuses a request whose entry was lost on the way.
	KeeperLost Reason = 27
)

type (
	// Ran tells whether a request was run by an upstream.
	Ran int

	// Reason names why a request was refused. Its numbers are those of the caller's protocol.
	Reason int

	// Refusal is the outcome of a request that was not answered.
	Refusal struct {
		Ran    Ran
		Reason Reason
		// RetryAfter is when the caller may come back. Zero: not at all.
		RetryAfter time.Duration
		Message    string
	}
)

// New returns a refusal.
func New(ran Ran, reason Reason, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Ran: ran, Reason: reason, RetryAfter: retryAfter, Message: fmt.Sprintf(format, args...)}
}

// AtLeast returns the refusal with a stronger claim on what ran, if there is one.
func (r *Refusal) AtLeast(ran Ran) *Refusal {
	stronger := *r
	stronger.Ran = max(r.Ran, ran)
	return &stronger
}

// String returns a short text for logs.
func (r *Refusal) String() string {
	return fmt.Sprintf("reason=%d ran=%d retry_after=%s: %s", r.Reason, r.Ran, r.RetryAfter, r.Message)
}
