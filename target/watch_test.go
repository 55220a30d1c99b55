package target_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/target"
)

type discardSink struct{}

func (discardSink) Report(walnutramp.TargetName, target.LoadReport) {}
func (discardSink) Unreachable(walnutramp.TargetName)               {}

// A dial may succeed just after the poller was closed: its connection must not leak.
func TestPollerClosedDuringDialClosesTheConnection(t *testing.T) {
	near, far := net.Pipe()
	require.NoError(t, far.SetReadDeadline(time.Now().Add(5*time.Second)))
	dialing := make(chan struct{})
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		close(dialing)
		<-ctx.Done()
		return near, nil
	}
	w := target.NewLoadPoller(target.NewPool(dial), discardSink{}, time.Hour, 1)
	w.Apply([]bundle.Target{{Name: "desk", Kind: bundle.KindService, Address: "10.0.0.1:80"}})
	<-dialing
	w.Close()
	_, err := far.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "the connection is still open")
}
