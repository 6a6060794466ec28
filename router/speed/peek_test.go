package speed_test

import (
	"bytes"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/speed"
	"gooseberrypin.example/router/upstream"
)

// Guards against a peek that brings the verdict on an engine forward or logs it: with and without peeks, the same samples give
// the same views and log lines, and each peek equals the next view.
func TestPeeksDoNotChangeVerdicts(t *testing.T) {
	play := func(peeks bool) (views, log string) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var lines bytes.Buffer
			table := speed.NewTable(1.5, speed.WithLog(event.NewLog(&lines, "e")))
			var members []*upstream.Member
			for n := range 4 {
				members = append(members, &upstream.Member{Upstream: upstream.Upstream{ID: fmt.Sprint("e", n), Pool: "p", Phase: upstream.PhaseDecode}, History: &upstream.History{}})
			}
			list := func() []*upstream.Member { return members }
			for n := range 300 {
				for i, m := range members {
					factor := 1
					if i == 3 && n > 20 && n < 220 {
						factor = 3
					}
					table.Record(m.Upstream, 100, time.Duration(factor*100)*time.Millisecond, time.Now())
				}
				time.Sleep(70 * time.Millisecond)
				var peeked *speed.View
				if peeks {
					peeked = table.Peek(list, "p", upstream.PhaseDecode, time.Now())
				}
				if n%3 != 0 {
					continue
				}
				v := table.View(list, "p", upstream.PhaseDecode, time.Now())
				views += fmt.Sprintln(v.Uneven(), v.PerToken(members[3]), v.Median())
				if peeks {
					is.Equal(peeked.Uneven(), v.Uneven())
					is.Equal(peeked.PerToken(members[3]), v.PerToken(members[3]))
					age, found := table.Age(members[3].Upstream, time.Now())
					is.True(found)
					is.Equal(age, 70*time.Millisecond)
				}
			}
			log = lines.String()
		})
		return views, log
	}
	is := is.New(t)
	views, log := play(true)
	otherViews, otherLog := play(false)
	is.True(len(log) > 0)
	is.Equal(views, otherViews)
	is.Equal(log, otherLog)
}
