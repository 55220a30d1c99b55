package uptime

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// fakeClocks replaces the system clocks. Each reading takes readLatency.
type fakeClocks struct {
	// The boot-time clock is ahead of the monotonic one by suspended.
	monotonic, suspended, readLatency time.Duration
	err                               error
}

func (f *fakeClocks) read(id int32) (time.Duration, error) {
	f.monotonic += f.readLatency
	if id == unix.CLOCK_BOOTTIME {
		return f.monotonic + f.suspended, f.err
	}
	return f.monotonic, f.err
}

// replaceClocks makes the package read f, as if the process had just started, until
// the test ends.
func replaceClocks(t *testing.T, f *fakeClocks) {
	t.Helper()
	oldClock, oldSuspended, oldAtStart := readClock, suspended.Load(), suspendedAtStart.Load()
	readClock = f.read
	suspended.Store(0)
	suspendedAtStart.Store(0)
	t.Cleanup(func() {
		readClock = oldClock
		suspended.Store(oldSuspended)
		suspendedAtStart.Store(oldAtStart)
	})
}

// Guards against ages that omit the time suspended.
func TestNowIncludesSuspension(t *testing.T) {
	clocks := &fakeClocks{monotonic: time.Hour, readLatency: time.Microsecond}
	replaceClocks(t, clocks)
	start := Now()
	require.Less(t, Since(start), time.Second)
	clocks.suspended = 20 * time.Second
	require.InDelta(t, 20, Since(start).Seconds(), 1)
	require.InDelta(t, -20, Until(start).Seconds(), 1)
}

// Guards against counting the delay between the two clock readings as suspension,
// and against time running backwards.
func TestSlowClockReadsAreNotSuspension(t *testing.T) {
	clocks := &fakeClocks{readLatency: 50 * time.Millisecond}
	replaceClocks(t, clocks)
	require.Zero(t, Suspended())
	clocks.suspended = 10 * time.Second
	require.InDelta(t, 10, Suspended().Seconds(), 0.06)
	previous := Suspended()
	for n := range 20 {
		clocks.readLatency = 20 * time.Microsecond
		if n%2 == 0 {
			clocks.readLatency = 50 * time.Millisecond
		}
		require.GreaterOrEqual(t, Suspended(), previous)
		previous = Suspended()
	}
	require.InDelta(t, 10, previous.Seconds(), 0.01)
}

func TestClockErrorKeepsLastValue(t *testing.T) {
	clocks := &fakeClocks{suspended: 3 * time.Second}
	replaceClocks(t, clocks)
	require.Equal(t, 3*time.Second, Suspended())
	clocks.err = errors.New("not supported")
	require.Equal(t, 3*time.Second, Suspended())
}

func TestSystemClocksAreReadable(t *testing.T) {
	_, err := readSuspended()
	require.NoError(t, err)
}
