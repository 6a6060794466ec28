package event_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/event"
)

const (
	// maxQueuedBytes bounds the memory of the queued lines of a blocked writer: 1,024 lines of up to 1 KB.
	maxQueuedBytes = 1 << 20
)

var (
	errLost = errors.New("lost")
)

type (
	// blockedWriter is a log writer whose writes block until release is closed.
	blockedWriter struct {
		release chan struct{}
		mu      sync.Mutex
		bytes.Buffer
	}
)

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Buffer.Write(p)
}

func (w *blockedWriter) lines() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.String()
}

// heapInUse returns the heap memory in use after a garbage collection, in bytes.
func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// A blocked log writer does not block the callers of the log. Dropped lines are counted, and their number is
// logged.
func TestLogNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &blockedWriter{release: make(chan struct{})}
		q := event.NewQueue(w)
		log := event.NewBoundedLog(q, "entry-a")
		stop := make(chan struct{})
		go log.ReportDropped(stop)
		began := time.Now()
		before := heapInUse()
		for range 100_000 {
			log.Error(errLost, event.UpstreamEjected)
			log.Info(event.RequestServed)
		}
		is.Equal(time.Since(began), time.Duration(0))
		is.True(heapInUse() < before+maxQueuedBytes) // the queued lines are bounded
		close(w.release)
		time.Sleep(6 * time.Second)
		close(stop)
		q.Close(time.Second)
		is.True(strings.Contains(w.lines(), `"lines":199`)) // 200,000 less the lines within the bounds
		is.True(strings.Count(w.lines(), "\n") < 1000)
	})
}

// Lines about served requests are dropped before lines about failures.
func TestFailuresAreDroppedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &blockedWriter{release: make(chan struct{})}
		close(w.release)
		q := event.NewQueue(w)
		log := event.NewBoundedLog(q, "entry-a")
		for i := range 10_000 {
			log.Info(event.RequestServed)
			if i%100 == 0 {
				log.Warn(event.RequestRefused)
			}
		}
		q.Close(time.Second)
		is.Equal(strings.Count(w.lines(), `"event":6002`), 100)
		is.True(strings.Count(w.lines(), `"event":6001`) < 500)
	})
}

// The number of dropped lines is reported while failures use up their bound.
func TestDroppedLinesAreReportedUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &blockedWriter{release: make(chan struct{})}
		close(w.release)
		q := event.NewQueue(w)
		log := event.NewBoundedLog(q, "entry-a")
		stop := make(chan struct{})
		go log.ReportDropped(stop)
		written := 0
		for range 21_000 {
			log.Error(errLost, event.UpstreamEjected)
			written++
			time.Sleep(time.Millisecond)
		}
		close(stop)
		q.Close(time.Second)
		reported := 0
		for line := range strings.Lines(w.lines()) {
			var l struct {
				Event int `json:"event"`
				Lines int `json:"lines"`
			}
			is.NoErr(json.Unmarshal([]byte(line), &l))
			if l.Event == event.LinesDropped.Number {
				reported += l.Lines
			} else {
				written--
			}
		}
		// The lines of the last second are not reported yet.
		is.True(reported <= written && reported >= written-1000)
	})
}
