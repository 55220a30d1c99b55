package peer

import (
	"context"
	"io"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
)

// Addresses tells where nodes answer their peers.
type Addresses interface {
	// Address returns a node's peer address, a numeric host:port.
	Address(node walnutramp.NodeName) (string, bool)
}

// Client calls other nodes, over one connection to each.
type Client struct {
	self      Identity
	dial      DialFunc
	addresses Addresses
	traffic   *Traffic

	mu     sync.Mutex
	closed bool
	swept  time.Time // when idle connections were last closed
	remote map[walnutramp.NodeName]*remote
}

// remote is the connection to one node.
type remote struct {
	node    walnutramp.NodeName
	dialing chan struct{} // held while one caller dials

	mu      sync.Mutex
	address string
	client  *rpc.Client
	calls   int       // under way
	used    time.Time // by the newest call
	heard   time.Time // when an answer last came
	failed  time.Time // when dialling last failed
}

// NewClient returns a client that dials on demand.
func NewClient(self Identity, dial DialFunc, addresses Addresses, traffic *Traffic) *Client {
	return &Client{self: self, dial: dial, addresses: addresses, traffic: traffic, remote: map[walnutramp.NodeName]*remote{}}
}

// Call runs a method at a node. When ctx ends first the call may still run
// there.
func (c *Client) Call(ctx context.Context, node walnutramp.NodeName, method string, args, reply any) error {
	r, err := c.to(node)
	if err != nil {
		return err
	}
	defer r.done()
	conn, err := r.connect(ctx, c)
	if err != nil {
		return err
	}
	// A late answer is decoded after the caller has gone on, so it gets a
	// reply of its own.
	fresh := reflect.New(reflect.TypeOf(reply).Elem())
	call := conn.Go(method, args, fresh.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return r.answered(conn, call, reply, fresh)
	case <-ctx.Done():
		r.unanswered(conn)
		return ctx.Err()
	}
}

func (r *remote) answered(conn *rpc.Client, call *rpc.Call, reply any, fresh reflect.Value) error {
	if call.Error != nil && !isServerError(call.Error) {
		r.drop(conn)
		return call.Error
	}
	r.mu.Lock()
	r.heard = time.Now()
	r.mu.Unlock()
	if call.Error == nil {
		reflect.ValueOf(reply).Elem().Set(fresh.Elem())
	}
	return call.Error
}

// unanswered drops a connection on which nothing has been heard for long.
func (r *remote) unanswered(conn *rpc.Client) {
	r.mu.Lock()
	stuck := time.Since(r.heard) >= stuckAfter
	r.mu.Unlock()
	if stuck {
		r.drop(conn)
	}
}

func isServerError(err error) bool {
	var s rpc.ServerError
	return errors.As(err, &s)
}

// to returns the way to a node with a call counted in.
func (c *Client) to(node walnutramp.NodeName) (*remote, error) {
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
	r.use()
	return r, nil
}

// use counts a call in.
func (r *remote) use() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
}

// done counts a call out.
func (r *remote) done() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls--
	r.used = time.Now()
}

// closeIdle closes connections that nothing has used for a while, so that a
// node does not keep one to every other that it once probed. The caller holds
// the client's mutex.
func (c *Client) closeIdle(now time.Time) {
	if now.Sub(c.swept) < idleLimit {
		return
	}
	c.swept = now
	for node, r := range c.remote {
		if r.closeIdle(now) {
			delete(c.remote, node)
		}
	}
}

func (r *remote) closeIdle(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calls > 0 || now.Sub(r.used) < idleLimit {
		return false
	}
	if r.client != nil {
		r.client.Close()
		r.client = nil
	}
	return true
}

// connect returns the open connection, or dials.
func (r *remote) connect(ctx context.Context, c *Client) (*rpc.Client, error) {
	address, ok := c.addresses.Address(r.node)
	if !ok {
		return nil, errors.Newf("no address is known for node %s", r.node)
	}
	if conn, err := r.open(address); conn != nil || err != nil {
		return conn, err
	}
	select {
	case r.dialing <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-r.dialing }()
	if conn, err := r.open(address); conn != nil || err != nil {
		return conn, err
	}
	return r.dial(ctx, c, address)
}

// open returns the connection if there is one, or an error if dialling has
// just failed.
func (r *remote) open(address string) (*rpc.Client, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.client != nil && r.address == address {
		return r.client, nil
	}
	if time.Since(r.failed) < redialPause {
		return nil, errors.Newf("node %s did not answer just now", r.node)
	}
	return nil, nil
}

func (r *remote) dial(ctx context.Context, c *Client, address string) (*rpc.Client, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		r.noteFailed()
		return nil, err
	}
	counted := &countingConn{Conn: conn, traffic: c.traffic, writeLimit: writeTimeout}
	secured, err := c.self.connect(ctx, counted, r.node)
	var ready io.ReadWriteCloser
	if err == nil {
		ready, err = exchangeHello(ctx, secured, c.self, r.node)
	}
	if err != nil {
		conn.Close()
		r.noteFailed()
		return nil, err
	}
	client := rpc.NewClient(ready)
	if !c.keep(r, client, address) {
		client.Close()
		return nil, errors.New("client closed")
	}
	return client, nil
}

func (r *remote) noteFailed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = time.Now()
}

// keep makes a connection the one to use, unless the client was closed
// meanwhile.
func (c *Client) keep(r *remote, client *rpc.Client, address string) bool {
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
	r.client = client
	r.address = address
	r.heard = time.Now()
	return true
}

func (r *remote) drop(conn *rpc.Client) {
	conn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.client == conn {
		r.client = nil
	}
}

// Close breaks every connection; calls under way fail.
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
