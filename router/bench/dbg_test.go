package bench

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"
)

func TestDebug(t *testing.T) {
	if os.Getenv("DBG") == "" {
		t.Skip()
	}
	for _, c := range Cases() {
		if c.Name != os.Getenv("DBG") {
			continue
		}
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(c, Policies()[1], 1)
			w.arrivals(1)
			w.reports()
			w.checks()
			w.scheduleStorms()
			w.scheduleLosses()
			end := warmUp
			for ; end < warmUp+measured; end += 20 * 1e9 {
				w.clock.runUntil(end)
				held, run, lim := 0, 0, 0
				for _, n := range w.decodeNames {
					s := w.decodes[n]
					held += s.memory.Held()
					run += s.memory.Running()
					lim += s.pace.Limit()
				}
				fmt.Println(end, "held", held, "run", run, "limit", lim)
				for _, k := range w.keepers {
					r, l := k.decodes.Load(w.decodeNames)
					fmt.Println("  keeper load", r, l, "waiting", len(k.waiting), "wait", k.decodes.Wait(0, w.decodeNames, w.clock.now))
				}
				for _, n := range w.prefillNames {
					s := w.prefills[n]
					fmt.Println("  prefill", s.queue.Len(), len(s.head), len(s.ready), s.running != nil, s.queue.Delay(w.clock.now), s.link.Delay(0))
				}
			}
			w.clock.runUntil(warmUp + measured + drain)
			var whole, lateFirst, lateGap, never, early, lateAdmitted int
			for _, q := range w.requests {
				if !q.measured {
					continue
				}
				if q.whole {
					whole++
					if q.firstToken > firstTokenTarget {
						lateFirst++
						a := q.streamer
						if a.late {
							lateAdmitted++
						} else if lateFirst%60 == 0 {
							fmt.Println("tokens", a.prompt.Tokens, "uncached", a.uncached(), "ttft", q.firstToken, "res", a.reserved.Sub(q.first), "kv", a.kvExpires.Add(-kvLife).Sub(q.first), "pred", a.choice.Predicted, a.choice.Delay, "refusals", q.refusals)
						}
						if q.firstToken < 2*firstTokenTarget {
							early++
						}
					} else if !q.good() {
						lateGap++
					}
				} else {
					never++
				}
			}
			fmt.Println("lateAdmitted", lateAdmitted, "whole", whole, "lateFirst", lateFirst, "of these under 2x", early, "lateGap", lateGap, "never", never)
		})
	}
}
