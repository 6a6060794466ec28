package port

import (
	"context"
	"time"

	"gooseberrypin.example/router/claim"
	"gooseberrypin.example/router/refusal"
)

type (
	// Attempt identifies one attempt to execute a request. A higher number supersedes a lower one.
	Attempt struct {
		KeyDigest string
		Number    uint64
	}

	// Load is a load report of an upstream.
	Load struct {
		Upstream string
		// QueueDelay is the predicted wait of a new prefill.
		QueueDelay  time.Duration
		FreePieces  int
		TotalPieces int
		// Running is the number of attempts that hold decode memory.
		Running int
		// RunningLimit is the maximum of Running at which the time between tokens meets its target.
		RunningLimit int
		// Step is the duration of a decode step, which produces one token of each running stream.
		Step      time.Duration
		Accepting bool
		// Age is the age of the report.
		Age time.Duration
	}

	// Prefill is a request to a prefill sidecar for the KV cache of a prompt.
	Prefill struct {
		Attempt     Attempt
		Keeper      string
		Partner     string
		Model       string
		Prompt      string
		Fingerprint string
		// Budget is the remaining time until the deadline of the first token.
		Budget time.Duration
		// Late reports whether the first token is predicted to miss its latency target. Late prompts are queued behind all
		// others.
		Late bool
	}

	// Reservation is a request to a decode sidecar for memory.
	Reservation struct {
		Attempt         Attempt
		Keeper          string
		Partner         string
		Model           string
		Fingerprint     string
		PromptTokens    int
		MaxOutputTokens int
		// Hold is the time after which the reservation expires unless the decode has started.
		Hold time.Duration
	}

	// Decode is a request to a decode sidecar to generate an answer with reserved memory.
	Decode struct {
		Attempt         Attempt
		Keeper          string
		Model           string
		Fingerprint     string
		KV              KV
		MaxOutputTokens int
	}

	// KV identifies a KV cache and the engine that exports it.
	KV struct {
		Handle        string
		SourceAddress string
		PromptTokens  int
	}

	// PrefillEvent is Queued, AtHead, Prefilled or Refused.
	//
	//sumtype:decl
	PrefillEvent interface{ prefillEvent() }

	// DecodeEvent is Tokens, Finished or Refused.
	//
	//sumtype:decl
	DecodeEvent interface{ decodeEvent() }

	// Queued reports the predicted wait of a prefill.
	Queued struct{ Delay time.Duration }

	// AtHead means that a prefill reached the head of its queue. It starts as soon as decode memory is reserved.
	AtHead struct{}

	// Prefilled ends a successful prefill and identifies its KV cache.
	Prefilled struct {
		KV           KV
		CachedTokens int
	}

	// Tokens contains the texts of consecutive tokens of an answer.
	Tokens struct{ Texts []string }

	// Finished ends a complete answer.
	Finished struct{ Reason string }

	// Refused ends a refused prefill or decode.
	Refused struct{ Refusal *refusal.Refusal }

	// PrefillStream delivers the events of one prefill. Close cancels it.
	PrefillStream interface {
		Next() (PrefillEvent, error)
		Close()
	}

	// DecodeStream delivers the events of one decode. Close cancels it.
	DecodeStream interface {
		Next() (DecodeEvent, error)
		Close()
	}

	// Sidecars calls the sidecars of engines by their fleet address. An error means that the sidecar could not be
	// reached or that its response was lost.
	Sidecars interface {
		claim.Homes
		// Prefill queues a prompt and returns the stream of its events.
		Prefill(ctx context.Context, address string, p Prefill) (PrefillStream, error)
		// StartPrefill allows a prefill at the head of its queue to start, because decode memory is reserved.
		StartPrefill(ctx context.Context, address string, a Attempt) (*refusal.Refusal, error)
		// Reserve reserves decode memory for an attempt and returns the sidecar's load.
		Reserve(ctx context.Context, address string, r Reservation) (Load, *refusal.Refusal, error)
		// Release frees the resources that the sidecar holds for an attempt.
		Release(ctx context.Context, address string, a Attempt) error
		// Decode generates an answer with the reserved memory and returns the stream of its events.
		Decode(ctx context.Context, address string, d Decode) (DecodeStream, error)
	}
)

func (Queued) prefillEvent()    {}
func (AtHead) prefillEvent()    {}
func (Prefilled) prefillEvent() {}
func (Refused) prefillEvent()   {}

func (Tokens) decodeEvent()   {}
func (Finished) decodeEvent() {}
func (Refused) decodeEvent()  {}
