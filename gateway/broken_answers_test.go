package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

const (
	uploadSize       = 3900 << 10 // bytes of a request body that no socket buffer holds
	smallReceive     = 16 << 10   // bytes of a receive buffer
	requestsOfUpload = 12
)

// newUploadTarget returns a target whose script reads the request body by itself. receiveBuffer
// is the size of its socket's receive buffer, 0 for the system's.
func newUploadTarget(t *testing.T, id, service string, receiveBuffer int, script func(*fakeTarget, *http.Request, net.Conn)) *fakeTarget {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if receiveBuffer > 0 {
			raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer) })
		}
		return err
	}}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	f := &fakeTarget{id: id, service: service, hall: "north", l: l, script: script}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReaderSize(c, 16) // takes little of the body
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					f.mu.Lock()
					f.requests = append(f.requests, r)
					f.mu.Unlock()
					script(f, r, c)
				}
			}()
		}
	}()
	return f
}

// brokenUpload is an answer without a length whose connection breaks during the upload.
type brokenUpload struct {
	protocol string        // of the status line; HTTP/1.1 unless set
	readNow  int64         // bytes of the request body that are read before the answer
	readNext int64         // bytes of it that are read after the answer
	body     string        // of the answer
	pause    time.Duration // before the connection breaks
	closes   bool          // the connection is closed with unread data rather than reset
}

var brokenUploads = map[string]brokenUpload{
	"reset at once":        {body: "part of an answer"},
	"reset after 20 ms":    {body: "part of an answer", pause: 20 * time.Millisecond},
	"reset after 300 ms":   {body: "part of an answer", pause: 300 * time.Millisecond},
	"part of it read":      {readNow: 50_000, body: "part of an answer", pause: 20 * time.Millisecond},
	"read on after answer": {readNext: 1 << 20, body: "part of an answer"},
	"closed":               {body: "part of an answer", pause: 20 * time.Millisecond, closes: true},
	"no body":              {pause: 20 * time.Millisecond},
	"HTTP/1.0":             {protocol: "HTTP/1.0", body: "part of an answer", pause: 20 * time.Millisecond},
	"long answer":          {body: strings.Repeat("part ", 40_000), pause: 20 * time.Millisecond},
}

func (b brokenUpload) answer(_ *fakeTarget, r *http.Request, c net.Conn) {
	io.CopyN(io.Discard, r.Body, b.readNow)
	protocol := b.protocol
	if protocol == "" {
		protocol = "HTTP/1.1"
	}
	fmt.Fprintf(c, "%s 200 OK\r\nX-Id: %s\r\nContent-Type: text/plain\r\n\r\n%s", protocol, r.Header.Get("X-Id"), b.body)
	io.CopyN(io.Discard, r.Body, b.readNext)
	time.Sleep(b.pause)
	if !b.closes {
		c.(*net.TCPConn).SetLinger(0)
	}
	c.Close()
}

// keptUploads sends uploads to a path, a few at a time, and returns how many got a complete 200.
func (s *testSite) keptUploads(t *testing.T, path string) int64 {
	t.Helper()
	var kept atomic.Int64
	var clients sync.WaitGroup
	body := strings.Repeat("u", uploadSize)
	slots := make(chan struct{}, 4)
	for n := range requestsOfUpload {
		slots <- struct{}{}
		clients.Go(func() {
			defer func() { <-slots }()
			r := s.request(t, "POST", path, body, "X-Deadline", "9000")
			r.Header.Set("X-Id", fmt.Sprintf("attempt-%d", n))
			resp, err := http.DefaultTransport.RoundTrip(r)
			if err != nil {
				return
			}
			defer resp.Body.Close()
			_, err = io.Copy(io.Discard, resp.Body)
			if err == nil && resp.StatusCode == http.StatusOK {
				kept.Add(1)
			}
		})
	}
	clients.Wait()
	return kept.Load()
}

// pathsOfServices are the paths of a plain route that is not retried, and of a stream.
var pathsOfServices = map[string]string{"lookup": "/once/", "draft": "/draft/"}

// An answer without a length that is cut off during the upload must not look complete.
func TestAnswerCutOffDuringTheUploadIsNotComplete(t *testing.T) {
	for name, broken := range brokenUploads {
		for service, path := range pathsOfServices {
			t.Run(name+path, func(t *testing.T) {
				f := newUploadTarget(t, "i-1", service, smallReceive, broken.answer)
				require.Zero(t, newTestSite(t, []*fakeTarget{f}).keptUploads(t, path))
				require.NotEmpty(t, f.seen())
			})
		}
	}
}

