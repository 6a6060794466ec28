package port

import (
	"context"
	"iter"
)

const (
	// EngineLost means that the engine crashed or its connection failed.
	EngineLost EngineFault = iota + 1
	// EngineKVUnavailable means that a KV cache or stream expired, is unknown or could not be transferred.
	EngineKVUnavailable
	// EngineFull means that the engine has no free memory.
	EngineFull
	// EngineConflict means that the engine's role, models or fencing number do not allow the call.
	EngineConflict
	// EngineRefused means that the call was invalid or that the engine rejected it for another reason.
	EngineRefused
)

type (
	// Engine is a model engine. Only the sidecar on the engine's VM calls it. Failed calls return an EngineError.
	Engine interface {
		// Prefill computes the KV cache of a prompt. Cancelling ctx cancels the prefill.
		Prefill(ctx context.Context, work PrefillWork) (PrefillResult, error)
		// Import transfers a KV cache from another engine to this one and yields the progress.
		Import(ctx context.Context, work ImportWork) iter.Seq2[ImportProgress, error]
		// Decode yields the tokens of a stream from an offset. The engine continues the stream after ctx is cancelled.
		Decode(ctx context.Context, work DecodeWork) iter.Seq2[EngineToken, error]
		// Cancel stops a stream and frees its memory. An unknown stream is no error.
		Cancel(ctx context.Context, streamID string) error
		// Streams lists the streams for which the engine holds memory.
		Streams(ctx context.Context) ([]EngineStream, error)
		// Load returns the engine's latest load report. Its AgeMS field says how old the values are.
		Load(ctx context.Context) (EngineLoad, error)
		// Order sets the engine's role and models.
		Order(ctx context.Context, order EngineOrder) error
	}

	// EngineFault is the reason of a failed call to an engine.
	EngineFault int

	// EngineError is the error of a failed call to an engine.
	EngineError struct {
		Fault EngineFault
		// MayHaveStarted reports whether the engine may have started the work.
		MayHaveStarted bool
		Message        string
	}

	// PrefillWork is a request for the KV cache of a prompt.
	PrefillWork struct {
		StreamID string `json:"stream_id"`
		Model    string `json:"model"`
		Prompt   string `json:"prompt"`
		Priority int    `json:"priority"`
	}

	// PrefillResult identifies a computed KV cache and its lifetime.
	PrefillResult struct {
		KVHandle     string `json:"kv_handle"`
		PromptTokens int64  `json:"prompt_tokens"`
		CachedTokens int64  `json:"cached_tokens"`
		ExpiresInMS  int64  `json:"expires_in_ms"`
	}

	// ImportWork identifies the KV cache to transfer and the engine that holds it.
	ImportWork struct {
		StreamID      string `json:"stream_id"`
		SourceAddress string `json:"source_address"`
		KVHandle      string `json:"kv_handle"`
	}

	// ImportProgress reports how much of a KV cache was received.
	ImportProgress struct {
		ReceivedBytes int64  `json:"received_bytes"`
		TotalBytes    int64  `json:"total_bytes"`
		Done          bool   `json:"done"`
		Failure       string `json:"failure,omitempty"`
	}

	// DecodeWork is a request for the tokens of an imported stream, starting at Offset.
	DecodeWork struct {
		StreamID        string `json:"stream_id"`
		MaxOutputTokens int    `json:"max_output_tokens"`
		Priority        int    `json:"priority"`
		Offset          int64  `json:"offset"`
	}

	// EngineToken is one token of a stream or, when Finished is set, its end.
	EngineToken struct {
		Offset       int64  `json:"offset"`
		Text         string `json:"text,omitempty"`
		Finished     bool   `json:"finished,omitempty"`
		TokenCount   int64  `json:"token_count,omitempty"`
		FinishReason string `json:"finish_reason,omitempty"`
	}

	// EngineStream is one stream for which an engine holds pieces of memory.
	EngineStream struct {
		StreamID string `json:"stream_id"`
		Pieces   int    `json:"pieces"`
		State    string `json:"state"`
	}

	// EngineLoad is an engine's load report. The values lag behind by AgeMS.
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

	// EngineOrder is the role, models and version that an engine should have.
	EngineOrder struct {
		// Fencing orders the orders to an engine. It consists of revision, process start and counter, compared from
		// left to right.
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
