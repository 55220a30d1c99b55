package egress

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/respcheck"
	"github.com/walnutramp/walnutramp/peer"
)

const (
	// dialTimeout bounds connecting to an egress.
	dialTimeout = 250 * time.Millisecond
	// pingAfter is the time without a frame after which a connection with requests is
	// tested, and pingTimeout how long the answer may take: a frozen or unreachable node
	// is noticed within the sum.
	pingAfter   = 400 * time.Millisecond
	pingTimeout = 400 * time.Millisecond
)

// Failure is the error of an exchange with an egress.
type Failure struct {
	// Left says that the request may have reached the egress, so that a target may run it.
	Left bool
	Sent Sent // the latest target that the egress has named
	Err  error
}

// Error implements the error interface.
func (f *Failure) Error() string {
	return fmt.Sprintf("exchange with egress failed (left: %v): %v", f.Left, f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Client sends requests through other nodes. It opens a connection to a node when it first
// sends one there, and closes it when it is idle.
type Client struct {
	transport *http.Transport
}

// NewClient returns a client that connects with dial and identifies as self.
func NewClient(self peer.Identity, dial peer.DialFunc, traffic *peer.Traffic) *Client {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &Client{transport: &http.Transport{
		Protocols: protocols, IdleConnTimeout: idleTimeout, DisableCompression: true,
		HTTP2: &http.HTTP2Config{MaxReceiveBufferPerStream: streamBuffer, SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return connect(ctx, self, dial, address, traffic)
		},
	}}
}

// connect opens an identified connection. The node's name is its address.
func connect(ctx context.Context, self peer.Identity, dial peer.DialFunc, address string, traffic *peer.Traffic) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c, err := self.Connect(ctx, raw, walnutramp.NodeName(address), traffic)
	if err != nil {
		raw.Close()
		return nil, err
	}
	return c, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do sends a request to a node. It returns the answer of a target, or an End without
// Result Answered if there is none. It is sent once: the error, of type *Failure, says
// whether it may have left. The exchange is canceled when ctx ends, and the answer must be
// closed.
func (c *Client) Do(ctx context.Context, node string, r *Request, body []byte) (*Answer, *End, error) {
	message, err := appendMessage(nil, frameRequest, r)
	if err != nil {
		return nil, nil, &Failure{Err: err}
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	payload := io.MultiReader(bytes.NewReader(message), bytes.NewReader(body))
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+path, payload)
	if err != nil {
		return nil, nil, &Failure{Err: err}
	}
	post.ContentLength = int64(len(message) + len(body))
	resp, err := c.transport.RoundTrip(post)
	if err != nil {
		return nil, nil, &Failure{Left: connected.Load(), Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, nil, &Failure{Err: errors.Newf("status %d", resp.StatusCode)}
	}
	var sent Sent
	answer, end, err := readHead(resp.Body, &sent)
	if answer == nil {
		resp.Body.Close()
	}
	if err != nil {
		return nil, nil, &Failure{Left: true, Sent: sent, Err: err}
	}
	return answer, end, nil
}

// readHead reads the messages of a response up to its head or end, and sets sent to the last
// one of its kind.
func readHead(body io.ReadCloser, sent *Sent) (*Answer, *End, error) {
	for {
		kind, size, err := readFrameHeader(body)
		if err != nil {
			return nil, nil, err
		}
		switch kind {
		case frameSent:
			*sent = Sent{}
			if err := readMessage(body, size, sent); err != nil {
				return nil, nil, err
			}
		case frameHead:
			return readAnswer(body, size, sent)
		case frameEnd:
			end := &End{}
			return nil, end, readMessage(body, size, end)
		default:
			return nil, nil, errFrame
		}
	}
}

// readAnswer reads a head. If it is malformed, which an egress of another build may not notice,
// sent is set to the target that it names.
func readAnswer(body io.ReadCloser, size int, sent *Sent) (*Answer, *End, error) {
	a := &Answer{body: body}
	if err := readMessage(body, size, &a.Head); err != nil {
		return nil, nil, err
	}
	if err := respcheck.Final(a.Status, a.Header); err != nil {
		*sent = Sent{Target: a.Target, DataHall: a.DataHall}
		return nil, nil, err
	}
	return a, nil, nil
}

// Answer is the answer of a target that comes through an egress.
type Answer struct {
	Head
	body      io.ReadCloser
	remaining int  // payload bytes of the current Data frame
	ended     *End // nil until it was read
}

// Read implements io.Reader. It returns io.EOF only at the end of a complete answer; End
// says why another one broke off, if the egress did.
func (a *Answer) Read(p []byte) (int, error) {
	for a.remaining == 0 {
		if a.ended != nil {
			return 0, a.endError()
		}
		if err := a.nextFrame(); err != nil {
			return 0, err
		}
	}
	n, err := a.body.Read(p[:min(len(p), a.remaining)])
	a.remaining -= n
	if err == io.EOF && n > 0 {
		err = nil
	}
	return n, unexpected(err)
}

func (a *Answer) nextFrame() error {
	kind, size, err := readFrameHeader(a.body)
	if err != nil {
		return unexpected(err)
	}
	switch kind {
	case frameData:
		a.remaining = size
		return nil
	case frameEnd:
		end := &End{}
		if err := readMessage(a.body, size, end); err != nil {
			return unexpected(err)
		}
		a.ended = end
		return nil
	}
	return errFrame
}

// unexpected replaces io.EOF, which is the end of a truncated response.
func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// errBroken is the error of an answer that its target did not complete.
var errBroken = errors.New("target did not complete the answer")

func (a *Answer) endError() error {
	if a.ended.Result == Answered {
		return io.EOF
	}
	return errBroken
}

// End returns the last message, or nil if it was not received.
func (a *Answer) End() *End { return a.ended }

// Close ends the exchange. It cancels the request unless the answer was read to its end.
func (a *Answer) Close() { a.body.Close() }
