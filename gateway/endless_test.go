package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const endlessInterval = 10 * time.Millisecond

// writeEndless writes a chunk at an interval until the connection is closed, or for a time if
// that is positive.
func writeEndless(c net.Conn, text string, interval, span time.Duration) {
	began := time.Now()
	for span <= 0 || time.Since(began) < span {
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			return
		}
		time.Sleep(interval)
	}
}

func TestStreamIsResumedBesideALineThatNeverEnds(t *testing.T) {
	bad := newFakeTarget(t, "i-1", "draft", "north", func(f *fakeTarget, r *http.Request, c net.Conn) {
		streamHead(c, r.Header.Get("X-Id"), "seal-of-"+f.id)
		chunk(c, event(1)+event(2)+event(3)+event(4)+"x")
		writeEndless(c, "x", endlessInterval, 0)
	})
	good := newFakeTarget(t, "i-2", "draft", "south", draft(nil))
	s := newTestSite(t, []*fakeTarget{bad, good}, WithStall(testStall))
	began := time.Now()
	_, body, err := do(t, s.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000"))
	require.NoError(t, err)
	require.Less(t, time.Since(began), 2*time.Second)
	require.Equal(t, wholeDraft(1), body)
	require.Equal(t, "4", good.seen()[0].Header.Get("X-Last"))
}
