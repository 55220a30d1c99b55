package quarantine

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
)

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, network, address)
}

func listener(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return l
}

func breakAt(l net.Listener) BrokenConn {
	return BrokenConn{Request: "r", Content: culprit, Target: l.Addr().String(), Address: l.Addr().String(), Standing: Begun, Sent: time.Now()}
}

// A broken connection to a target that still listens is not a crash; one to a target that
// has exited is.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	w := NewCrashDetector(New(), dial)
	defer w.Close()
	<-w.StartProbe(breakAt(listener(t))).done
	require.False(t, w.Suspect(culprit))

	exited := listener(t)
	exited.Close()
	<-w.StartProbe(breakAt(exited)).done
	require.True(t, w.Suspect(culprit))
}

func TestSecondProbeDetectsExit(t *testing.T) {
	w := NewCrashDetector(New(), dial)
	defer w.Close()
	ending := listener(t)
	time.AfterFunc(probeInterval/3, func() { ending.Close() })
	<-w.StartProbe(breakAt(ending)).done
	require.True(t, w.Suspect(culprit))
}

func TestSettledRunsAndClosedDetectorsDoNotProbe(t *testing.T) {
	w := NewCrashDetector(New(), dial)
	b := breakAt(listener(t))
	b.Standing = Settled
	require.Nil(t, w.StartProbe(b))
	w.Close()
	require.Nil(t, w.StartProbe(breakAt(listener(t))))
}

func TestErrorsOfQuarantinedContents(t *testing.T) {
	w := NewCrashDetector(New(WithReportDelay(0)), dial)
	defer w.Close()
	require.Nil(t, w.CheckNew(culprit))
	require.Nil(t, w.CheckRetry(nil, culprit))
	for range 3 {
		exited := listener(t)
		exited.Close()
		require.Nil(t, w.CheckNew(culprit))
		time.Sleep(2 * time.Millisecond) // the next run must be sent after the previous crash
		probe := w.StartProbe(breakAt(exited))
		w.CheckRetry(probe, culprit) // must return, whether or not the content is a suspect yet
		<-probe.done
	}
	refused := w.CheckNew(culprit)
	require.Equal(t, walnutramp.CodeQuarantined, refused.Code)
	require.Equal(t, walnutramp.NotRun, refused.Outcome)
	require.InDelta(t, retention.Seconds(), refused.RetryAfter.Seconds(), 5)
	stopped := w.CheckRetry(nil, culprit)
	require.Equal(t, walnutramp.CodeCrashesTargets, stopped.Code)
	require.Equal(t, walnutramp.Unknown, stopped.Outcome)
}
