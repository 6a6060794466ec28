package port

import (
	"context"
	"time"

	"gooseberrypin.example/router/claim"
	"gooseberrypin.example/router/refusal"
)

type (
	// Attempt is one try of a request. A higher number supersedes a lower one.
	Attempt struct {
		KeyDigest string
		Number    uint64
	}

	// Load is a dated hint about an upstream.
	Load struct {
		Upstream     string
		QueueDelay   time.Duration
		FreePieces   int
		TotalPieces  int
		Running      int
		RunningLimit int
		Step         time.Duration
		Accepting    bool
		Age          time.Duration
	}

	// Prefill asks a prefill sidecar for the KV cache of a prompt.
	Prefill struct {
		Attempt     Attempt
		Keeper      string
		Partner     string
		Model       string
		Prompt      string
		Fingerprint string
		// Budget is the time left until the first token is due.
		Budget time.Duration
		// Late prompts displace no others.
		Late bool
	}

	// Reservation asks a decode sidecar for memory.
	Reservation struct {
		Attempt         Attempt
		Keeper          string
		Partner         string
		Model           string
		Fingerprint     string
		PromptTokens    int
		MaxOutputTokens int
		// Hold bounds the time until the decode must follow.
		Hold time.Duration
	}

	// Decode uses a reservation.
	Decode struct {
		Attempt         Attempt
		Keeper          string
		Model           string
		Fingerprint     string
		KV              KV
		MaxOutputTokens int
	}

	// KV names a KV cache at the engine that exports it.
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

	// AtHead tells that a prefill starts as soon as decode memory is reserved.
	AtHead struct{}

	// Prefilled names the KV cache.
	Prefilled struct {
		KV           KV
		CachedTokens int
	}

	// Tokens are consecutive tokens of an answer.
	Tokens struct{ Texts []string }

	// Finished ends a whole answer.
	Finished struct{ Reason string }

	// Refused ends a prefill or decode.
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

	// Sidecars reaches the sidecars of engines. An error means that the sidecar could
	// not be asked or its answer was lost.
	Sidecars interface {
		claim.Homes
		Prefill(ctx context.Context, address string, p Prefill) (PrefillStream, error)
		StartPrefill(ctx context.Context, address string, a Attempt) (*refusal.Refusal, error)
		Reserve(ctx context.Context, address string, r Reservation) (Load, *refusal.Refusal, error)
		Release(ctx context.Context, address string, a Attempt) error
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
