package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/caller"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/target"
	"k8s.io/klog/v2"
)

// Peers calls other nodes, and this one where it is a member itself.
type Peers interface {
	// Call runs a method of a node's service and fills reply.
	Call(ctx context.Context, node walnutramp.NodeName, method string, args, reply any) error
}

// Times of a node's dealings with the control group.
const (
	renewWait   = 1 * time.Second // how long the leader may wait for news
	renewLimit  = 2500 * time.Millisecond
	renewPause  = 100 * time.Millisecond
	commandTime = 3 * time.Second // until a command is given up
	tryTime     = 1 * time.Second // of one call of a command
	tryPause    = 50 * time.Millisecond

	// LeaseTime is how long a node may take new work after it asked for the
	// word that its bundle is the newest.
	LeaseTime = 3 * time.Second
)

// Client is a node's way to the control group. It keeps the newest bundle
// with its lease, and implements caller.Ledger.
type Client struct {
	peers   Peers
	members []walnutramp.NodeName
	inForce func(*bundle.Bundle)

	mu     sync.Mutex
	leader walnutramp.NodeName // last known, or empty
	doc    []byte
	have   uint64
	until  time.Time // end of the lease

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// NewClient returns a client of the group; inForce is told of every bundle
// that comes into force.
func NewClient(peers Peers, members []walnutramp.NodeName, inForce func(*bundle.Bundle)) *Client {
	c := &Client{peers: peers, members: members, inForce: inForce}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Start begins renewing the lease; Close ends it.
func (c *Client) Start() {
	c.tasks.Add(1)
	go func() {
		defer c.tasks.Done()
		c.renewAlways()
	}()
}

// Close ends renewing and every side job.
func (c *Client) Close() {
	c.cancel()
	c.tasks.Wait()
}

// InForce reports whether the node holds the lease: it may take new work.
func (c *Client) InForce() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.until)
}

// Version returns the version in force here; 0 before the first.
func (c *Client) Version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.have
}

func (c *Client) renewAlways() {
	for c.ctx.Err() == nil {
		if !c.renew() {
			pause.For(c.ctx, renewPause)
		}
	}
}

// renew asks the leader once. The lease counts from before the question, so
// the time that the leader waits for news shortens it.
func (c *Client) renew() bool {
	ctx, cancel := context.WithTimeout(c.ctx, renewLimit)
	defer cancel()
	wait := renewWait
	if !c.InForce() {
		wait = 0
	}
	asked := time.Now()
	var reply NewestReply
	args := NewestArgs{Have: c.Version(), Wait: wait}
	if err := c.peers.Call(ctx, c.target(), Service+".Newest", args, &reply); err != nil {
		c.forgetLeader("")
		return false
	}
	if reply.Code != walnutramp.CodeOK {
		c.forgetLeader(reply.Leader)
		return false
	}
	return c.take(reply, asked)
}

// target returns whom to ask: the leader if known, else any member.
func (c *Client) target() walnutramp.NodeName {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == "" {
		c.leader = c.members[rand.IntN(len(c.members))]
	}
	return c.leader
}

func (c *Client) forgetLeader(hint walnutramp.NodeName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = ""
	if slices.Contains(c.members, hint) {
		c.leader = hint
	}
}

