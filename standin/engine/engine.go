package engine

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"gooseberrypin.example/router/port"
)

const (
	// CrashCode is the exit code after a prompt with the crash marker.
	CrashCode = 70

	bytesPerToken = 4
)

type (
	// Engine simulates one model engine. It keeps its state in memory only.
	Engine struct {
		settings    Command
		exit        func(code int)
		prefillSlot *prefillSlot
		cache       *prefixCache

		mu             sync.Mutex
		streams        map[string]*stream
		exports        map[string]*kvExport
		usedPieces     int
		decodeRunning  bool
		lastHandle     int64
		role           string
		models         []string
		lastFencing    [3]int64
		stats          Stats
		cachedLoad     port.EngineLoad
		loadMeasuredAt time.Time
	}

	// Stats holds counters of an engine since its start.
	Stats struct {
		Prefills       int64 `json:"prefills"`
		PrefillTokens  int64 `json:"prefill_tokens"`
		CachedTokens   int64 `json:"cached_tokens"`
		DecodesStarted int64 `json:"decodes_started"`
		Tokens         int64 `json:"tokens"`
		Cancels        int64 `json:"cancels"`
		PeakPieces     int   `json:"peak_pieces"`
		UsedPieces     int   `json:"used_pieces"`
		// PrefillRuns and DecodeRuns are keyed by the SHA-256 of the prompt in hexadecimal.
		PrefillRuns map[string]int64 `json:"prefill_runs"`
		DecodeRuns  map[string]int64 `json:"decode_runs"`
		// StreamRuns counts decodes by stream ID.
		StreamRuns map[string]int64 `json:"stream_runs"`
		Orders     []OrderRecord    `json:"orders"`
	}

	// OrderRecord is an order that an engine received.
	OrderRecord struct {
		port.EngineOrder
		UnixMS   int64 `json:"unix_ms"`
		Accepted bool  `json:"accepted"`
		// Running is the number of streams in the engine when the order arrived, in any state.
		Running int `json:"running"`
		// Loads is the number of models that the order added, each loaded from the weight store.
		Loads int `json:"loads"`
	}
)

// NewEngine returns an engine. It calls exit with CrashCode for a prompt with the crash marker.
func NewEngine(settings Command, exit func(code int)) *Engine {
	return &Engine{
		settings:    settings,
		exit:        exit,
		prefillSlot: newPrefillSlot(),
		cache:       newPrefixCache(settings.CacheBlocks),
		streams:     make(map[string]*stream),
		exports:     make(map[string]*kvExport),
		role:        settings.Role,
		models:      settings.Models,
		stats: Stats{
			PrefillRuns: make(map[string]int64),
			DecodeRuns:  make(map[string]int64),
			StreamRuns:  make(map[string]int64),
		},
	}
}

// Handler returns the handler of the engine's HTTP protocol.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/prefill", e.servePrefill)
	mux.HandleFunc("GET /v1/kv/{handle}", e.serveKV)
	mux.HandleFunc("POST /v1/import", e.serveImport)
	mux.HandleFunc("POST /v1/decode", e.serveDecode)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.serveCancel)
	mux.HandleFunc("GET /v1/streams", e.serveStreams)
	mux.HandleFunc("GET /v1/load", e.serveLoad)
	mux.HandleFunc("GET /v1/cache_events", e.serveCacheEvents)
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	mux.HandleFunc("GET /v1/stats", e.serveStats)
	return mux
}

// promptTokens estimates the number of tokens of a prompt from its length in bytes.
func promptTokens(prompt string) int64 {
	return max(1, int64(len(prompt)/bytesPerToken))
}

// piecesFor returns the number of memory pieces that hold the given number of tokens.
func (e *Engine) piecesFor(tokens int64) int {
	return int((tokens + e.settings.PieceTokens - 1) / e.settings.PieceTokens)
}

// decodeRequest decodes a JSON body into target. On failure it answers with status 400 and returns false.
func decodeRequest(w http.ResponseWriter, r *http.Request, target any) bool {
	if err := json.NewDecoder(r.Body).Decode(target); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
