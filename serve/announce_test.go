package serve

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/gateway"
	"github.com/walnutramp/walnutramp/targetconn"
)

// An answer that was in flight when the node began to close connections must announce that.
func TestStoppingNodeAnnouncesTheCloseOnAnswersInFlight(t *testing.T) {
	const grace = 3 * time.Second
	schedule := newShutdownSchedule(grace)
	begun := make(chan struct{})
	handler := func(http.ResponseWriter, *http.Request) {
		close(begun)
		time.Sleep((schedule.closeConns + schedule.reject) / 2)
	}
	e := newTestEntry(gateway.New(balance.NewTracker(), targetconn.NewPool(), balance.NewBudgets(balance.BudgetConfig{}), func() {}), http.HandlerFunc(handler))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	serveInBackground(e.clientServer, l)
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	<-begun
	go e.stop(grace)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.True(t, resp.Close)
}
