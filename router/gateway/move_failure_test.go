package gateway_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/gateway"
	"gooseberrypin.example/router/speed"
	"gooseberrypin.example/router/upstream"
)

const (
	slowEngine, fastEngine = "decode01", "decode00"
)

var (
	endsAtDeadline = func(last int) bool { return last > 40 && last < 90 }
	endsComplete   = func(last int) bool { return last == 90 }
	isSuspected    = true
	endsEarly      = func(last int) bool { return last > 0 && last < 40 }
)

type (
	// moveCase is one stream at a slow engine beside a fast one, and what must become of it.
	moveCase struct {
		resumable bool
		prepare   func(s *moveScene)
		outcome   string
		moved     gateway.MoveOutcome
		decodes   string
		lastEvent func(int) bool
		// freed and expired are the copies that are freed, or left to expire because no answer named them or their engine takes no calls.
		freed, expired int
		// suspected reports whether the content is suspected of a crash; nil if that does not matter.
		suspected *bool
	}

	// moveScene is what a case may change.
	moveScene struct {
		*moveFleet
		directory *upstream.Directory
		limited   map[string]bool
		gateway   *gateway.Gateway
		cancel    context.CancelFunc
		once      sync.Once
	}
)

func (s *moveScene) member(id string) upstream.Upstream {
	return upstream.Upstream{ID: id, Pool: "chat", Phase: upstream.PhaseDecode, Slots: fleetSlots, DataCentre: "0"}
}

// A failure at any step of a move leaves the stream no worse than without it: it continues at its engine or resumes there, and
// it never runs twice. Copies that are not used are freed.
func TestFailedMovesOfStreams(t *testing.T) {
	onCopy := func(stop bool, do func(s *moveScene)) func(s *moveScene) {
		return func(s *moveScene) {
			s.copied = func(stopped bool) {
				if stopped == stop {
					s.once.Do(func() { do(s) })
				}
			}
		}
	}
	tests := map[string]moveCase{
		"moved": {
			outcome: "answered", moved: gateway.MoveCompleted, decodes: "decode01 decode00", lastEvent: endsComplete,
		},
		"moved, the source writes on": {
			prepare: func(s *moveScene) { s.lingers = true },
			outcome: "answered", moved: gateway.MoveCompleted, decodes: "decode01 decode00", lastEvent: endsComplete,
		},
		"the destination is full": {
			prepare: func(s *moveScene) {
				s.copyFault = func(bool) gateway.CopyResult { return gateway.CopyFailed{Reason: gateway.NoRoom} }
			},
			outcome: "deadline/yes", decodes: "decode01", lastEvent: endsAtDeadline,
		},
		"the destination is gone after the first copy": {
			prepare: onCopy(false, func(s *moveScene) { s.crash(fastEngine) }),
			outcome: "deadline/yes", decodes: "decode01", lastEvent: endsAtDeadline,
		},
		"the destination is gone during the last copy": {
			prepare: onCopy(true, func(s *moveScene) { s.crash(fastEngine) }),
			outcome: "deadline/yes", moved: gateway.MoveReturned, decodes: "decode01 decode01", lastEvent: endsAtDeadline,
		},
		"the destination drains after the first copy": {
			prepare: onCopy(false, func(s *moveScene) {
				u := s.member(fastEngine)
				u.Draining = true
				s.directory.Put(u)
			}),
			outcome: "deadline/yes", decodes: "decode01", lastEvent: endsAtDeadline, freed: 1,
		},
		"the destination states a limit after the last copy": {
			prepare: onCopy(true, func(s *moveScene) { s.limited[fastEngine] = true }),
			outcome: "deadline/yes", moved: gateway.MoveReturned, decodes: "decode01 decode01", lastEvent: endsAtDeadline, expired: 1,
		},
		"the source crashes during the copy": {
			prepare: onCopy(false, func(s *moveScene) { s.crash(slowEngine) }),
			outcome: "upstream_lost/yes", decodes: "decode01", lastEvent: endsEarly, expired: 1,
		},
		"the source crashes during the last copy": {
			prepare: onCopy(true, func(s *moveScene) { s.crash(slowEngine) }),
			outcome: "upstream_lost/yes", moved: gateway.MoveBroken, decodes: "decode01", lastEvent: endsEarly, freed: 1,
		},
		"the source crashes during the last copy, resumable": {
			resumable: true,
			prepare:   onCopy(true, func(s *moveScene) { s.crash(slowEngine) }),
			outcome:   "answered", moved: gateway.MoveBroken, decodes: "decode01 decode00", lastEvent: endsComplete, freed: 1,
		},
		"the source crashes after the move": {
			prepare: onCopy(true, func(s *moveScene) { s.crashLater(slowEngine) }),
			outcome: "answered", moved: gateway.MoveCompleted, decodes: "decode01 decode00", lastEvent: endsComplete, suspected: new(bool),
		},
		"the destination crashes after the move": {
			prepare: onCopy(true, func(s *moveScene) { s.crashLater(fastEngine) }),
			outcome: "upstream_lost/yes", moved: gateway.MoveCompleted, decodes: "decode01 decode00", lastEvent: endsEarly, suspected: &isSuspected,
		},
		"both engines are gone after the last copy": {
			prepare: onCopy(true, func(s *moveScene) {
				s.crash(fastEngine)
				s.crash(slowEngine)
			}),
			outcome: "upstream_lost/yes", moved: gateway.MoveBroken, decodes: "decode01", lastEvent: endsEarly,
		},
		"the answer to the last copy is lost": {
			prepare: func(s *moveScene) {
				s.copied = func(stop bool) {
					if stop {
						time.Sleep(4 * time.Second)
					}
				}
			},
			outcome: "deadline/yes", moved: gateway.MoveReturned, decodes: "decode01 decode01", lastEvent: endsAtDeadline, freed: 1,
		},
		"the call for the last copy is lost": {
			prepare: func(s *moveScene) {
				s.copyFault = func(stop bool) gateway.CopyResult {
					if stop {
						return gateway.CopyFailed{Reason: gateway.CopyUnknown, Err: io.ErrUnexpectedEOF}
					}
					return nil
				}
			},
			outcome: "deadline/yes", decodes: "decode01", lastEvent: endsAtDeadline, freed: 1,
		},
		"the caller disconnects during the copy": {
			prepare: onCopy(false, func(s *moveScene) { s.cancel() }),
			outcome: "cancelled/yes", decodes: "decode01", lastEvent: endsEarly, freed: 1,
		},
		"the caller disconnects during the last copy": {
			prepare: onCopy(true, func(s *moveScene) { s.cancel() }),
			outcome: "cancelled/yes", decodes: "decode01", lastEvent: endsEarly, freed: 1,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				testMove(t, tt)
			})
		})
	}
}

