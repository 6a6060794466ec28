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
	// endlessBody is the body of an answer that repeats a pattern without end.
	endlessBody struct {
		pattern    string
		read       int64
		unreleased *unreleasedBytes
	}

	// unreleasedBytes counts the bytes that were read from endless bodies and not released yet.
	unreleasedBytes struct {
		mu            sync.Mutex
		current, peak int64
	}
)

func (u *unreleasedBytes) add(bytes int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.current += bytes
	u.peak = max(u.peak, u.current)
}

func (b *endlessBody) Read(p []byte) (int, error) {
	n := copy(p, strings.Repeat(b.pattern, 1+len(p)/len(b.pattern)))
	b.read += int64(n)
	b.unreleased.add(int64(n))
	// Reads of several bodies interleave.
	time.Sleep(time.Millisecond)
	return n, nil
}

func (b *endlessBody) Release() { b.unreleased.add(-b.read) }

// endlessSteps returns a number of steps, each of which answers with an endless body.
func endlessSteps(pattern string, u *unreleasedBytes, steps int) []step {
	var list []step
	for range steps {
		list = append(list, step{result: gateway.Answer{Status: 200, Body: &endlessBody{pattern: pattern, unreleased: u}, Length: -1}})
	}
	return list
}

// Many endless answers at the same time use no more memory than the limit of all buffered answers. After they are
// aborted, the memory is available to other requests.
func TestEndlessAnswersShareMemoryLimit(t *testing.T) {
	const limitBytes, calls = 1 << 20, 20
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := &unreleasedBytes{}
		f := &fakeUpstreams{steps: map[string][]step{"d1": endlessSteps("x", u, calls), "d2": endlessSteps("x", u, calls)}}
		g := newGateway(t, f, ingress.NonIdempotent{}, gateway.WithAnswerBytes(limitBytes))
		var all sync.WaitGroup
		for range calls {
			all.Go(func() {
				is.Equal(outcome(g.Serve(t.Context(), request(), &recordedReply{})), "upstream_lost/unknown")
			})
		}
		all.Wait()
		is.True(u.peak <= limitBytes)
		f.reset(nil)
		is.Equal(outcome(g.Serve(t.Context(), request(), &recordedReply{})), "answered")
		synctest.Wait()
	})
}

// An engine sends data without numbered events forever. The stream is aborted after a bounded amount of data.
func TestEndlessStreamsAreAborted(t *testing.T) {
	tests := map[string]string{
		"bytes":                 "\x00\x01x",
		"lines":                 "junk\n",
		"events without number": "junk\n\n",
		"comments":              ":\n\n",
		"empty lines":           "\n",
	}
	for name, pattern := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				u := &unreleasedBytes{}
				f := &fakeUpstreams{}
				g := newGateway(t, f, ingress.Streaming{})
				f.reset(bothDecodeEngines(endlessSteps(pattern, u, 2)...))
				a := &recordedReply{}
				is.Equal(outcome(g.Serve(t.Context(), request(), a)), "upstream_lost/yes")
				is.True(u.peak < 1<<20)
				n, err := io.Copy(io.Discard, a)
				is.NoErr(err)
				is.True(n < 1<<10)
				synctest.Wait()
			})
		})
	}
}
