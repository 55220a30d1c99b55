package uptime

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// fakeClocks stand in for the system's. Each reading takes a while.
type fakeClocks struct {
	steady, slept, reading time.Duration
	err                    error
}

func (f *fakeClocks) read(id int32) (time.Duration, error) {
	f.steady += f.reading
	if id == unix.CLOCK_BOOTTIME {
		return f.steady + f.slept, f.err
	}
	return f.steady, f.err
}

func useClocks(t *testing.T, f *fakeClocks) {
	t.Helper()
	real, before := clock, suspended.Load()
	clock = f.read
	suspended.Store(0)
	t.Cleanup(func() { clock = real; suspended.Store(before) })
}

// A machine that sleeps for 20 s makes a time taken before 20 s older, though
// its steady clock stood still.
func TestTimeGoesOnWhileTheMachineIsSuspended(t *testing.T) {
	clocks := &fakeClocks{steady: time.Hour, reading: time.Microsecond}
	useClocks(t, clocks)
	before := Now()
	require.Less(t, Since(before), time.Second)
	clocks.slept = 20 * time.Second
	require.InDelta(t, 20, Since(before).Seconds(), 1)
	require.InDelta(t, -20, Until(before).Seconds(), 1)
}

// What is read between the two clocks is no suspension, and small differences
// do not make times go backwards.
func TestSlowReadingsAreNoSuspension(t *testing.T) {
	clocks := &fakeClocks{reading: 50 * time.Millisecond}
	useClocks(t, clocks)
	require.Zero(t, Suspended())
	clocks.slept = 10 * time.Second
	require.InDelta(t, 10, Suspended().Seconds(), 0.11)
	clocks.reading = 20 * time.Microsecond
	first := Suspended()
	for range 10 {
		require.Equal(t, first, Suspended())
	}
}

func TestClocksThatCantBeReadChangeNothing(t *testing.T) {
	clocks := &fakeClocks{slept: 3 * time.Second}
	useClocks(t, clocks)
	known := Suspended()
	require.InDelta(t, 3, known.Seconds(), 0.01)
	clocks.err = errors.New("not supported")
	require.Equal(t, known, Suspended())
}

func TestSystemClocksAreThere(t *testing.T) {
	least, most, err := readSuspended()
	require.NoError(t, err)
	require.LessOrEqual(t, least, most)
}