// testMove serves one stream that begins at the slow engine.
func testMove(t *testing.T, tt moveCase) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s := &moveScene{moveFleet: newMoveFleet(), directory: upstream.NewDirectory(), limited: make(map[string]bool), cancel: cancel}
	s.addEngines(s.directory, 1, 2, func(n int) float64 { return []float64{0.9, 4.6}[n] })
	table := speed.NewTable(speed.DefaultUnevenFactor)
	learnSpeeds(table, s)
	var record gateway.Record
	var log bytes.Buffer
	g := gateway.New(moveRules(tt.resumable), s.directory, s, gateway.WithSpeeds(table), gateway.WithRetryRatio(1), gateway.WithDataCentre("0"),
		gateway.WithObserver(func(r gateway.Record) { record = r }), gateway.WithLog(event.NewLog(&log, "entry")),
		gateway.WithStreamMoves(s, func(incarnation string) bool { return s.limited[incarnation] }, func(string, gateway.MoveOutcome) {}))
	for range 8 {
		serveShort(t, g)
	}
	s.gateway = g
	s.refusing[fastEngine] = true
	if tt.prepare != nil {
		tt.prepare(s)
	}
	s.decodes, s.remaining, s.moveCount = nil, nil, moveCount{}
	r := request()
	r.ID, r.Wait = "stream", 13*time.Second
	r.Generation = &gateway.Generation{Model: "90", PromptTokens: 3000, MaxOutputTokens: 160 * fleetEventSize, LengthHint: 90 * fleetEventSize}
	time.AfterFunc(500*time.Millisecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refusing[fastEngine] = false
	})
	reply := &orderedReply{timedReply: timedReply{arrived: r.Arrived}}
	refused := g.Serve(ctx, r, reply)
	time.Sleep(5 * time.Second)
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() {
		if t.Failed() {
			t.Log(log.String())
		}
	}()
	is.Equal(outcome(refused), tt.outcome)
	is.Equal(record.Move, tt.moved)
	is.Equal(strings.Join(s.decodes, " "), tt.decodes)
	is.True(tt.lastEvent(reply.last))
	is.Equal(reply.faults, 0)
	is.Equal(s.doubled, 0)
	is.Equal(s.freed, tt.freed+tt.expired)
	is.Equal(s.expired, tt.expired)
	if tt.suspected != nil {
		is.Equal(len(g.Suspects(time.Now())) > 0, *tt.suspected)
	}
	for id, e := range s.engines {
		is.True(s.terminated[id] || e.used == 0 && e.running == 0)
	}
	if tt.moved == gateway.MoveCompleted {
		is.True(reply.longest <= moveTargetGap)
		is.True(s.remaining[1] < s.remaining[0]-time.Second)
		speeds := table.View(func() []*upstream.Member { return s.directory.Published("chat", upstream.PhaseDecode) }, "chat", upstream.PhaseDecode, time.Now())
		members := s.directory.Published("chat", upstream.PhaseDecode)
		is.True(speeds.PerToken(members[1]) > 3*speeds.PerToken(members[0]))
	}
	for _, id := range []string{slowEngine, fastEngine} {
		load := s.loadOf(id)
		is.Equal(load, upstream.Load{})
	}
}

// crashLater crashes an engine some events later.
func (s *moveScene) crashLater(id string) {
	time.AfterFunc(400*time.Millisecond, func() {
		s.crash(id)
		s.gateway.UpstreamTerminated(s.member(id))
	})
}

func (s *moveScene) loadOf(id string) upstream.Load {
	for _, m := range s.directory.Snapshot(time.Now()) {
		if m.ID == id {
			return upstream.Load{Requests: m.InFlight, Tokens: m.Tokens}
		}
	}
	return upstream.Load{}
}

// serveShort serves a stream that ends soon.
func serveShort(t *testing.T, g *gateway.Gateway) {
	r := request()
	r.ID = "short"
	r.Generation = &gateway.Generation{Model: "8", PromptTokens: 3000, MaxOutputTokens: 8 * fleetEventSize, LengthHint: 8 * fleetEventSize}
	g.Serve(t.Context(), r, &recordedReply{})
}

// learnSpeeds records samples of the engines until the slow one is judged slow.
func learnSpeeds(table *speed.Table, s *moveScene) {
	members := func() []*upstream.Member { return s.directory.Published("chat", upstream.PhaseDecode) }
	for range 30 {
		for _, m := range members() {
			perToken := time.Duration(s.engines[m.ID].factor * float64(fleetStep))
			table.Record(m.Upstream, 100, 100*perToken, time.Now())
		}
		time.Sleep(150 * time.Millisecond)
		table.View(members, "chat", upstream.PhaseDecode, time.Now())
	}
}
