// Package duty lets one node at a time make calls to the site's platform that
// must not come from two. The control group grants the duty with a fencing
// token that rises with each grant; its holder shows the token with each call,
// so that the platform can refuse what comes late from an earlier holder.
package duty

import (
	"context"
	"time"
)

// Token is a fencing token. Each grant has a higher one than all before it.
type Token uint64

// Subject names what calls are about. Calls on one subject take effect in the
// order of their tokens, as the platform checks them.
type Subject string

// Permission is what a call is made under.
type Permission struct {
	Holder string    // names the node that holds the duty
	Token  Token     // of its grant
	Until  time.Time // when the call must have been written, on the steady clock
}

// Outcome says what came of a call.
type Outcome int

// The outcomes.
const (
	// Done says that the platform has carried the call out.
	Done Outcome = iota
	// Fenced says that the platform has seen a higher token; it was not
	// carried out, and never will be.
	Fenced
	// Rejected says that the platform read the call and did not carry it out,
	// for a reason that lies in what was asked for.
	Rejected
	// Busy says that the platform takes no call now; it was not carried out.
	Busy
	// Unclear says that no answer came: the call may be carried out yet, also
	// after later calls under the same token.
	Unclear
	// NotSent says that nothing was sent, for want of the duty or of time.
	NotSent
	// Unreachable says that nothing was sent, since no connection to the
	// platform came about.
	Unreachable
	// Conflict says that the call was Fenced or Rejected, and the answer does
	// not tell which. A Caller finds out; its callers never see it.
	Conflict
)

var outcomeNames = [...]string{
	Done: "done", Fenced: "fenced", Rejected: "rejected", Busy: "busy", Unclear: "unclear", NotSent: "not sent",
	Unreachable: "unreachable", Conflict: "conflict",
}

// String names the outcome, for logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Call is one call to the platform.
type Call struct {
	Subject Subject
	// Content tells different calls on a subject apart: one with the same
	// content is an exact repeat, which changes nothing when it comes twice.
	Content string
	// Send makes the call once.
	Send func(ctx context.Context, p Permission) Outcome
}

// Caller makes calls while this node holds the duty.
type Caller interface {
	// Held reports whether this node holds the duty now.
	Held() bool
	// Do makes a call under the duty, at the pace that the platform bears. It
	// takes a new token first where an earlier, different call on the subject
	// ended unclear.
	Do(ctx context.Context, c Call) Outcome
}

// Config is what a site says of its duties.
type Config struct {
	// Lease is within which two holders must not act in turn, A, B, A.
	Lease time.Duration
	// Slack is how long a process may stand still between its last look at
	// its lease and the write of the call, without its noticing.
	Slack time.Duration
	// PerSecond is how many calls the platform takes from all nodes together.
	PerSecond float64
}

// Enabled reports whether the site has duties at all.
func (c Config) Enabled() bool { return c.PerSecond > 0 }
