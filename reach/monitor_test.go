package reach

import (
	"context"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeTargets accept, refuse or ignore dials.
type fakeTargets struct {
	mu     sync.Mutex
	names  []string
	err    map[string]error // of a dial, by target; nil accepts
	silent bool             // dials are not answered
	dials  []string
}

func (f *fakeTargets) DialTargets(_ string, n int) (targets []Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range f.names[:min(n, len(f.names))] {
		targets = append(targets, Target{Name: name})
	}
	f.names = append(f.names[min(1, len(f.names)):], f.names[:min(1, len(f.names))]...)
	return targets
}

func (f *fakeTargets) Dial(ctx context.Context, t Target, _ time.Duration) error {
	f.mu.Lock()
	f.dials = append(f.dials, t.Name)
	silent, err := f.silent, f.err[t.Name]
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return os.ErrDeadlineExceeded
	}
	time.Sleep(time.Millisecond)
	return err
}

// set changes what targets do.
func (f *fakeTargets) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeTargets) refuseAll() {
	f.set(func() {
		for _, name := range f.names {
			f.err[name] = syscall.ECONNREFUSED
		}
	})
}

func (f *fakeTargets) dialed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.dials)
}

func newFakeTargets(names ...string) *fakeTargets {
	return &fakeTargets{names: names, err: map[string]error{}}
}

func TestPathIsLostIfNoTargetAccepts(t *testing.T) {
	for name, lose := range map[string]func(*fakeTargets){
		"refused": (*fakeTargets).refuseAll,
		"silent":  func(f *fakeTargets) { f.set(func() { f.silent = true }) },
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeTargets("1", "2", "3", "4")
			lost := 0
			m := New(f, WithOnLost(func(string) { lost++ }))
			defer m.Close()
			lose(f)
			began := time.Now()
			m.Suspect("s")
			state := m.Await(t.Context(), "s")
			require.True(t, state.Lost, name)
			require.Equal(t, name == "refused", state.Refused)
			require.Less(t, time.Since(began), 400*time.Millisecond)
			require.False(t, m.State("other").Lost)
			synctest.Wait()
			require.Equal(t, 1, lost)
		})
	}
}

// One target that fails, and a dial that is not answered, must not be taken for a lost path.
func TestOneAcceptedDialShowsThatThePathStands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTargets("1", "2", "3", "4")
		m := New(f)
		defer m.Close()
		require.True(t, m.Verify(t.Context(), "s"))
		require.Equal(t, 1, f.dialed(), "the others need not be dialed")
		f.set(func() {
			f.err["1"], f.err["2"], f.err["3"] = syscall.ECONNREFUSED, os.ErrDeadlineExceeded, syscall.ECONNREFUSED
		})
		for range 4 {
			require.True(t, m.Verify(t.Context(), "s"))
		}
	})
}

func TestSignsInARowStartFewChecks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTargets("1", "2", "3")
		m := New(f)
		defer m.Close()
		for range 1000 {
			m.Suspect("s")
			time.Sleep(time.Millisecond)
		}
		require.LessOrEqual(t, f.dialed(), 11)
	})
}

// The path must be found again within a second, and not while targets only accept now and
// then.
func TestPathRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTargets("1", "2", "3")
		recovered := 0
		m := New(f, WithOnRecovered(func(string, time.Time) { recovered++ }))
		defer m.Close()
		f.refuseAll()
		require.False(t, m.Verify(t.Context(), "s"))
		f.set(func() { f.err["1"] = nil })
		before := f.dialed()
		time.Sleep(10 * time.Second)
		require.True(t, m.State("s").Lost, "two of three targets refuse")
		require.LessOrEqual(t, f.dialed()-before, 40, "probes are few")
		f.set(func() { clear(f.err) })
		time.Sleep(time.Second)
		synctest.Wait()
		require.False(t, m.State("s").Lost)
		require.Equal(t, 1, recovered)
		before = f.dialed()
		time.Sleep(10 * time.Second)
		require.Equal(t, before, f.dialed(), "probes end")
	})
}

// A probe that is not answered must not delay the next one.
func TestSilentPathRecoversWithTheNextProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTargets("1")
		f.silent = true
		m := New(f)
		defer m.Close()
		require.False(t, m.Verify(t.Context(), "s"))
		before := f.dialed()
		for f.dialed() == before {
			time.Sleep(time.Millisecond)
		}
		f.set(func() { f.silent = false })
		time.Sleep(probeInterval + confirmInterval + 10*time.Millisecond)
		synctest.Wait()
		require.False(t, m.State("s").Lost)
	})
}

func TestPathWithoutTargetsStands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTargets("1")
		m := New(f)
		defer m.Close()
		f.refuseAll()
		require.False(t, m.Verify(t.Context(), "s"))
		f.set(func() { f.names = nil })
		time.Sleep(time.Second)
		require.False(t, m.State("s").Lost, "its targets are gone")
		require.True(t, m.Verify(t.Context(), "s"))
		require.False(t, slices.Contains(f.dials, "2"))
	})
}
