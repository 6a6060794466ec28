// Package service is a stand-in for a plain service. It counts the runs of each idempotency key.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// ModeAnswer runs a call and answers it after the delay.
	ModeAnswer Mode = "answer"
	// ModeDrop runs a call and closes the connection without an answer.
	ModeDrop Mode = "drop"
	// ModeHang runs a call and answers it when the mode is set again.
	ModeHang Mode = "hang"

	// KeyHeader carries the idempotency key of a call.
	KeyHeader = "Idempotency-Key"

	maxBodyBytes = 4 << 20
)

type (
	// Mode selects how the service answers calls.
	Mode string

	// Service counts the runs of idempotency keys. It is safe for concurrent use.
	Service struct {
		mu        sync.Mutex
		delay     time.Duration
		mode      Mode
		changed   chan struct{}
		runs      map[string]int
		totalRuns int
	}

	// Booking is the answer to a call. Its number counts all runs of the service.
	Booking struct {
		Booking int    `json:"booking"`
		Key     string `json:"key"`
		Path    string `json:"path"`
	}
)

// New returns a service in ModeAnswer that answers after the delay.
func New(delay time.Duration) *Service {
	return &Service{delay: delay, mode: ModeAnswer, changed: make(chan struct{}), runs: make(map[string]int)}
}

// Runs returns the number of runs by idempotency key.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for key, n := range s.runs {
		runs[key] = n
	}
	return runs
}

// SetMode sets how the service answers calls. Calls that wait in ModeHang are answered.
func (s *Service) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler returns the HTTP handler. POST on any path is a call, GET /runs returns the number of runs by key, and
// POST on /admin/answer, /admin/drop or /admin/hang sets the mode in tests.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Runs()) })
	for _, m := range []Mode{ModeAnswer, ModeDrop, ModeHang} {
		mux.HandleFunc("POST /admin/"+string(m), func(http.ResponseWriter, *http.Request) { s.SetMode(m) })
	}
	mux.HandleFunc("POST /", s.serveCall)
	return mux
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
		http.Error(w, "the body can't be read", http.StatusBadRequest)
		return
	}
	key := r.Header.Get(KeyHeader)
	number, mode, changed := s.recordRun(key)
	switch mode {
	case ModeDrop:
		panic(http.ErrAbortHandler)
	case ModeHang:
		waitForModeChange(r, changed)
	case ModeAnswer:
		sleep(r, s.delay)
	}
	writeJSON(w, Booking{Booking: number, Key: key, Path: r.URL.Path})
}

// recordRun counts a run, whether or not the caller waits for the answer. It returns the number of runs so far, the mode
// and a channel that is closed when the mode is set.
func (s *Service) recordRun(key string) (int, Mode, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key]++
	s.totalRuns++
	return s.totalRuns, s.mode, s.changed
}

func waitForModeChange(r *http.Request, changed <-chan struct{}) {
	select {
	case <-changed:
	case <-r.Context().Done():
	}
}

func sleep(r *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
