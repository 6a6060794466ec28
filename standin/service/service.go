// Package service is a plain service that records each run of a key.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// ModeAnswer runs a call and answers.
	ModeAnswer Mode = "answer"
	// ModeDrop runs a call and closes the connection without an answer.
	ModeDrop Mode = "drop"
	// ModeHang runs a call and answers when the mode changes.
	ModeHang Mode = "hang"

	// KeyHeader carries the idempotency key of a call.
	KeyHeader = "Idempotency-Key"

	maxBodyBytes = 4 << 20
)

type (
	// Mode tells how the service answers.
	Mode string

	// Service records the runs of keys.
	Service struct {
		mu      sync.Mutex
		delay   time.Duration
		mode    Mode
		changed chan struct{}
		runs    map[string]int
		total   int
	}

	// Booking is the answer to a call.
	Booking struct {
		Booking int    `json:"booking"`
		Key     string `json:"key"`
		Path    string `json:"path"`
	}
)

// New returns a service that answers after a delay.
func New(delay time.Duration) *Service {
	return &Service{delay: delay, mode: ModeAnswer, changed: make(chan struct{}), runs: make(map[string]int)}
}

// Runs returns the number of runs by key.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for key, n := range s.runs {
		runs[key] = n
	}
	return runs
}

// SetMode changes how the service answers, and ends all hanging calls.
func (s *Service) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler returns the service's pages: POST on any path, GET /runs, and
// POST /admin/answer, /admin/drop and /admin/hang for tests.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Runs()) })
	for _, m := range []Mode{ModeAnswer, ModeDrop, ModeHang} {
		mux.HandleFunc("POST /admin/"+string(m), func(http.ResponseWriter, *http.Request) { s.SetMode(m) })
	}
	mux.HandleFunc("POST /", s.call)
	return mux
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
		http.Error(w, "the body can't be read", http.StatusBadRequest)
		return
	}
	key := r.Header.Get(KeyHeader)
	number, mode, changed := s.record(key)
	switch mode {
	case ModeDrop:
		panic(http.ErrAbortHandler)
	case ModeHang:
		wait(r, changed)
	case ModeAnswer:
		pause(r, s.delay)
	}
	reply(w, Booking{Booking: number, Key: key, Path: r.URL.Path})
}

// record counts a run. It happens even when the caller does not wait for the answer.
func (s *Service) record(key string) (int, Mode, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key]++
	s.total++
	return s.total, s.mode, s.changed
}

func wait(r *http.Request, changed <-chan struct{}) {
	select {
	case <-changed:
	case <-r.Context().Done():
	}
}

func pause(r *http.Request, d time.Duration) {
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

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
