package reservation_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/reservation"
)

// Guards against streams of all entries that move to the same engine: queues that know the same choose different ones, and fast
// engines more often than slow ones.
func TestStreamsMoveToDifferentEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		free := map[string]int{}
		var factors []float64
		for i := range 12 {
			free[fmt.Sprintf("e%02d", i)] = 90_000
			factors = append(factors, []float64{1, 2}[i%2])
		}
		e := newEngines(free)
		q := speedQueue(e, factors)
		chosen := map[string]int{}
		fast := 0
		for range 240 {
			m := q.Destination(output(400), e.members, time.Now())
			chosen[m.ID]++
			if m.ID[2]%2 == 0 {
				fast++
			}
		}
		is.Equal(len(chosen), 12)
		for _, times := range chosen {
			is.True(times <= 60)
		}
		is.True(fast > 120)
	})
}

// Guards against moves to engines without room: one that has refused a stream is not chosen until about as much memory is free
// again, and one at which the stream would not end in time never. Engines that do not differ get no streams.
func TestDestinationMayHaveRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(map[string]int{"a": 90_000, "b": 90_000, "c": 90_000})
		q := speedQueue(e, []float64{2, 1, 1})
		q.Refused(output(400), e.members[1], time.Now())
		for range 20 {
			is.True(q.Destination(output(400), e.members, time.Now()).ID != "b")
			is.Equal(q.Destination(output(1700), e.members, time.Now()).ID, "c")
		}
		q.Refused(output(400), e.members[2], time.Now())
		is.True(q.Destination(output(1700), e.members, time.Now()) == nil)
		time.Sleep(2 * time.Second)
		is.True(q.Destination(output(1700), e.members, time.Now()) != nil)
		is.True(q.Destination(reservation.Waiter{}, nil, time.Now()) == nil)
		even := speedQueue(e, []float64{1, 1, 1})
		is.True(even.Destination(output(400), e.members, time.Now()) == nil)
	})
}
