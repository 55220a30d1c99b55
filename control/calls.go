package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/caller"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/target"
	"k8s.io/klog/v2"
)

// do sends a command to the leader and retries until it is answered or
// commandTimeout passes. A command may be applied more than once, so it must be
// idempotent. After an error, an attempt may have been applied or may still be.
func (c *Client) do(ctx context.Context, method string, args any) (Result, *walnutramp.Error) {
	return c.doWithTimeout(ctx, attemptTimeout, method, args)
}

// doWithTimeout is do with a timeout for each attempt.
func (c *Client) doWithTimeout(ctx context.Context, timeout time.Duration, method string, args any) (Result, *walnutramp.Error) {
	r, _, err := c.doReportingRetry(ctx, timeout, method, args)
	return r, err
}

// doReportingRetry is doWithTimeout and also reports whether an earlier attempt got
// no answer: the result may then be that of a command applied twice.
func (c *Client) doReportingRetry(ctx context.Context, timeout time.Duration, method string, args any) (r Result, retried bool, _ *walnutramp.Error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	for {
		var reply DoReply
		attemptCtx, cancelAttempt := context.WithTimeout(ctx, timeout)
		err := c.peers.Call(attemptCtx, c.nextNode(), Service+method, args, &reply)
		cancelAttempt()
		switch {
		case err != nil:
			c.switchNode("")
			retried = true
		case reply.Code == walnutramp.CodeOK:
			return reply.Result, retried, nil
		case reply.Code.Final():
			return Result{}, retried, walnutramp.NewError(reply.Code, walnutramp.NotRun, "%s", reply.Code.Info().Text)
		default:
			c.switchNode(reply.Leader)
		}
		if !pause.For(ctx, retryDelay) {
			return Result{}, retried, walnutramp.NewError(walnutramp.CodeLedgerUnavailable, walnutramp.NotRun,
				"the control group did not answer in %v", commandTimeout).WithRetryAfter(time.Second)
		}
	}
}

// Claim implements caller.Ledger. If the call fails, the claim may still be
// recorded. A background call then settles it as not run, since this node never sends
// the request.
func (c *Client) Claim(ctx context.Context, claim caller.Claim) (caller.ClaimState, error) {
	token := rand.Uint64()
	cmd := Command{Claim: &Claim{Account: claim.Account, Key: claim.Key, Digest: claim.Digest, Token: token}}
	r, err := c.do(ctx, ".Do", DoArgs{Command: cmd})
	if err != nil {
		c.abandonClaim(claim, token)
		return caller.ClaimState{}, err
	}
	return caller.ClaimState{
		Granted: r.Mine, Token: r.Entry.Token, Outcome: r.Entry.Outcome, Settled: r.Entry.Settled,
		Digest: r.Entry.Digest, Answer: r.Entry.Answer,
	}, nil
}

// abandonClaim records in the background that the claimed request was not sent.
func (c *Client) abandonClaim(claim caller.Claim, token uint64) {
	if c.ctx.Err() != nil {
		return
	}
	c.tasks.Add(1)
	go func() {
		defer c.tasks.Done()
		if err := c.Settle(c.ctx, claim, token, walnutramp.NotRun, target.Answer{}); err != nil {
			klog.V(1).InfoS("Failed to settle abandoned claim", "account", claim.Account, "err", err)
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

// Offer submits a document to the group of a site without signatures. The caller
// must have validated it. If the group did not answer in time, the document may still
// be accepted.
func (c *Client) Offer(ctx context.Context, version uint64, doc []byte) (Result, error) {
	sub := newSubmit(version, "operator", doc)
	timeout := attemptTimeout + time.Duration(len(sub.Packed))*time.Second/minOfferRate
	r, err := c.doWithTimeout(ctx, timeout, ".Offer", OfferArgs{Submit: sub})
	if err != nil {
		return Result{}, err
	}
	return r, nil
}

// Newest returns the group's newest document, confirmed by the leader with a
// majority after the call began. Before the first document, version is 0 and doc is nil.
// ok is false if no leader confirmed it in time.
func (c *Client) Newest(ctx context.Context) (version uint64, doc []byte, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	for {
		var reply NewestReply
		node := c.nextNode()
		attemptCtx, cancelAttempt := context.WithTimeout(ctx, attemptTimeout)
		err := c.peers.Call(attemptCtx, node, Service+".Newest", NewestArgs{}, &reply)
		cancelAttempt()
		if err == nil && reply.Code == walnutramp.CodeOK {
			if doc, err = c.confirmedDocument(ctx, node, &reply); err == nil {
				return reply.Version, doc, true
			}
			klog.InfoS("Failed to read configuration", "node", node, "version", reply.Version, "err", err)
		}
		c.switchNode(reply.Leader)
		if !pause.For(ctx, retryDelay) {
			return 0, nil, false
		}
	}
}

// confirmedDocument returns the document that a reply confirms, read in full; nil if
// the group has none yet. The request must have been made with Have 0.
func (c *Client) confirmedDocument(ctx context.Context, node walnutramp.NodeName, r *NewestReply) ([]byte, error) {
	if r.Version == 0 {
		return nil, nil
	}
	return c.document(ctx, node, 0, nil, r)
}

// Submit submits a signed bundle to the group. If the group did not answer in time, the
// bundle may still be accepted.
func (c *Client) Submit(ctx context.Context, doc []byte, s bundle.Signature) (Result, error) {
	r, err := c.do(ctx, ".Submit", SubmitArgs{Doc: doc, Signature: s})
	if err != nil {
		return Result{}, err
	}
	return r, nil
}

// History returns the accepted bundles as applied by the first member that answers,
// which may not have the newest.
func (c *Client) History(ctx context.Context) (HistoryReply, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	for {
		var r HistoryReply
		err := c.peers.Call(ctx, c.nextNode(), Service+".History", HistoryArgs{}, &r)
		if err == nil {
			return r, nil
		}
		c.switchNode("")
		if !pause.For(ctx, retryDelay) {
			return HistoryReply{}, err
		}
	}
}
