package serve

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/gateway"
	"github.com/walnutramp/walnutramp/quarantine"
	"github.com/walnutramp/walnutramp/targetconn"
)

// A client that reads nothing of its answer must not keep the process beyond its grace period.
func TestStopDoesNotWaitForAClientThatReadsNothing(t *testing.T) {
	const grace = killMargin + 300*time.Millisecond
	writing, ended := make(chan struct{}), make(chan struct{})
	handler := func(w http.ResponseWriter, _ *http.Request) {
		defer close(ended)
		close(writing)
		for piece := make([]byte, 64<<10); ; {
			if _, err := w.Write(piece); err != nil {
				return
			}
		}
	}
	targets := balance.NewTracker()
	pool := targetconn.NewPool()
	e := &entry{
		gateway:      gateway.New(targets, pool, balance.NewBudgets(balance.BudgetConfig{}), func() {}),
		pool:         pool,
		clientServer: (&Process{}).newServer(http.HandlerFunc(handler), 0),
		readyServer:  (&Process{}).newServer(http.NotFoundHandler(), 0),
		quarantine:   quarantine.NewCrashDetector(quarantine.New(), pool.Dial),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	serveInBackground(e.clientServer, l)
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	<-writing
	stopped := time.Now()
	e.stop(grace)
	require.Less(t, time.Since(stopped), grace)
	select {
	case <-ended:
	default:
		require.Fail(t, "the handler has not ended")
	}
}
