package port

import (
	"context"
	"iter"
)

const (
	// EngineLost tells that the engine died or can't be reached.
	EngineLost EngineFault = iota + 1
	// EngineKVUnavailable tells that a KV cache expired or could not be read.
	EngineKVUnavailable
	// EngineFull tells that the engine has no free memory.
	EngineFull
	// EngineConflict tells that the engine's role, models or fencing number forbid the call.
	EngineConflict
	// EngineRefused tells that the engine does not do what was asked.
	EngineRefused
)

type (
	// Engine is a model engine, reached only by the sidecar beside it.
	Engine interface {
		// Prefill computes the KV cache of a prompt; ending ctx cancels it.
		Prefill(ctx context.Context, work PrefillWork) (PrefillResult, error)
		// Import pulls a KV cache from another engine and reports its progress.
		Import(ctx context.Context, work ImportWork) iter.Seq2[ImportProgress, error]
		// Decode streams tokens from an offset. The engine goes on when ctx ends.
		Decode(ctx context.Context, work DecodeWork) iter.Seq2[EngineToken, error]
		// Cancel frees all that a stream holds. An unknown stream is no error.
		Cancel(ctx context.Context, streamID string) error
		// Streams lists what the engine holds.
		Streams(ctx context.Context) ([]EngineStream, error)
		// Load returns the engine's lagging report.
		Load(ctx context.Context) (EngineLoad, error)
		// Order changes the engine's role and models.
		Order(ctx context.Context, order EngineOrder) error
	}

	// EngineFault is the reason of a failed call to an engine.
	EngineFault int

	// EngineError is a failed call to an engine.
	EngineError struct {
		Fault EngineFault
		// MayHaveStarted tells that the engine may have begun the work.
		MayHaveStarted bool
		Message        string
	}

	// PrefillWork asks for the KV cache of a prompt.
	PrefillWork struct {
		StreamID string `json:"stream_id"`
		Model    string `json:"model"`
		Prompt   string `json:"prompt"`
		Priority int    `json:"priority"`
	}

	// PrefillResult names a KV cache.
	PrefillResult struct {
		KVHandle     string `json:"kv_handle"`
		PromptTokens int64  `json:"prompt_tokens"`
		CachedTokens int64  `json:"cached_tokens"`
		ExpiresInMS  int64  `json:"expires_in_ms"`
	}

	// ImportWork names the KV cache to pull.
	ImportWork struct {
		StreamID      string `json:"stream_id"`
		SourceAddress string `json:"source_address"`
		KVHandle      string `json:"kv_handle"`
	}

	// ImportProgress tells how much of a KV cache has arrived.
	ImportProgress struct {
		ReceivedBytes int64  `json:"received_bytes"`
		TotalBytes    int64  `json:"total_bytes"`
		Done          bool   `json:"done"`
		Failure       string `json:"failure,omitempty"`
	}

	// DecodeWork asks for tokens of an imported stream.
	DecodeWork struct {
		StreamID        string `json:"stream_id"`
		MaxOutputTokens int    `json:"max_output_tokens"`
		Priority        int    `json:"priority"`
		Offset          int64  `json:"offset"`
	}

	// EngineToken is one token or the end of a stream.
	EngineToken struct {
		Offset       int64  `json:"offset"`
		Text         string `json:"text,omitempty"`
		Finished     bool   `json:"finished,omitempty"`
		TokenCount   int64  `json:"token_count,omitempty"`
		FinishReason string `json:"finish_reason,omitempty"`
	}

	// EngineStream is one stream that an engine holds.
	EngineStream struct {
		StreamID string `json:"stream_id"`
		Pieces   int    `json:"pieces"`
		State    string `json:"state"`
	}

	// EngineLoad is a lagging report.
	EngineLoad struct {
		TotalPieces int      `json:"total_pieces"`
		FreePieces  int      `json:"free_pieces"`
		PieceTokens int64    `json:"piece_tokens"`
		Running     int      `json:"running"`
		Waiting     int      `json:"waiting"`
		StepUS      int64    `json:"step_us"`
		AgeMS       int64    `json:"age_ms"`
		Role        string   `json:"role"`
		Models      []string `json:"models"`
	}

	// EngineOrder is the state that an engine shall have.
	EngineOrder struct {
		// Fencing is compared from left to right: revision, process start, counter.
		Fencing [3]int64 `json:"fencing"`
		Role    string   `json:"role"`
		Models  []string `json:"models"`
		Version string   `json:"version"`
	}
)

// Error implements error.
func (e *EngineError) Error() string {
	return e.Message
}
