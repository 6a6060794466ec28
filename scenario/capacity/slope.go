// Package capacity measures the marginal cost of one item of each kind in a process: its memory, processor time
// and network bytes.
package capacity

import (
	"fmt"
	"runtime"
	"syscall"
	"time"
)

type (
	// ItemCost is the average cost of one item. A cost that was not measured is 0.
	ItemCost struct {
		// Name names the item in the table.
		Name string
		// Items is the number of items measured.
		Items int
		// MemoryBytes is the heap and stack memory that one item occupies. For an idle process it is the
		// resident memory.
		MemoryBytes float64
		// CPUNanoseconds is the processor time of one item, summed over all threads. For an idle process it is
		// the processor time for each second.
		CPUNanoseconds float64
		// WireBytes is the number of bytes that one item sends and receives over TCP. For configurations and their
		// parts it is the encoded size.
		WireBytes float64
		// Elapsed is the wall-clock time of the operation. It is set only for publishing a configuration.
		Elapsed time.Duration
	}

	// Measure measures the cost of one or more items.
	Measure func() ([]ItemCost, error)

	// meter is the memory and processor time of this process at one moment.
	meter struct {
		memoryBytes uint64
		cpu         time.Duration
	}
)

// Header returns the header line of the table whose rows ItemCost.String returns.
func Header() string {
	return fmt.Sprintf("%-48s %9s %12s %12s %10s %10s",
		"item", "measured", "memory_bytes", "cpu_ns", "wire_bytes", "elapsed_ms")
}

// String returns one row of the table.
func (c ItemCost) String() string {
	return fmt.Sprintf("%-48s %9d %12.0f %12.0f %10.0f %10d",
		c.Name, c.Items, c.MemoryBytes, c.CPUNanoseconds, c.WireBytes, c.Elapsed.Milliseconds())
}

// newMeter collects garbage, then reads the memory in use and the processor time.
func newMeter() meter {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return meter{memoryBytes: m.HeapAlloc + m.StackInuse, cpu: processCPUTime()}
}

// perItem returns the increase in memory and processor time since m, divided by n items. It reads the processor
// time before it collects garbage, so that the final collection does not count.
func (m meter) perItem(name string, n int) ItemCost {
	cpu := processCPUTime() - m.cpu
	after := newMeter()
	return ItemCost{
		Name:           name,
		Items:          n,
		MemoryBytes:    (float64(after.memoryBytes) - float64(m.memoryBytes)) / float64(n),
		CPUNanoseconds: float64(cpu.Nanoseconds()) / float64(n),
	}
}

// processCPUTime returns the user and system time of this process.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic("getrusage: " + err.Error())
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
