package capacity

import (
	"testing"

	"github.com/matryer/is"
)

// TestMeasuresReturnPositiveCosts checks that each item cost has a positive number of items and a positive
// figure. The figures themselves depend on the machine.
func TestMeasuresReturnPositiveCosts(t *testing.T) {
	b := &Bench{Items: 5000, Heartbeats: 200, Subscribers: 100}
	for _, measure := range b.InProcess() {
		is := is.New(t)
		costs, err := measure()
		is.NoErr(err)
		for _, c := range costs {
			is.True(c.Name != "")                                                 // name of the item
			is.True(c.Items > 0)                                                  // number of measured items
			is.True(c.MemoryBytes > 0 || c.WireBytes > 0 || c.CPUNanoseconds > 0) // a positive cost
		}
	}
}
