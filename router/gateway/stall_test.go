package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/gateway"
	"gooseberrypin.example/router/ingress"
	"gooseberrypin.example/router/reservation"
	"gooseberrypin.example/router/upstream"
)

type (
	// lateBody sends an event that was received before the decode was cancelled, once the memory at another engine is acquired.
	lateBody struct {
		acquired chan struct{}
		reads    int
	}
)

// A stalled stream may still continue. It moves to another engine only if that engine has reserved memory and the
// retry budget has a retry left. Otherwise its caller would lose an answer that is only delayed.
func TestStalledStreamKeepsItsEngine(t *testing.T) {
	slowEvents := step{events: sequence(1, 3), pause: 3 * time.Second}
	delayedHead := step{after: 3 * time.Second, events: sequence(1, 3), pause: time.Millisecond}
	tests := map[string]struct {
		step  step
		ratio float64
		full  bool
	}{
		"slow events, no retry left":        {slowEvents, 0, false},
		"slow events, no memory elsewhere":  {slowEvents, 0.5, true},
		"delayed head, no retry left":       {delayedHead, 0, false},
		"delayed head, no memory elsewhere": {delayedHead, 0.5, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fakeUpstreams{}
				g := newGateway(t, f, ingress.Streaming{Resumable: true, MaxGap: 50 * time.Millisecond}, gateway.WithRetryRatio(tt.ratio))
				earnRetries(t, g, 20)
				f.reset(bothDecodeEngines(tt.step))
				var mu sync.Mutex
				reservations := 0
				f.reserve = func(id string, _ int) reservation.Outcome {
					mu.Lock()
					defer mu.Unlock()
					reservations++
					if tt.full && reservations > 1 {
						return reservation.Full{}
					}
					return reservation.Reserved{ID: id}
				}
				a := &recordedReply{}
				is.Equal(outcome(g.Serve(t.Context(), request(), a)), "answered")
				is.Equal(receivedIDs(a), "1 2 3")
				synctest.Wait()
			})
		})
	}
}

// A stalled stream continues while another engine reserves memory for it. The memory is freed.
func TestUnneededMemoryOfAStalledStreamIsFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeUpstreams{}
		g := newGateway(t, f, ingress.Streaming{Resumable: true, MaxGap: 50 * time.Millisecond}, gateway.WithRetryRatio(0.5))
		earnRetries(t, g, 20)
		f.reset(bothDecodeEngines(step{events: sequence(1, 2), pause: 2 * time.Second}))
		var mu sync.Mutex
		reservations := 0
		f.reserve = func(id string, _ int) reservation.Outcome {
			mu.Lock()
			reservations++
			slow := reservations > 1
			mu.Unlock()
			if slow {
				// The next event of the stream arrives before the reservation is answered.
				time.Sleep(220 * time.Millisecond)
			}
			return reservation.Reserved{ID: "late-" + id}
		}
		a := &recordedReply{}
		is.Equal(outcome(g.Serve(t.Context(), request(), a)), "answered")
		is.Equal(receivedIDs(a), "1 2")
		time.Sleep(time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		is.Equal(len(f.freed), 2)
	})
}

// Streams that are truncated at the same moment share one retry budget. None of them uses a retry that another one
// has reserved.
func TestStreamsTruncatedTogetherStayWithinRetryBudget(t *testing.T) {
	const streams, burst = 20, 10
	synctest.Test(t, func(t *testing.T) {
		f := &fakeUpstreams{}
		g := newGateway(t, f, ingress.Streaming{Resumable: true}, gateway.WithRetryRatio(0.5), gateway.WithRetryBurst(burst))
		earnRetries(t, g, 2*burst)
		f.reset(bothDecodeEngines(step{events: sequence(1, 2), pause: 800 * time.Millisecond, err: errBroken}))
		f.reserve = func(id string, _ int) reservation.Outcome {
			time.Sleep(5 * time.Millisecond)
			return reservation.Reserved{ID: id}
		}
		var wg sync.WaitGroup
		for range streams {
			wg.Go(func() { g.Serve(t.Context(), request(), &recordedReply{}) })
		}
		wg.Wait()
		if extra := len(f.sends()) - 2*streams; extra > burst {
			t.Errorf("%d sends beyond the first prefill and decode of each stream, want at most %d", extra, burst)
		}
		synctest.Wait()
	})
}

