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
	real, read, began := clock, suspended.Load(), before.Load()
	clock = f.read
	suspended.Store(0)
	before.Store(0)
	t.Cleanup(func() {
		clock = real
		suspended.Store(read)
		before.Store(began)
	})
}

// A machine that sleeps for 20 s makes a time taken before 20 s older, though
// its steady clock stood still.
func TestTimeGoesOnWhileTheMachineIsSuspended(t *testing.T) {
	clocks := &fakeClocks{steady: time.Hour, reading: time.Microsecond}
	useClocks(t, clocks)
	noted := Now()
	require.Less(t, Since(noted), time.Second)
	clocks.slept = 20 * time.Second
	require.InDelta(t, 20, Since(noted).Seconds(), 1)
	require.InDelta(t, -20, Until(noted).Seconds(), 1)
}

// What passes between the readings of two clocks is no suspension, and never
// makes a time come before an earlier one.
func TestSlowReadingsAreNoSuspension(t *testing.T) {
	clocks := &fakeClocks{reading: 50 * time.Millisecond}
	useClocks(t, clocks)
	require.Zero(t, Suspended())
	clocks.slept = 10 * time.Second
	require.InDelta(t, 10, Suspended().Seconds(), 0.06)
	known := Suspended()
	for n := range 20 {
		clocks.reading = 20 * time.Microsecond
		if n%2 == 0 {
			clocks.reading = 50 * time.Millisecond
		}
		require.GreaterOrEqual(t, Suspended(), known)
		known = Suspended()
	}
	require.InDelta(t, 10, known.Seconds(), 0.01)
}

func TestClocksThatCantBeReadChangeNothing(t *testing.T) {
	clocks := &fakeClocks{slept: 3 * time.Second}
	useClocks(t, clocks)
	require.Equal(t, 3*time.Second, Suspended())
	clocks.err = errors.New("not supported")
	require.Equal(t, 3*time.Second, Suspended())
}

func TestSystemClocksAreThere(t *testing.T) {
	_, err := readSuspended()
	require.NoError(t, err)
}
