// Package wire converts between domain values and protobuf messages.
package wire

import (
	"time"

	callerv1 "gooseberrypin.example/gen/caller/v1"
	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/quarantine"
	"gooseberrypin.example/router/refusal"
)

// FromRefusal returns the message of a refusal, or nil for nil.
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

// ToRefusal returns the refusal of a message, or nil for nil.
func ToRefusal(m *callerv1.Refusal) *refusal.Refusal {
	if m == nil {
		return nil
	}
	return &refusal.Refusal{
		Ran:        refusal.Ran(m.GetRan()),
		Reason:     refusal.Reason(m.GetReason()),
		RetryAfter: Milliseconds(m.GetRetryAfterMs()),
		Message:    m.GetMessage(),
	}
}

// FromAttempt returns the message of an attempt.
func FromAttempt(a port.Attempt) *fleetv1.Attempt {
	return &fleetv1.Attempt{KeyDigest: a.KeyDigest, Number: a.Number}
}

// ToAttempt returns the attempt of a message.
func ToAttempt(m *fleetv1.Attempt) port.Attempt {
	return port.Attempt{KeyDigest: m.GetKeyDigest(), Number: m.GetNumber()}
}

// FromLoad returns the message of a load report.
func FromLoad(l port.Load) *fleetv1.Load {
	return &fleetv1.Load{
		Upstream:     l.Upstream,
		QueueDelayMs: l.QueueDelay.Milliseconds(),
		FreePieces:   int32(l.FreePieces),
		TotalPieces:  int32(l.TotalPieces),
		Running:      int32(l.Running),
		RunningLimit: int32(l.RunningLimit),
		StepUs:       l.Step.Microseconds(),
		Accepting:    l.Accepting,
		AgeMs:        l.Age.Milliseconds(),
	}
}

// ToLoad returns the load report of a message.
func ToLoad(m *fleetv1.Load) port.Load {
	return port.Load{
		Upstream:     m.GetUpstream(),
		QueueDelay:   Milliseconds(m.GetQueueDelayMs()),
		FreePieces:   int(m.GetFreePieces()),
		TotalPieces:  int(m.GetTotalPieces()),
		Running:      int(m.GetRunning()),
		RunningLimit: int(m.GetRunningLimit()),
		Step:         time.Duration(m.GetStepUs()) * time.Microsecond,
		Accepting:    m.GetAccepting(),
		Age:          Milliseconds(m.GetAgeMs()),
	}
}

// Milliseconds returns the duration of a number of milliseconds.
func Milliseconds(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

// FromSuspects returns the messages of suspected contents.
func FromSuspects(suspects []quarantine.Suspect) []*fleetv1.Suspect {
	var list []*fleetv1.Suspect
	for _, s := range suspects {
		list = append(list, &fleetv1.Suspect{
			Fingerprint: s.Fingerprint,
			Crashes:     s.Crashes,
			Cleared:     s.Cleared,
			Unproven:    s.Unproven,
			Part:        s.Part,
			Answered:    s.Answered,
			Begun:       s.Begun,
			RemainingMs: s.Remaining.Milliseconds(),
		})
	}
	return list
}

// ToSuspects returns the suspected contents of messages.
func ToSuspects(list []*fleetv1.Suspect) []quarantine.Suspect {
	var suspects []quarantine.Suspect
	for _, m := range list {
		suspects = append(suspects, quarantine.Suspect{
			Fingerprint: m.GetFingerprint(),
			Crashes:     m.GetCrashes(),
			Cleared:     m.GetCleared(),
			Unproven:    m.GetUnproven(),
			Part:        m.GetPart(),
			Answered:    m.GetAnswered(),
			Begun:       m.GetBegun(),
			Remaining:   Milliseconds(m.GetRemainingMs()),
		})
	}
	return suspects
}