func TestRelayedAnswerCutOffDuringTheUploadIsNotComplete(t *testing.T) {
	for service, path := range pathsOfServices {
		t.Run(service, func(t *testing.T) {
			f := newUploadTarget(t, "i-1", service, smallReceive, brokenUploads["reset after 20 ms"].answer)
			s := newRelaySite(t, 1, []*fakeTarget{f})
			s.ingress.cut(syscall.ECONNREFUSED)
			s.ingress.lostPath(t, service)
			require.Zero(t, s.ingress.keptUploads(t, path))
			require.NotEmpty(t, f.seen())
		})
	}
}

// soundUploads are answers that are whole by their own length, or by the end of a connection
// that has taken the whole upload.
var soundUploads = map[string]func(r *http.Request, c net.Conn){
	"early with a length": func(r *http.Request, c net.Conn) {
		fmt.Fprintf(c, "HTTP/1.1 413 X\r\nX-Id: %s\r\nContent-Length: 5\r\n\r\nsound", r.Header.Get("X-Id"))
		io.Copy(io.Discard, r.Body)
	},
	"early with a length, upload not read": func(r *http.Request, c net.Conn) {
		fmt.Fprintf(c, "HTTP/1.1 413 X\r\nX-Id: %s\r\nContent-Length: 5\r\n\r\nsound", r.Header.Get("X-Id"))
		time.Sleep(200 * time.Millisecond)
	},
	"early in chunks": func(r *http.Request, c net.Conn) {
		fmt.Fprintf(c, "HTTP/1.1 413 X\r\nX-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nso\r\n3\r\nund\r\n0\r\n\r\n", r.Header.Get("X-Id"))
		io.Copy(io.Discard, r.Body)
	},
	"early without a length, upload read": func(r *http.Request, c net.Conn) {
		fmt.Fprintf(c, "HTTP/1.1 413 X\r\nX-Id: %s\r\n\r\nsound", r.Header.Get("X-Id"))
		c.(*net.TCPConn).CloseWrite()
		io.Copy(io.Discard, r.Body)
		c.Close()
	},
	"without a length": func(r *http.Request, c net.Conn) {
		io.Copy(io.Discard, r.Body)
		fmt.Fprintf(c, "HTTP/1.1 413 X\r\nX-Id: %s\r\n\r\nsound", r.Header.Get("X-Id"))
		c.Close()
	},
	"after an interim response, with a trailer": func(r *http.Request, c net.Conn) {
		fmt.Fprint(c, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
		io.Copy(io.Discard, r.Body)
		fmt.Fprintf(c, "HTTP/1.1 413 X\r\nX-Id: %s\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nsound\r\n0\r\nX-Sum: 1\r\n\r\n", r.Header.Get("X-Id"))
	},
}

func TestSoundAnswersToUploadsArrive(t *testing.T) {
	for name, answer := range soundUploads {
		for service, path := range pathsOfServices {
			t.Run(name+path, func(t *testing.T) {
				f := newUploadTarget(t, "i-1", service, 0, func(_ *fakeTarget, r *http.Request, c net.Conn) { answer(r, c) })
				s := newTestSite(t, []*fakeTarget{f})
				for range requestsOfUpload {
					resp, body, err := do(t, s.request(t, "POST", path, strings.Repeat("u", uploadSize), "X-Deadline", "9000"))
					require.NoError(t, err)
					require.Equal(t, 413, resp.StatusCode)
					require.Equal(t, "sound", body)
				}
			})
		}
	}
}

// A truncated answer must not look complete to a client for which only the end of the connection
// ends an answer.
func TestTruncatedAnswerIsNotCompleteForAnOlderClient(t *testing.T) {
	for service, script := range map[string]func(*fakeTarget, *http.Request, net.Conn){
		"lookup": func(_ *fakeTarget, r *http.Request, c net.Conn) {
			fmt.Fprintf(c, "HTTP/1.1 200 X\r\nX-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("X-Id"))
			chunk(c, strings.Repeat("x", 2*maxBufferedBody))
			time.Sleep(50 * time.Millisecond)
			c.Close()
		},
		"draft": draft(func(_ *fakeTarget, c net.Conn, n int) bool { return n < 3 }),
	} {
		t.Run(service, func(t *testing.T) {
			t.Parallel()
			s := newTestSite(t, []*fakeTarget{newFakeTarget(t, "i-1", service, "north", script)})
			c := s.dialRaw(t)
			_, err := fmt.Fprint(c, strings.Replace(rawRequest(pathsOfServices[service], "attempt-1"), "HTTP/1.1", "HTTP/1.0", 1))
			require.NoError(t, err)
			resp, err := http.ReadResponse(c.answers, nil)
			require.NoError(t, err)
			_, err = io.ReadAll(resp.Body)
			require.Error(t, err)
		})
	}
}