// Guards against the stream of a sound engine that runs again at another one because its caller reads slowly.
func TestSlowCallerDoesNotStallAnEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeUpstreams{}
		g := newGateway(t, f, ingress.Streaming{Resumable: true, MaxGap: 50 * time.Millisecond}, gateway.WithRetryRatio(0.5))
		earnRetries(t, g, 20)
		f.reset(bothDecodeEngines(step{events: sequence(1, 3), pause: 5 * time.Millisecond}))
		var reservations atomic.Int64
		f.reserve = func(id string, _ int) reservation.Outcome {
			reservations.Add(1)
			return reservation.Reserved{ID: id}
		}
		a := &recordedReply{writeTime: 4 * time.Second}
		is.Equal(outcome(g.Serve(t.Context(), request(), a)), "answered")
		is.Equal(receivedIDs(a), "1 2 3")
		is.Equal(reservations.Load(), int64(1))
		is.Equal(len(f.sends()), 2) // one prefill and one decode
		synctest.Wait()
	})
}

func (b *lateBody) Read(p []byte) (int, error) {
	b.reads++
	switch b.reads {
	case 1:
	case 2:
		<-b.acquired
		time.Sleep(time.Millisecond)
	default:
		return 0, errBroken
	}
	return copy(p, fmt.Sprintf("id: %d\ndata: x\n\n", b.reads)), nil
}

func (b *lateBody) Release() {}

// Guards against a request that reaches an engine that drains, or with a reservation that has lapsed: memory was acquired there while
// a stream stalled elsewhere, and the caller reads the last event of that stream seconds later.
func TestMemoryOfAStalledStreamIsNotUsedLate(t *testing.T) {
	tests := map[string]struct {
		writeTime time.Duration
		drains    bool
		// reservations is the number of reservations, and freed whether the second one is freed.
		reservations int
		freed        bool
	}{
		"at once":                  {0, false, 2, false},
		"a lapsed one":             {2 * time.Second, false, 3, true},
		"of an engine that drains": {500 * time.Millisecond, true, 3, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fakeUpstreams{}
				g, d := newGatewayWithDirectory(t, f, ingress.Streaming{Resumable: true, MaxGap: 50 * time.Millisecond}, gateway.WithRetryRatio(0.5))
				d.Put(upstream.Upstream{ID: "g3", Pool: "chat", Phase: upstream.PhaseDecode, Slots: 4})
				earnRetries(t, g, 20)
				acquired := make(chan struct{})
				late := step{result: gateway.Answer{Status: 200, Header: http.Header{}, Body: &lateBody{acquired: acquired}, Length: -1}}
				f.reset(map[string][]step{anyUpstream: {late, {events: sequence(3, 4), pause: time.Millisecond}}})
				var mu sync.Mutex
				var reserved []string
				f.reserve = func(id string, _ int) reservation.Outcome {
					mu.Lock()
					defer mu.Unlock()
					reserved = append(reserved, id)
					if len(reserved) == 2 {
						close(acquired)
						if tt.drains {
							time.AfterFunc(10*time.Millisecond, func() {
								d.Put(upstream.Upstream{ID: id, Pool: "chat", Phase: upstream.PhaseDecode, Slots: 4, Draining: true})
							})
						}
					}
					return reservation.Reserved{ID: fmt.Sprintf("hold-%d", len(reserved))}
				}
				a := &recordedReply{writeTime: tt.writeTime}
				is.Equal(outcome(g.Serve(t.Context(), request(), a)), "answered")
				is.Equal(receivedIDs(a), "1 2 3 4")
				synctest.Wait()
				is.Equal(len(reserved), tt.reservations)
				is.Equal(slices.Contains(f.freed, "hold-2"), tt.freed)
				is.Equal(tt.drains && slices.Contains(f.sends()[2:], reserved[1]), false)
			})
		})
	}
}
