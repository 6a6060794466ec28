package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"gooseberrypin.example/router/port"
)

const (
	rolePrefill = "prefill"
	// exportInterval is the time between two writes of an exported KV cache.
	exportInterval = 5 * time.Millisecond
)

type (
	// kvExport describes an exported KV cache, which another engine may pull until it expires.
	kvExport struct {
		Model        string `json:"model"`
		Prompt       string `json:"prompt"`
		PromptTokens int64  `json:"prompt_tokens"`
		Bytes        int64  `json:"bytes"`
	}
)

func (e *Engine) servePrefill(w http.ResponseWriter, r *http.Request) {
	var work port.PrefillWork
	if !decodeRequest(w, r, &work) {
		return
	}
	if !e.serves(rolePrefill, work.Model) {
		http.Error(w, "role or model not served", http.StatusConflict)
		return
	}
	if err := e.prefillSlot.acquire(r.Context(), work.Priority); err != nil {
		return
	}
	defer e.prefillSlot.release()
	result, err := e.runPrefill(r.Context(), work)
	if err != nil {
		return
	}
	writeJSON(w, result)
}

// serves reports whether the engine has the role and the model. An engine without a role or without models
// serves any.
func (e *Engine) serves(role, model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.role != "" && e.role != role {
		return false
	}
	return len(e.models) == 0 || slices.Contains(e.models, model)
}

// runPrefill sleeps for the duration of a prefill of the tokens that are not cached and exports the KV cache. A prompt
// with the crash marker terminates the process.
func (e *Engine) runPrefill(ctx context.Context, work port.PrefillWork) (port.PrefillResult, error) {
	if e.settings.CrashMarker != "" && strings.Contains(work.Prompt, e.settings.CrashMarker) {
		e.exit(CrashCode)
	}
	tokens := promptTokens(work.Prompt)
	cached := min(tokens, e.cache.addPrompt(work.Model, work.Prompt, time.Now()))
	e.countPrefill(work.Prompt, tokens, cached)
	duration := time.Duration(tokens-cached) * time.Second / time.Duration(e.settings.PrefillTokensPerS)
	if err := sleep(ctx, duration); err != nil {
		return port.PrefillResult{}, err
	}
	return port.PrefillResult{
		KVHandle:     e.addExport(work, tokens),
		PromptTokens: tokens,
		CachedTokens: cached,
		ExpiresInMS:  e.settings.KVLifeMS,
	}, nil
}

func (e *Engine) countPrefill(prompt string, tokens, cached int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Prefills++
	e.stats.PrefillTokens += tokens - cached
	e.stats.CachedTokens += cached
	e.stats.PrefillRuns[promptDigest(prompt)]++
}

// addExport returns the handle of a new exported KV cache, which is removed after its lifetime.
func (e *Engine) addExport(work port.PrefillWork, tokens int64) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastHandle++
	handle := fmt.Sprintf("kv-%d", e.lastHandle)
	e.exports[handle] = &kvExport{
		Model:        work.Model,
		Prompt:       work.Prompt,
		PromptTokens: tokens,
		Bytes:        tokens * e.settings.KVBytesPerToken,
	}
	time.AfterFunc(time.Duration(e.settings.KVLifeMS)*time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.exports, handle)
	})
	return handle
}

// serveKV sends a line of JSON that describes the KV cache, then its bytes at the rate LinkBytesPerS.
func (e *Engine) serveKV(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	kv, found := e.exports[r.PathValue("handle")]
	e.mu.Unlock()
	if !found {
		http.Error(w, "no such KV cache", http.StatusNotFound)
		return
	}
	controller := http.NewResponseController(w)
	_ = json.NewEncoder(w).Encode(kv)
	bytesPerWrite := max(1, e.settings.LinkBytesPerS*int64(exportInterval)/int64(time.Second))
	for remaining := kv.Bytes; remaining > 0; remaining -= bytesPerWrite {
		if _, err := w.Write(make([]byte, min(remaining, bytesPerWrite))); err != nil {
			return
		}
		_ = controller.Flush()
		if sleep(r.Context(), exportInterval) != nil {
			return
		}
	}
}

// sleep waits for the duration. It returns the error of ctx if that is done first.
func sleep(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
