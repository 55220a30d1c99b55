package peer

import (
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// maxReplyBytes bounds what a node sends without completing a reply, in bytes.
const maxReplyBytes = 64 << 20

var errReplyTooLong = errors.Newf("node sent more than %d bytes without completing a reply", maxReplyBytes)

// replyLimiter is a connection on which reading fails beyond maxReplyBytes: the decoder would
// read a message of several GiB into memory.
type replyLimiter struct {
	net.Conn
	received atomic.Int64 // since the last reply
}

// Read implements net.Conn.
func (l *replyLimiter) Read(p []byte) (int, error) {
	n, err := l.Conn.Read(p)
	if l.received.Add(int64(n)) > maxReplyBytes {
		return 0, errReplyTooLong
	}
	return n, err
}

// reset is called when a reply is complete.
func (l *replyLimiter) reset() { l.received.Store(0) }
