package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the current time; decision logic never calls one and is passed its result.
type Clock func() time.Time

// base ties the boot-time clock to the wall clock once, at start, so that later
// steps of the wall clock do not lengthen a lease.
var base = time.Now().Round(0).Add(-sinceBoot())

// Now returns the current time on the boot-time clock, without a monotonic reading.
func Now() time.Time {
	return base.Add(sinceBoot())
}

func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had this clock since 2.6.39; without it no lease can be judged.
		panic("timer: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(t.Nano())
}
