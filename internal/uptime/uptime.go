// Package uptime tells a time that goes on while the machine is suspended. The
// steady clock behind time.Now stands still meanwhile: measured by it, a lease
// lasts, and news is fresh, for as much longer as the machine slept.
package uptime

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time to measure leases, deadlines and ages by. Only the
// difference of two such times means anything: the time of day in it is off by
// what the machine was suspended.
func Now() time.Time { return time.Now().Add(Suspended()) }

// Since returns how long ago a time of Now was.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns how long it is until a time of Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// noise is what two readings of the same suspension may differ by.
const noise = time.Millisecond

// suspended is the newest reading, in nanoseconds.
var suspended atomic.Int64

// clock reads a clock of the system; tests put another one in its place.
var clock = systemClock

func systemClock(id int32) (time.Duration, error) {
	var t unix.Timespec
	err := unix.ClockGettime(id, &t)
	return time.Duration(t.Nano()), err
}

// Suspended returns for how long the machine has been suspended since its
// start, in milliseconds' precision. Where the system can't tell, that is what
// it last could.
func Suspended() time.Duration {
	before := time.Duration(suspended.Load())
	least, most, err := readSuspended()
	if err != nil || before >= least-noise && before <= most+noise {
		return before // the same as ever, else times taken in turn could go backwards
	}
	now := min(max(before, least), most)
	suspended.Store(int64(now))
	return now
}

// readSuspended compares the clock that goes on with the one that does not. What
// passes between two readings, while the system may run something else, is left
// open.
func readSuspended() (least, most time.Duration, err error) {
	steady, err := clock(unix.CLOCK_MONOTONIC)
	if err != nil {
		return 0, 0, err
	}
	on, err := clock(unix.CLOCK_BOOTTIME)
	if err != nil {
		return 0, 0, err
	}
	after, err := clock(unix.CLOCK_MONOTONIC)
	return on - after, on - steady, err
}
