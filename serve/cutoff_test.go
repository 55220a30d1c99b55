package serve

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/gateway"
	"github.com/walnutramp/walnutramp/quarantine"
	"github.com/walnutramp/walnutramp/targetconn"
)

// A shutdown that returns before the requests it cuts off have ended loses their log lines.
func TestShutdownWaitsForRequestsItCutsOff(t *testing.T) {
	const (
		grace  = killMargin + 100*time.Millisecond
		ending = 20 * time.Millisecond // of a request that is cut off
	)
	begun := make(chan struct{})
	var ended atomic.Bool
	handler := func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
		time.Sleep(ending)
		ended.Store(true)
	}
	targets := balance.NewTracker()
	pool := targetconn.NewPool()
	e := &entry{
		gateway:      gateway.New(targets, pool, balance.NewBudgets(balance.BudgetConfig{}), func() {}),
		pool:         pool,
		clientServer: newServer(http.HandlerFunc(handler)),
		readyServer:  newServer(http.NotFoundHandler()),
		quarantine:   quarantine.NewCrashDetector(quarantine.New(), pool.Dial),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	serveInBackground(e.clientServer, l)
	go http.Get("http://" + l.Addr().String())
	<-begun
	stopped := time.Now()
	e.stop(grace)
	require.True(t, ended.Load(), "the request had not ended")
	require.Less(t, time.Since(stopped), grace)
}
