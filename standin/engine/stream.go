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
	// stream holds pieces until it is cancelled, whoever still reads it.
	stream struct {
		id       string
		state    string
		kv       *export
		pieces   int
		priority int
		limit    int64
		tokens   []string
		reason   string
		gone     bool
		changed  chan struct{}
	}
)

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (e *Engine) allocate(id string, kv *export) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	pieces := e.pieces(kv.PromptTokens + 1)
	if e.used+pieces > e.settings.Pieces || e.streams[id] != nil {
		return false
	}
	e.take(pieces)
	e.streams[id] = &stream{id: id, state: stateImporting, kv: kv, pieces: pieces, changed: make(chan struct{})}
	return true
}

func (e *Engine) take(pieces int) {
	e.used += pieces
	e.stats.PeakPieces = max(e.stats.PeakPieces, e.used)
}

func (e *Engine) imported(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.streams[id]; s != nil && s.state == stateImporting {
		s.state = stateReady
	}
}

func (e *Engine) serveDecode(w http.ResponseWriter, r *http.Request) {
	var work port.DecodeWork
	if !readJSON(w, r, &work) {
		return
	}
	s := e.start(work)
	if s == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	lines := json.NewEncoder(w)
	controller := http.NewResponseController(w)
	for offset := work.Offset; ; {
		tokens, end, changed := e.read(s, offset)
		for _, token := range tokens {
			if lines.Encode(token) != nil {
				return
			}
			offset++
		}
		_ = controller.Flush()
		if end {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) start(work port.DecodeWork) *stream {
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
	s.limit, s.reason = outputTokens(s.kv.Prompt), stopReason
	if work.MaxOutputTokens > 0 && int64(work.MaxOutputTokens) < s.limit {
		s.limit, s.reason = int64(work.MaxOutputTokens), lengthReason
	}
	e.stats.DecodesStarted++
	e.stats.DecodeRuns[promptDigest(s.kv.Prompt)]++
	e.stats.StreamRuns[s.id]++
	if !e.stepping {
		e.stepping = true
		go e.steps()
	}
	return s
}

// read returns the tokens from an offset and whether the stream has ended.
func (e *Engine) read(s *stream, offset int64) (tokens []port.EngineToken, end bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for ; offset < int64(len(s.tokens)); offset++ {
		tokens = append(tokens, port.EngineToken{Offset: offset, Text: s.tokens[offset]})
	}
	if s.state == stateFinished && !s.gone {
		count := int64(len(s.tokens))
		tokens = append(tokens, port.EngineToken{Offset: count, Finished: true, TokenCount: count, FinishReason: s.reason})
	}
	return tokens, s.gone || s.state == stateFinished, s.changed
}

// steps gives each decoding stream one token a step until none is left.
func (e *Engine) steps() {
	for {
		batch, running := e.batch()
		if !running {
			return
		}
		time.Sleep(e.stepTime(len(batch)))
		e.step(batch)
	}
}

func (e *Engine) stepTime(batch int) time.Duration {
	step := time.Duration(e.settings.StepMS * float64(time.Millisecond))
	return step + time.Duration(batch)*time.Duration(e.settings.StepPerStreamUS)*time.Microsecond
}

func (e *Engine) batch() ([]*stream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var batch []*stream
	for _, s := range e.streams {
		if s.state == stateDecoding {
			batch = append(batch, s)
		}
	}
	e.stepping = len(batch) > 0
	slices.SortFunc(batch, func(a, b *stream) int {
		if a.priority != b.priority {
			return b.priority - a.priority
		}
		return strings.Compare(a.id, b.id)
	})
	return batch, e.stepping
}

func (e *Engine) step(batch []*stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range batch {
		if s.gone || !e.grow(s) {
			continue
		}
		s.tokens = append(s.tokens, tokenText(s.kv.Prompt, int64(len(s.tokens))))
		e.stats.Tokens++
		if int64(len(s.tokens)) >= s.limit {
			s.state = stateFinished
		}
		s.notify()
	}
}

// grow makes room for the next token; without a free piece the stream skips the step.
func (e *Engine) grow(s *stream) bool {
	wanted := e.pieces(s.kv.PromptTokens + int64(len(s.tokens)) + 1)
	if wanted <= s.pieces {
		return true
	}
	if e.used+wanted-s.pieces > e.settings.Pieces {
		return false
	}
	e.take(wanted - s.pieces)
	s.pieces = wanted
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
	e.used -= s.pieces
	e.stats.Cancels++
	s.gone = true
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
