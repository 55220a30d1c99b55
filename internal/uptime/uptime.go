// Package uptime provides a clock that includes the time the machine is suspended.
// The monotonic clock of time.Now stops during suspension, so leases and timeouts
// measured with it would last too long by the time suspended.
package uptime

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time for measuring leases, deadlines and ages. Only differences
// between such times are meaningful: the wall clock reading is ahead by the time
// suspended since the process started.
func Now() time.Time { return time.Now().Add(Suspended()) }

// Since returns the time elapsed since t, a result of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the duration until t, a time derived from Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// resolution hides the jitter of reading two clocks one after the other.
const resolution = time.Millisecond

// Durations in nanoseconds.
var (
	suspendedAtStart atomic.Int64 // time suspended between boot and process start
	suspended        atomic.Int64 // largest value read since then
)

func init() {
	if read, err := readSuspended(); err == nil {
		suspendedAtStart.Store(int64(read))
	}
}

// Suspended returns how long the machine has been suspended since the process
// started, rounded to milliseconds. It never decreases. If the clocks cannot be
// read, it returns the last known value.
func Suspended() time.Duration {
	read, err := readSuspended()
	now := (read - time.Duration(suspendedAtStart.Load())).Round(resolution)
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

// simulated is the suspension added by Pretend, in nanoseconds.
var simulated atomic.Int64

// Pretend simulates a suspension of length d, until undo is called. It is for
// tests only.
func Pretend(d time.Duration) (undo func()) {
	simulated.Add(int64(d))
	Suspended()
	return func() {
		simulated.Add(-int64(d))
		suspended.Add(-int64(d))
	}
}

// readClock reads a system clock; tests replace it.
var readClock = readSystemClock

func readSystemClock(id int32) (time.Duration, error) {
	var t unix.Timespec
	err := unix.ClockGettime(id, &t)
	return time.Duration(t.Nano()), err
}

// readSuspended returns the difference of the boot-time and monotonic clocks. The
// monotonic clock is read last, so that a preemption between the readings makes
// the result too small rather than too large.
func readSuspended() (time.Duration, error) {
	boot, err := readClock(unix.CLOCK_BOOTTIME)
	if err != nil {
		return 0, err
	}
	monotonic, err := readClock(unix.CLOCK_MONOTONIC)
	return boot - monotonic + time.Duration(simulated.Load()), err
}
