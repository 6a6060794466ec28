package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A sample that is not positive, as of a stream whose first event came before it was resumed, does not change an estimate.
func TestEstimatesIgnoreSamplesThatAreNotPositive(t *testing.T) {
	is := is.New(t)
	e := newEstimates()
	e.recordStartup(-5 * time.Second)
	e.recordStartup(0)
	is.Equal(e.startupTime(), initialStartup)
	e.recordDecode(100, time.Second)
	e.recordDecode(100, -time.Second)
	e.recordDecode(100, 0)
	is.Equal(e.decodeTime(100), time.Second)
	e.recordPrefill(100, -time.Second)
	is.Equal(e.prefillTime(100), time.Duration(0))
}
