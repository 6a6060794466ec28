// Package capacity measures what one more item of each kind costs a process.
package capacity

import (
	"fmt"
	"runtime"
	"syscall"
	"time"
)

type (
	// Slope is what one item costs.
	Slope struct {
		Name string
		// Items is how many were measured.
		Items int
		// MemoryBytes is the heap and stack that one item holds.
		MemoryBytes float64
		// CPUNanoseconds is the processor time of one item, of all threads.
		CPUNanoseconds float64
		// WireBytes is what one item sends and receives over TCP.
		WireBytes float64
		// Elapsed is the time that one item takes, where that matters.
		Elapsed time.Duration
	}

	// Measure takes one or more slopes.
	Measure func() ([]Slope, error)

	// meter notes memory and processor time at one moment.
	meter struct {
		memory uint64
		cpu    time.Duration
	}
)

// Header is the head of the table that String lines belong to.
func Header() string {
	return fmt.Sprintf("%-48s %9s %12s %12s %10s %10s",
		"item", "measured", "memory_bytes", "cpu_ns", "wire_bytes", "elapsed_ms")
}

// String returns one line of a table.
func (s Slope) String() string {
	return fmt.Sprintf("%-48s %9d %12.0f %12.0f %10.0f %10d",
		s.Name, s.Items, s.MemoryBytes, s.CPUNanoseconds, s.WireBytes, s.Elapsed.Milliseconds())
}

// newMeter collects garbage and notes what is left.
func newMeter() meter {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return meter{memory: m.HeapAlloc + m.StackInuse, cpu: processorTime()}
}

// slope returns the growth since the meter for each of n items. The processor time is
// taken before garbage is collected.
func (m meter) slope(name string, n int) Slope {
	cpu := processorTime() - m.cpu
	after := newMeter()
	return Slope{
		Name:           name,
		Items:          n,
		MemoryBytes:    (float64(after.memory) - float64(m.memory)) / float64(n),
		CPUNanoseconds: float64(cpu.Nanoseconds()) / float64(n),
	}
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic("getrusage: " + err.Error())
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
