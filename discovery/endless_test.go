package discovery

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/stretchr/testify/require"
)

// inFlight is the most that connections on the loopback hold, in bytes.
const inFlight = 16 << 20

func TestEndlessListOfInstancesIsNotReadWhole(t *testing.T) {
	var written atomic.Int64
	filler := bytes.Repeat([]byte(" "), 64<<10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprint(w, "{")
		for written.Load() < 16*inFlight {
			n, err := w.Write(filler)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	}))
	defer server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	_, err := NewWatch(resty.New(), server.URL, nil, nil).fetch(ctx)
	require.Error(t, err)
	require.Less(t, written.Load(), int64(maxListBytes+inFlight))
}
