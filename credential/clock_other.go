//go:build !linux

package credential

import "time"

var started = time.Now()

// Now reads a clock that steps of the time of day do not change. It may stop while the machine is suspended.
func Now() Instant { return Instant(time.Since(started)) }
