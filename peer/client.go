package peer

import (
	"context"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
)

// Addresses resolves the peer addresses of nodes.
type Addresses interface {
	// Address returns a node's peer address, a numeric host:port.
	Address(node walnutramp.NodeName) (string, bool)
}

// Client makes RPC calls to other nodes, over one connection per node.
type Client struct {
	self      Identity
	dial      DialFunc
	addresses Addresses
	traffic   *Traffic

	mu        sync.Mutex
	closed    bool
	lastSweep time.Time // time of the last closeIdle
	remote    map[walnutramp.NodeName]*remote
}

// remote is the connection to one node.
type remote struct {
	node    walnutramp.NodeName
	dialing chan struct{} // held while one caller dials

	mu              sync.Mutex
	address         string
	client          *rpc.Client
	replies         *replyLimiter // of the client's connection
	activeCalls     int           // calls in progress
	lastUsed        time.Time     // end of the last call
	lastReply       time.Time     // time of the last reply
	lastDialFailure time.Time     // time of the last failed dial
}

// NewClient returns a client that dials on demand.
func NewClient(self Identity, dial DialFunc, addresses Addresses, traffic *Traffic) *Client {
	return &Client{self: self, dial: dial, addresses: addresses, traffic: traffic, remote: map[walnutramp.NodeName]*remote{}}
}

// Call invokes a method at a node. If ctx ends first or the connection breaks, the call
// may still run there, or may have run.
func (c *Client) Call(ctx context.Context, node walnutramp.NodeName, method string, args, reply any) error {
	r, err := c.acquire(node)
	if err != nil {
		return err
	}
	defer r.endCall()
	conn, err := r.connect(ctx, c)
	if err != nil {
		return err
	}
	// A late reply is decoded after Call has returned, so it is decoded into a
	// separate value.
	ownReply := reflect.New(reflect.TypeOf(reply).Elem())
	call := conn.Go(method, args, ownReply.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return r.handleReply(conn, call, reply, ownReply)
	case <-ctx.Done():
		r.handleTimeout(conn)
		return ctx.Err()
	}
}

func (r *remote) handleReply(conn *rpc.Client, call *rpc.Call, reply any, ownReply reflect.Value) error {
	if call.Error != nil && !isServerError(call.Error) {
		r.discard(conn)
		return call.Error
	}
	r.mu.Lock()
	r.lastReply = time.Now()
	if r.client == conn {
		r.replies.reset()
	}
	r.mu.Unlock()
	if call.Error == nil {
		reflect.ValueOf(reply).Elem().Set(ownReply.Elem())
	}
	return call.Error
}

// handleTimeout closes the connection of a call that timed out, if it has received no
// reply for silenceTimeout.
func (r *remote) handleTimeout(conn *rpc.Client) {
	r.mu.Lock()
	unresponsive := time.Since(r.lastReply) >= silenceTimeout
	r.mu.Unlock()
	if unresponsive {
		r.discard(conn)
	}
}

func isServerError(err error) bool {
	var s rpc.ServerError
	return errors.As(err, &s)
}

// acquire returns the connection state of a node, with the new call counted.
func (c *Client) acquire(node walnutramp.NodeName) (*remote, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.New("client closed")
	}
	c.closeIdle(time.Now())
	r := c.remote[node]
	if r == nil {
		r = &remote{node: node, dialing: make(chan struct{}, 1)}
		c.remote[node] = r
	}
	r.addCall()
	return r, nil
}

// addCall counts a new call.
func (r *remote) addCall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeCalls++
}

// endCall counts the end of a call.
func (r *remote) endCall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeCalls--
	r.lastUsed = time.Now()
}

// closeIdle closes idle connections, so that a node does not keep one to every other
// node it has probed. The caller holds the client's mutex.
func (c *Client) closeIdle(now time.Time) {
	if now.Sub(c.lastSweep) < idleTimeout {
		return
	}
	c.lastSweep = now
	for node, r := range c.remote {
		if r.closeIdle(now) {
			delete(c.remote, node)
		}
	}
}

func (r *remote) closeIdle(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.activeCalls > 0 || now.Sub(r.lastUsed) < idleTimeout {
		return false
	}
	if r.client != nil {
		r.client.Close()
		r.client = nil
	}
	return true
}

// connect returns the open connection, or dials a new one.
func (r *remote) connect(ctx context.Context, c *Client) (*rpc.Client, error) {
	address, ok := c.addresses.Address(r.node)
	if !ok {
		return nil, errors.Newf("no address known for node %s", r.node)
	}
	if conn, err := r.openConn(address); conn != nil || err != nil {
		return conn, err
	}
	select {
	case r.dialing <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-r.dialing }()
	if conn, err := r.openConn(address); conn != nil || err != nil {
		return conn, err
	}
	return r.dial(ctx, c, address)
}

// openConn returns the connection to an address; nil if there is none, with an error
// within redialDelay of a failed dial.
func (r *remote) openConn(address string) (*rpc.Client, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.client != nil && r.address == address {
		return r.client, nil
	}
	if time.Since(r.lastDialFailure) < redialDelay {
		return nil, errors.Newf("node %s is unreachable: last dial failed less than %v ago", r.node, redialDelay)
	}
	return nil, nil
}

func (r *remote) dial(ctx context.Context, c *Client, address string) (*rpc.Client, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		r.recordDialFailure()
		return nil, err
	}
	stream, err := c.self.Connect(ctx, conn, r.node, c.traffic)
	if err != nil {
		conn.Close()
		r.recordDialFailure()
		return nil, err
	}
	replies := &replyLimiter{Conn: stream}
	client := rpc.NewClient(replies)
	if !c.setConn(r, client, replies, address) {
		client.Close()
		return nil, errors.New("client closed")
	}
	return client, nil
}

func (r *remote) recordDialFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastDialFailure = time.Now()
}

// setConn replaces the connection of a node. It returns false if the client was closed
// meanwhile.
func (c *Client) setConn(r *remote, client *rpc.Client, replies *replyLimiter, address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.client != nil {
		r.client.Close()
	}
	r.client, r.replies = client, replies
	r.address = address
	r.lastReply = time.Now()
	return true
}

func (r *remote) discard(conn *rpc.Client) {
	conn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.client == conn {
		r.client = nil
	}
}

// Close closes all connections. Calls in progress and later ones fail.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	remotes := c.remote
	c.remote = map[walnutramp.NodeName]*remote{}
	c.mu.Unlock()
	for _, r := range remotes {
		r.mu.Lock()
		if r.client != nil {
			r.client.Close()
			r.client = nil
		}
		r.mu.Unlock()
	}
}
