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

// do sends a command until a leader has answered or time is up. The command
// may be sent more than once, so it must bear that.
func (c *Client) do(ctx context.Context, method string, args any) (Result, *walnutramp.Error) {
	return c.doWithin(ctx, tryTime, method, args)
}

// doWithin is do with the time of one try.
func (c *Client) doWithin(ctx context.Context, try time.Duration, method string, args any) (Result, *walnutramp.Error) {
	r, _, err := c.doRepeating(ctx, try, method, args)
	return r, err
}

// doRepeating is doWithin, and reports whether a try brought no answer before: what
// was answered at last may be to a repeat of what was done by then.
func (c *Client) doRepeating(ctx context.Context, try time.Duration, method string, args any) (r Result, repeated bool, _ *walnutramp.Error) {
	ctx, cancel := context.WithTimeout(ctx, commandTime)
	defer cancel()
	for {
		var reply DoReply
		tryCtx, cancelTry := context.WithTimeout(ctx, try)
		err := c.peers.Call(tryCtx, c.target(), Service+method, args, &reply)
		cancelTry()
		switch {
		case err != nil:
			c.forgetLeader("")
			repeated = true
		case reply.Code == walnutramp.CodeOK:
			return reply.Result, repeated, nil
		case reply.Code.Final():
			return Result{}, repeated, walnutramp.NewError(reply.Code, walnutramp.NotRun, "%s", reply.Code.Info().Text)
		default:
			c.forgetLeader(reply.Leader)
		}
		if !pause.For(ctx, tryPause) {
			return Result{}, repeated, walnutramp.NewError(walnutramp.CodeLedgerAway, walnutramp.NotRun,
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

// Offer hands a document to the group of a site that asks for no signature.
// What it holds must have been checked.
func (c *Client) Offer(ctx context.Context, version uint64, doc []byte) (Result, error) {
	sub := newSubmit(version, "operator", doc)
	try := tryTime + time.Duration(len(sub.Packed))*time.Second/offerRate
	r, err := c.doWithin(ctx, try, ".Offer", OfferArgs{Submit: sub})
	if err != nil {
		return Result{}, err
	}
	return r, nil
}

// Newest returns the newest document of the group, as its leader had it
// confirmed by a majority after this call; false if none could confirm it.
func (c *Client) Newest(ctx context.Context) (version uint64, doc []byte, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, commandTime)
	defer cancel()
	for {
		var reply NewestReply
		node := c.target()
		tryCtx, cancelTry := context.WithTimeout(ctx, tryTime)
		err := c.peers.Call(tryCtx, node, Service+".Newest", NewestArgs{}, &reply)
		cancelTry()
		if err == nil && reply.Code == walnutramp.CodeOK {
			if doc, err = c.confirmed(ctx, node, &reply); err == nil {
				return reply.Version, doc, true
			}
			klog.InfoS("Configuration not read whole", "node", node, "version", reply.Version, "err", err)
		}
		c.forgetLeader(reply.Leader)
		if !pause.For(ctx, tryPause) {
			return 0, nil, false
		}
	}
}

// confirmed returns the document of an answer to a node that holds none; nil
// before the first.
func (c *Client) confirmed(ctx context.Context, node walnutramp.NodeName, r *NewestReply) ([]byte, error) {
	if r.Version == 0 {
		return nil, nil
	}
	return c.document(ctx, node, 0, nil, r)
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
