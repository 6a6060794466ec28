package gateway_test

import (
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/gateway"
	"gooseberrypin.example/router/ingress"
)

type (
	// flood is the body of an answer without end.
	flood struct {
		piece string
		read  int64
		held  *held
	}

	// held is what was read of all floods that are not released yet.
	held struct {
		mu        sync.Mutex
		now, peak int64
	}
)

func (h *held) add(bytes int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.now += bytes
	h.peak = max(h.peak, h.now)
}

func (f *flood) Read(p []byte) (int, error) {
	n := copy(p, strings.Repeat(f.piece, 1+len(p)/len(f.piece)))
	f.read += int64(n)
	f.held.add(int64(n))
	// Others run meanwhile.
	time.Sleep(time.Millisecond)
	return n, nil
}

func (f *flood) Release() { f.held.add(-f.read) }

// flooded returns steps that each answer with a flood of their own.
func flooded(piece string, h *held, steps int) []step {
	var list []step
	for range steps {
		list = append(list, step{result: gateway.Answer{Status: 200, Body: &flood{piece: piece, held: h}, Length: -1}})
	}
	return list
}

// Answers without end, many at once, take no more memory than all answers together may.
func TestEndlessAnswersShareABound(t *testing.T) {
	const bound, calls = 1 << 20, 20
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &held{}
		f := &fake{steps: map[string][]step{"d1": flooded("x", h, calls), "d2": flooded("x", h, calls)}}
		g := world(t, f, ingress.NonIdempotent{}, gateway.WithAnswerBytes(bound))
		var all sync.WaitGroup
		for range calls {
			all.Go(func() {
				is.Equal(outcome(g.Serve(t.Context(), request(), &reply{})), "upstream_lost/unknown")
			})
		}
		all.Wait()
		is.True(h.peak <= bound)
		f.reset(nil)
		is.Equal(outcome(g.Serve(t.Context(), request(), &reply{})), "answered")
		synctest.Wait()
	})
}

// What is no event is not passed on without end.
func TestEndlessStreamsBreakOff(t *testing.T) {
	tests := map[string]string{
		"bytes":                 "\x00\x01x",
		"lines":                 "junk\n",
		"events without number": "junk\n\n",
		"comments":              ":\n\n",
		"empty lines":           "\n",
	}
	for name, piece := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := &held{}
				f := &fake{}
				g := world(t, f, ingress.Streaming{})
				f.reset(engines(flooded(piece, h, 2)...))
				a := &reply{}
				is.Equal(outcome(g.Serve(t.Context(), request(), a)), "upstream_lost/yes")
				is.True(h.peak < 1<<20)
				n, err := io.Copy(io.Discard, a)
				is.NoErr(err)
				is.True(n < 1<<10)
				synctest.Wait()
			})
		})
	}
}
