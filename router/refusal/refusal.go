// Package refusal describes why a request was not answered and whether it ran.
package refusal

import (
	"fmt"
	"time"
)

const (
	// RanNo means that no upstream ran the request, and that none will run this try later.
	RanNo Ran = 1
	// RanUnknown means that it is not known whether the request ran.
	RanUnknown Ran = 2
	// RanYes means that the request ran.
	RanYes Ran = 3

	// Malformed means that the request can't be parsed, is too large or lacks a field.
	Malformed Reason = 1
	// UnknownPartner means that the credential is missing or unknown.
	UnknownPartner Reason = 2
	// UnknownRule means that no rule of the partner covers the model or service.
	UnknownRule Reason = 3
	// Overloaded means that the request would miss its latency targets.
	Overloaded Reason = 4
	// PartnerShare means that the partner exceeds its share while the system is loaded.
	PartnerShare Reason = 5
	// Quarantined means that the content is quarantined because it crashed upstreams.
	Quarantined Reason = 6
	// AlreadyAnswered means that the key's complete answer was delivered.
	AlreadyAnswered Reason = 7
	// Superseded means that a newer connection of the same key replaced this one.
	Superseded Reason = 8
	// UpstreamLost means that the upstream crashed or became unresponsive.
	UpstreamLost Reason = 9
	// Deadline means that the deadline can no longer be met.
	Deadline Reason = 10
	// Leaving means that the upstream or entry is leaving the fleet and takes no new work.
	Leaving Reason = 11
	// KeyMissing means that a call which must not be repeated lacks a UUIDv7 idempotency key.
	KeyMissing Reason = 12
	// KeyTooOld means that the key was created before the horizon.
	KeyTooOld Reason = 13
	// KeyInFuture means that the key's creation time lies in the future.
	KeyInFuture Reason = 14
	// KeyReused means that the key was used before for other content.
	KeyReused Reason = 15
	// HomeUnsettled means that an earlier home of the key may still run it.
	HomeUnsettled Reason = 16
	// HomeUnreachable means that the key's home can't be reached.
	HomeUnreachable Reason = 17
	// TableFull means that the table of records is full.
	TableFull Reason = 18
	// Cancelled means that the caller cancelled the request or disconnected.
	Cancelled Reason = 19
	// NoConfiguration means that the process has no configuration yet.
	NoConfiguration Reason = 20
	// NoUpstream means that the pool has no usable member.
	NoUpstream Reason = 21
	// Tombstoned means that the key was abandoned and a tombstone keeps it from ever running.
	Tombstoned Reason = 22
	// InProgress means that the key is running now.
	InProgress Reason = 23
	// StaleAttempt means that a newer attempt replaced this one, or that its reservation has expired.
	StaleAttempt Reason = 24
	// KVLost means that the KV cache expired or could not be transferred.
	KVLost Reason = 25
	// WrongRole means that the upstream does not serve this role or model.
	WrongRole Reason = 26
	// KeeperLost means that the entry that kept the request crashed or can't be reached.
	KeeperLost Reason = 27
	// Unauthenticated means that a customer's key is missing or unknown.
	Unauthenticated Reason = 28
	// QuotaExceeded means that the customer's quota is used up.
	QuotaExceeded Reason = 29
	// KeysOutdated means that the entry does not know which keys of customers have been revoked or added lately.
	KeysOutdated Reason = 30
)

type (
	// Ran is what is known of whether an upstream ran a request. Its numbers are those of the
	// caller's protocol.
	Ran int

	// Reason is why a request was refused. Its numbers are those of the caller's protocol.
	Reason int

	// Refusal is the result of a request that was not answered.
	Refusal struct {
		Ran    Ran
		Reason Reason
		// RetryAfter is the time after which the caller may retry. Zero means that it must not retry.
		RetryAfter time.Duration
		// Message explains the refusal. It is sent to the caller.
		Message string
	}
)

// New returns a refusal whose message is formatted like fmt.Sprintf.
func New(ran Ran, reason Reason, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Ran: ran, Reason: reason, RetryAfter: retryAfter, Message: fmt.Sprintf(format, args...)}
}

// AtLeast returns a copy of the refusal with Ran raised to ran if it is lower. The order is RanNo,
// RanUnknown, RanYes.
func (r *Refusal) AtLeast(ran Ran) *Refusal {
	stronger := *r
	stronger.Ran = max(r.Ran, ran)
	return &stronger
}

// String returns the refusal in one line, for logs.
func (r *Refusal) String() string {
	return fmt.Sprintf("reason=%d ran=%d retry_after=%s: %s", r.Reason, r.Ran, r.RetryAfter, r.Message)
}