// take puts a newer bundle in force and extends the lease.
func (c *Client) take(r NewestReply, asked time.Time) bool {
	c.mu.Lock()
	doc, have := c.doc, c.have
	c.mu.Unlock()
	if r.Version < have {
		return false // an older leader's word; versions never go back
	}
	if r.Version > have {
		next, err := advance(doc, r)
		if err != nil {
			klog.ErrorS(err, "Bundle not taken", "version", r.Version)
			return c.takeWhole()
		}
		b, err := bundle.Decode(next)
		if err != nil || bundle.Digest(next) != r.Digest {
			klog.ErrorS(err, "Bundle not taken", "version", r.Version)
			return false
		}
		c.inForce(b)
		doc = next
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.doc, c.have = doc, r.Version
	c.until = asked.Add(LeaseTime)
	return true
}

// advance returns the newest document from what a node holds and the answer.
func advance(doc []byte, r NewestReply) ([]byte, error) {
	if r.Doc != nil {
		return r.Doc, nil
	}
	for i := range r.Deltas {
		var err error
		if doc, err = r.Deltas[i].Apply(doc); err != nil {
			return nil, err
		}
	}
	return doc, nil
}

// takeWhole asks for the whole document after a delta did not fit.
func (c *Client) takeWhole() bool {
	ctx, cancel := context.WithTimeout(c.ctx, renewLimit)
	defer cancel()
	asked := time.Now()
	var reply NewestReply
	err := c.peers.Call(ctx, c.target(), Service+".Newest", NewestArgs{}, &reply)
	if err != nil || reply.Code != walnutramp.CodeOK || reply.Doc == nil {
		return false
	}
	return c.take(reply, asked)
}

// do sends a command until a leader has answered or time is up. The command
// may be sent more than once, so it must bear that.
func (c *Client) do(ctx context.Context, method string, args any) (Result, *walnutramp.Error) {
	ctx, cancel := context.WithTimeout(ctx, commandTime)
	defer cancel()
	for {
		var reply DoReply
		tryCtx, cancelTry := context.WithTimeout(ctx, tryTime)
		err := c.peers.Call(tryCtx, c.target(), Service+method, args, &reply)
		cancelTry()
		switch {
		case err != nil:
			c.forgetLeader("")
		case reply.Code == walnutramp.CodeOK:
			return reply.Result, nil
		case reply.Code == walnutramp.CodeBundleInvalid, reply.Code == walnutramp.CodeBundleSignature:
			return Result{}, walnutramp.NewError(reply.Code, walnutramp.NotRun, "%s", reply.Code.Info().Text)
		default:
			c.forgetLeader(reply.Leader)
		}
		if !pause.For(ctx, tryPause) {
			return Result{}, walnutramp.NewError(walnutramp.CodeLedgerAway, walnutramp.NotRun,
				"the control group did not answer in %v", commandTime).WithRetryAfter(time.Second)
		}
	}
}

// Claim implements caller.Ledger. Where it fails the claim may yet stand, so
// it is settled as not run in the background: this node never sends it.
func (c *Client) Claim(ctx context.Context, claim caller.Claim) (caller.Held, error) {
	token := rand.Uint64()
	cmd := Command{Claim: &Claim{Account: claim.Account, Key: claim.Key, Digest: claim.Digest, Token: token}}
	r, err := c.do(ctx, ".Do", DoArgs{Command: cmd})
	if err != nil {
		c.disclaim(claim, token)
		return caller.Held{}, err
	}
	return caller.Held{
		Mine: r.Mine, Token: r.Entry.Token, Outcome: r.Entry.Outcome, Settled: r.Entry.Settled,
		Digest: r.Entry.Digest, Answer: r.Entry.Answer,
	}, nil
}

// disclaim records in the background that a claim was not sent.
func (c *Client) disclaim(claim caller.Claim, token uint64) {
	if c.ctx.Err() != nil {
		return
	}
	c.tasks.Add(1)
	go func() {
		defer c.tasks.Done()
		if err := c.Settle(c.ctx, claim, token, walnutramp.NotRun, target.Answer{}); err != nil {
			klog.V(1).InfoS("Claim left open", "account", claim.Account, "err", err)
		}
	}()
}

// Settle implements caller.Ledger.
func (c *Client) Settle(ctx context.Context, claim caller.Claim, token uint64, outcome walnutramp.Outcome, a target.Answer) error {
	cmd := Command{Settle: &Settle{Account: claim.Account, Key: claim.Key, Token: token, Outcome: outcome, Answer: a}}
	if _, err := c.do(ctx, ".Do", DoArgs{Command: cmd}); err != nil {
		return err
	}
	return nil
}

// Submit offers a signed bundle to the group.
func (c *Client) Submit(ctx context.Context, doc []byte, s bundle.Signature) (Result, error) {
	r, err := c.do(ctx, ".Submit", SubmitArgs{Doc: doc, Signature: s})
	if err != nil {
		return Result{}, err
	}
	return r, nil
}

// History returns the accepted bundles from a member that answers.
func (c *Client) History(ctx context.Context) (HistoryReply, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTime)
	defer cancel()
	for {
		var r HistoryReply
		err := c.peers.Call(ctx, c.target(), Service+".History", HistoryArgs{}, &r)
		if err == nil {
			return r, nil
		}
		c.forgetLeader("")
		if !pause.For(ctx, tryPause) {
			return HistoryReply{}, err
		}
	}
}
