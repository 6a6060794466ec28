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
	// exportTick is the time between two writes of an export.
	exportTick = 5 * time.Millisecond
)

type (
	// export is a KV cache that another engine may pull for a short time.
	export struct {
		Model        string `json:"model"`
		Prompt       string `json:"prompt"`
		PromptTokens int64  `json:"prompt_tokens"`
		Bytes        int64  `json:"bytes"`
	}
)

func (e *Engine) servePrefill(w http.ResponseWriter, r *http.Request) {
	var work port.PrefillWork
	if !readJSON(w, r, &work) {
		return
	}
	if !e.serves(rolePrefill, work.Model) {
		http.Error(w, "role or model not served", http.StatusConflict)
		return
	}
	if err := e.prefill.take(r.Context(), work.Priority); err != nil {
		return
	}
	defer e.prefill.give()
	result, err := e.compute(r.Context(), work)
	if err != nil {
		return
	}
	writeJSON(w, result)
}

func (e *Engine) serves(role, model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.role != "" && e.role != role {
		return false
	}
	return len(e.models) == 0 || slices.Contains(e.models, model)
}

func (e *Engine) compute(ctx context.Context, work port.PrefillWork) (port.PrefillResult, error) {
	if e.settings.CrashMarker != "" && strings.Contains(work.Prompt, e.settings.CrashMarker) {
		e.exit(CrashCode)
	}
	tokens := promptTokens(work.Prompt)
	cached := min(tokens, e.cache.add(work.Model, work.Prompt, time.Now()))
	e.count(work.Prompt, tokens, cached)
	duration := time.Duration(tokens-cached) * time.Second / time.Duration(e.settings.PrefillTokensPerS)
	if err := pause(ctx, duration); err != nil {
		return port.PrefillResult{}, err
	}
	return port.PrefillResult{
		KVHandle:     e.export(work, tokens),
		PromptTokens: tokens,
		CachedTokens: cached,
		ExpiresInMS:  e.settings.KVLifeMS,
	}, nil
}

func (e *Engine) count(prompt string, tokens, cached int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Prefills++
	e.stats.PrefillTokens += tokens - cached
	e.stats.CachedTokens += cached
	e.stats.PrefillRuns[promptDigest(prompt)]++
}

func (e *Engine) export(work port.PrefillWork, tokens int64) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handles++
	handle := fmt.Sprintf("kv-%d", e.handles)
	e.exports[handle] = &export{
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

// serveKV sends a line of JSON that describes the KV cache, then its bytes at the link's rate.
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
	perTick := max(1, e.settings.LinkBytesPerS*int64(exportTick)/int64(time.Second))
	for left := kv.Bytes; left > 0; left -= perTick {
		if _, err := w.Write(make([]byte, min(left, perTick))); err != nil {
			return
		}
		_ = controller.Flush()
		if pause(r.Context(), exportTick) != nil {
			return
		}
	}
}

func pause(ctx context.Context, duration time.Duration) error {
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
