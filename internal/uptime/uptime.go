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
// difference of two such times means anything: the time of day in it is ahead
// by what the machine was suspended since the process began.
func Now() time.Time { return time.Now().Add(Suspended()) }

// Since returns how long ago a time of Now was.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns how long it is until a time of Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// noise is what readings are rounded to: they differ by microseconds anyway.
const noise = time.Millisecond

// Both in nanoseconds.
var (
	before    atomic.Int64 // what the machine had been suspended when the process began
	suspended atomic.Int64 // the most that was read since
)

func init() {
	if read, err := readSuspended(); err == nil {
		before.Store(int64(read))
	}
}

// Suspended returns for how long the machine has been suspended since the
// process began, to a millisecond. Where the system can't tell, that is what it last could.
func Suspended() time.Duration {
	read, err := readSuspended()
	now := (read - time.Duration(before.Load())).Round(noise)
	for {
		known := suspended.Load()
		if err != nil || int64(now) <= known {
			return time.Duration(known)
		}
		if suspended.CompareAndSwap(known, int64(now)) {
			return now
		}
	}
}

// pretended is what tests add to the suspension.
var pretended atomic.Int64

// Pretend has the machine seem to have been suspended for a while just now, until
// the function that it returns undoes it. It is for tests only.
func Pretend(d time.Duration) (undo func()) {
	pretended.Add(int64(d))
	Suspended()
	return func() {
		pretended.Add(-int64(d))
		suspended.Add(-int64(d))
	}
}

// clock reads a clock of the system; tests put another one in its place.
var clock = systemClock

func systemClock(id int32) (time.Duration, error) {
	var t unix.Timespec
	err := unix.ClockGettime(id, &t)
	return time.Duration(t.Nano()), err
}

// readSuspended compares the clock that goes on with the one that does not. The
// latter is read last: what passes between the two, while the system runs
// something else, makes the difference too small, and never a suspension.
func readSuspended() (time.Duration, error) {
	on, err := clock(unix.CLOCK_BOOTTIME)
	if err != nil {
		return 0, err
	}
	steady, err := clock(unix.CLOCK_MONOTONIC)
	return on - steady + time.Duration(pretended.Load()), err
}
