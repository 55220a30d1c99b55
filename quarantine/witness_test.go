package quarantine

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
)

func dialNow(ctx context.Context, network, address string) (net.Conn, error) {
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

func breakAt(l net.Listener) Break {
	return Break{Request: "r", Content: fatal, Target: l.Addr().String(), Address: l.Addr().String(), Standing: Begun, Sent: time.Now()}
}

// A connection that broke off is an end only where nobody listens any more.
func TestLostAnswerIsNoEnd(t *testing.T) {
	w := NewWitness(New(), dialNow)
	defer w.Close()
	<-w.Broke(breakAt(listener(t))).done
	require.False(t, w.Suspect(fatal))

	gone := listener(t)
	gone.Close()
	<-w.Broke(breakAt(gone)).done
	require.True(t, w.Suspect(fatal))
}

func TestTargetThatStopsListeningLaterHasEnded(t *testing.T) {
	w := NewWitness(New(), dialNow)
	defer w.Close()
	ending := listener(t)
	time.AfterFunc(lookPause/3, func() { ending.Close() })
	<-w.Broke(breakAt(ending)).done
	require.True(t, w.Suspect(fatal))
}

func TestSettledRunsAndClosedWitnessesDoNotLook(t *testing.T) {
	w := NewWitness(New(), dialNow)
	b := breakAt(listener(t))
	b.Standing = Settled
	require.Nil(t, w.Broke(b))
	w.Close()
	require.Nil(t, w.Broke(breakAt(listener(t))))
}

func TestAnswersOfHeldContents(t *testing.T) {
	w := NewWitness(New(WithHear(0)), dialNow)
	defer w.Close()
	require.Nil(t, w.Refuse(fatal))
	require.Nil(t, w.Stop(nil, fatal))
	for range 3 {
		gone := listener(t)
		gone.Close()
		require.Nil(t, w.Refuse(fatal))
		time.Sleep(2 * time.Millisecond)
		look := w.Broke(breakAt(gone))
		w.Stop(look, fatal)
		<-look.done
	}
	refused := w.Refuse(fatal)
	require.Equal(t, walnutramp.CodeHeldBack, refused.Code)
	require.Equal(t, walnutramp.NotRun, refused.Outcome)
	require.InDelta(t, memoryTime.Seconds(), refused.RetryAfter.Seconds(), 5)
	stopped := w.Stop(nil, fatal)
	require.Equal(t, walnutramp.CodeEndsTargets, stopped.Code)
	require.Equal(t, walnutramp.Unknown, stopped.Outcome)
}
