package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"gooseberrypin.example/router/port"
)

const (
	roleDecode = "decode"

	stateImporting = "importing"
	stateReady     = "ready"
	stateDecoding  = "decoding"
	stateFinished  = "finished"
)

type (
	// stream reserves its pieces until it is cancelled, even after a client has read its last token.
	stream struct {
		id           string
		state        string
		kv           *kvExport
		pieces       int
		priority     int
		maxTokens    int64
		tokens       []string
		finishReason string
		cancelled    bool
		changed      chan struct{}
	}
)

// notify wakes the requests that wait for a change of the stream.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// addStream reserves the pieces for a KV cache and one output token. It returns false if too few pieces are free or
// the stream exists already.
func (e *Engine) addStream(id string, kv *kvExport) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	pieces := e.piecesFor(kv.PromptTokens + 1)
	if e.usedPieces+pieces > e.settings.Pieces || e.streams[id] != nil {
		return false
	}
	e.reservePieces(pieces)
	e.streams[id] = &stream{id: id, state: stateImporting, kv: kv, pieces: pieces, changed: make(chan struct{})}
	return true
}

func (e *Engine) reservePieces(pieces int) {
	e.usedPieces += pieces
	e.stats.PeakPieces = max(e.stats.PeakPieces, e.usedPieces)
}

func (e *Engine) markReady(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.streams[id]; s != nil && s.state == stateImporting {
		s.state = stateReady
	}
}

func (e *Engine) serveDecode(w http.ResponseWriter, r *http.Request) {
	var work port.DecodeWork
	if !decodeRequest(w, r, &work) {
		return
	}
	s := e.startDecode(work)
	if s == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	encoder := json.NewEncoder(w)
	controller := http.NewResponseController(w)
	for offset := work.Offset; ; {
		tokens, ended, changed := e.tokensFrom(s, offset)
		for _, token := range tokens {
			if encoder.Encode(token) != nil {
				return
			}
			offset++
		}
		_ = controller.Flush()
		if ended {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// startDecode starts the decode of an imported stream, or returns a stream whose decode was started
// before. It returns nil if the stream is unknown or its import has not finished.
func (e *Engine) startDecode(work port.DecodeWork) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[work.StreamID]
	if s == nil || s.state == stateImporting {
		return nil
	}
	if s.state != stateReady {
		return s
	}
	s.state = stateDecoding
	s.priority = work.Priority
	s.maxTokens, s.finishReason = outputTokens(s.kv.Prompt), stopReason
	if work.MaxOutputTokens > 0 && int64(work.MaxOutputTokens) < s.maxTokens {
		s.maxTokens, s.finishReason = int64(work.MaxOutputTokens), lengthReason
	}
	e.stats.DecodesStarted++
	e.stats.DecodeRuns[promptDigest(s.kv.Prompt)]++
	e.stats.StreamRuns[s.id]++
	if !e.decodeRunning {
		e.decodeRunning = true
		go e.runDecodeSteps()
	}
	return s
}

// tokensFrom returns the tokens from an offset, whether the stream has finished or was cancelled, and a channel
// that is closed at the next change of the stream. The tokens of a finished stream end with one that contains the finish
// reason.
func (e *Engine) tokensFrom(s *stream, offset int64) (tokens []port.EngineToken, ended bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for ; offset < int64(len(s.tokens)); offset++ {
		tokens = append(tokens, port.EngineToken{Offset: offset, Text: s.tokens[offset]})
	}
	if s.state == stateFinished && !s.cancelled {
		count := int64(len(s.tokens))
		tokens = append(tokens, port.EngineToken{Offset: count, Finished: true, TokenCount: count, FinishReason: s.finishReason})
	}
	return tokens, s.cancelled || s.state == stateFinished, s.changed
}

// runDecodeSteps adds a token to each decoding stream per step until no stream is decoding.
func (e *Engine) runDecodeSteps() {
	for {
		batch, running := e.nextBatch()
		if !running {
			return
		}
		time.Sleep(e.stepDuration(len(batch)))
		e.decodeStep(batch)
	}
}

func (e *Engine) stepDuration(streams int) time.Duration {
	step := time.Duration(e.settings.StepMS * float64(time.Millisecond))
	return step + time.Duration(streams)*time.Duration(e.settings.StepPerStreamUS)*time.Microsecond
}

// nextBatch returns the decoding streams, the highest priority first, and whether there are any.
func (e *Engine) nextBatch() ([]*stream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var batch []*stream
	for _, s := range e.streams {
		if s.state == stateDecoding {
			batch = append(batch, s)
		}
	}
	e.decodeRunning = len(batch) > 0
	slices.SortFunc(batch, func(a, b *stream) int {
		if a.priority != b.priority {
			return b.priority - a.priority
		}
		return strings.Compare(a.id, b.id)
	})
	return batch, e.decodeRunning
}

func (e *Engine) decodeStep(batch []*stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range batch {
		if s.cancelled || !e.reserveForNextToken(s) {
			continue
		}
		s.tokens = append(s.tokens, tokenText(s.kv.Prompt, int64(len(s.tokens))))
		e.stats.Tokens++
		if int64(len(s.tokens)) >= s.maxTokens {
			s.state = stateFinished
		}
		s.notify()
	}
}

// reserveForNextToken reserves the pieces for the next token of a stream. It returns false if too few pieces
// are free. The stream then skips the step.
func (e *Engine) reserveForNextToken(s *stream) bool {
	required := e.piecesFor(s.kv.PromptTokens + int64(len(s.tokens)) + 1)
	if required <= s.pieces {
		return true
	}
	if e.usedPieces+required-s.pieces > e.settings.Pieces {
		return false
	}
	e.reservePieces(required - s.pieces)
	s.pieces = required
	return true
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[r.PathValue("id")]
	if s == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	delete(e.streams, s.id)
	e.usedPieces -= s.pieces
	e.stats.Cancels++
	s.cancelled = true
	s.notify()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveStreams(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]port.EngineStream, 0, len(e.streams))
	for _, s := range e.streams {
		list = append(list, port.EngineStream{StreamID: s.id, Pieces: s.pieces, State: s.state})
	}
	slices.SortFunc(list, func(a, b port.EngineStream) int { return strings.Compare(a.StreamID, b.StreamID) })
	writeJSON(w, list)
}
