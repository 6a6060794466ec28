package reservation_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/reservation"
)

// attemptsOf returns the number of attempts at all engines.
func attemptsOf(e *engines) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	attempts := 0
	for _, n := range e.attempts {
		attempts += n
	}
	return attempts
}

// Guards against a forecast that names another engine or wait than the waiter then gets, and against one that starts an
// attempt or changes the queue.
func TestForecastEqualsWhatAWaiterGets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(map[string]int{"a": 100, "b": 5000})
		e.members[0].Begin(50)
		q := e.queue()
		peek := func(tokens int) reservation.Forecast {
			var f reservation.Forecast
			for range 3 {
				f = q.Peek(waiter(tokens), nil, time.Now())
			}
			return f
		}
		f := peek(4000)
		is.True(f.Attempts)
		is.Equal(f.Denial, reservation.NotDenied)
		is.Equal(f.Candidates[0].Weight, 0.0) // it has more tokens in use
		is.Equal(f.Candidates[1].Weight, 1.0)
		is.Equal(attemptsOf(e), 0)
		grant, ok := q.Wait(t.Context(), waiter(4000))
		is.True(ok)
		is.Equal(grant.Member.ID, "b")

		// Both engines refuse as much memory.
		go q.Wait(t.Context(), waiter(4000))
		time.Sleep(10 * time.Millisecond)
		attempts := attemptsOf(e)
		f = peek(4000)
		is.Equal(f.Waiting, 1)
		is.Equal(f.Ahead, 1)
		is.True(!f.Attempts)
		is.Equal(f.Candidates[0].Obstacle, reservation.LacksMemory)
		is.True(f.Candidates[0].Until.After(time.Now()))
		is.Equal(attemptsOf(e), attempts)
		is.Equal(q.Length(), 1)
		time.Sleep(time.Minute)
	})
}

// Guards against a forecast that lets a waiter wait which is refused at once.
func TestForecastStatesThatAWaiterIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(map[string]int{"a": 0})
		q := e.queue()
		fillQueue(t, q, e, 12)
		f := q.Peek(waiter(9000), nil, time.Now())
		is.Equal(f.Denial, reservation.PredictedLate)
		is.True(f.Wait > 0)
		grant, ok := q.Wait(t.Context(), waiter(9000))
		is.True(!ok)
		is.Equal(grant.Denial, f.Denial)
		time.Sleep(2 * time.Minute)
	})
}
