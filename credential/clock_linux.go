package credential

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// Now reads a clock that steps of the time of day do not change, and that goes on while the machine is suspended.
// The clock of package time stops then.
func Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(fmt.Sprintf("credential: CLOCK_BOOTTIME: %v", err))
	}
	return Instant(t.Nano())
}
