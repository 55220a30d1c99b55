package wholeconn

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// halfOpenConn is a connection whose peer has closed its side: reads return io.EOF. A write
// returns once it gets its result.
type halfOpenConn struct {
	net.Conn
	entered chan struct{}
	results chan error
}

func newHalfOpenConn() *halfOpenConn {
	return &halfOpenConn{entered: make(chan struct{}, 1), results: make(chan error, 1)}
}

func (c *halfOpenConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *halfOpenConn) Write(p []byte) (int, error) {
	c.entered <- struct{}{}
	return len(p), <-c.results
}

func readError(c *Conn) error {
	_, err := c.Read(make([]byte, 1))
	return err
}

func TestReadReturnsTheErrorOfAFailedWrite(t *testing.T) {
	raw := newHalfOpenConn()
	c := New(raw)
	require.Equal(t, io.EOF, readError(c))
	raw.results <- syscall.ECONNRESET
	_, err := c.Write([]byte("upload"))
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.ErrorIs(t, readError(c), syscall.ECONNRESET)
	<-raw.entered
	raw.results <- nil
	_, err = c.Write([]byte("more"))
	require.NoError(t, err)
	require.ErrorIs(t, readError(c), syscall.ECONNRESET, "the connection stays broken")
}

func TestReadAwaitsTheWriteUnderWay(t *testing.T) {
	for name, failure := range map[string]error{"fails": syscall.ECONNRESET, "succeeds": nil} {
		t.Run(name, func(t *testing.T) {
			raw := newHalfOpenConn()
			c := New(raw)
			go c.Write([]byte("upload"))
			<-raw.entered
			time.AfterFunc(50*time.Millisecond, func() { raw.results <- failure })
			err := readError(c)
			if failure == nil {
				require.Equal(t, io.EOF, err)
				return
			}
			require.ErrorIs(t, err, failure)
		})
	}
}

func TestReadEndsBesideAWriteThatDoesNotReturn(t *testing.T) {
	raw := newHalfOpenConn()
	c := New(raw)
	go c.Write([]byte("upload"))
	<-raw.entered
	began := time.Now()
	require.ErrorIs(t, readError(c), errUnread)
	require.Less(t, time.Since(began), 2*lingerTimeout)
	raw.results <- errors.New("closed")
}
