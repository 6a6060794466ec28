package revocation

import (
	"time"

	"golang.org/x/sys/unix"
)

type (
	// Instant is a reading of two clocks. The monotonic clock may stop while the process is suspended, and the boot-time
	// clock does not.
	Instant struct {
		Monotonic, Boot time.Duration
	}

	// Clock reads both clocks.
	Clock interface {
		Now() Instant
	}

	// SystemClock reads the clocks of the kernel.
	SystemClock struct{}
)

var (
	// processStart is the origin of the monotonic clock.
	processStart = time.Now()
)

// Now implements Clock.
func (SystemClock) Now() Instant {
	i := Instant{Monotonic: time.Since(processStart)}
	var boot unix.Timespec
	// The call fails only on kernels without the clock. The monotonic clock then decides alone.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err == nil {
		i.Boot = time.Duration(boot.Nano())
	}
	return i
}

// Since returns the time since an earlier instant, by the clock that shows more.
func (i Instant) Since(earlier Instant) time.Duration {
	return max(i.Monotonic-earlier.Monotonic, i.Boot-earlier.Boot)
}

// Add returns the instant at a distance.
func (i Instant) Add(d time.Duration) Instant {
	return Instant{Monotonic: i.Monotonic + d, Boot: i.Boot + d}
}
