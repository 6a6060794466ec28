package capacity

import (
	"testing"

	"github.com/matryer/is"
)

// TestMeasures checks that each measure gives a plausible figure; the figures
// themselves depend on the machine.
func TestMeasures(t *testing.T) {
	b := &Bench{Items: 5000, Heartbeats: 200, Subscribers: 100}
	for _, measure := range b.InProcess() {
		is := is.New(t)
		slopes, err := measure()
		is.NoErr(err)
		for _, s := range slopes {
			is.True(s.Name != "")                                                 // each slope has a name
			is.True(s.Items > 0)                                                  // something was measured
			is.True(s.MemoryBytes > 0 || s.WireBytes > 0 || s.CPUNanoseconds > 0) // something was found
		}
	}
}
