// Package duty gives one node at a time the exclusive right to call the site's
// platform. The control group grants this duty with a fencing token that
// increases with each grant. The holder sends the token with each call, so that
// the platform can reject late calls of earlier holders.
package duty

import (
	"context"
	"time"
)

// Token is a fencing token. Each grant has a higher token than all earlier
// ones.
type Token uint64

// Subject identifies the resource that a call changes. The platform applies
// calls on one subject in the order of their tokens.
type Subject string

// Permission authorizes a call.
type Permission struct {
	Holder string    // name of the node that holds the duty
	Token  Token     // fencing token of the grant
	Until  time.Time // deadline for writing the call, on the monotonic clock
}

// Outcome is the outcome of a call.
type Outcome int

// Outcomes of calls.
const (
	// Done: the platform carried the call out.
	Done Outcome = iota
	// Fenced: the platform has seen a higher token; the call was not carried
	// out and never will be.
	Fenced
	// Rejected: the platform read the call and did not carry it out, because of
	// its content.
	Rejected
	// Busy: the platform is overloaded or rate-limited; the call was not
	// carried out.
	Busy
	// Unclear: no answer came. The call may still take effect, even after later
	// calls under the same token.
	Unclear
	// NotSent: nothing was sent, because the duty was not held or time ran out.
	NotSent
	// Unreachable: nothing was sent, because the connection to the platform
	// failed.
	Unreachable
	// Conflict: the call was Fenced or Rejected, and the answer does not tell
	// which. A Caller resolves it; its users never see it.
	Conflict
)

var outcomeNames = [...]string{
	Done: "done", Fenced: "fenced", Rejected: "rejected", Busy: "busy", Unclear: "unclear", NotSent: "not sent",
	Unreachable: "unreachable", Conflict: "conflict",
}

// String returns the outcome as it is logged.
func (o Outcome) String() string { return outcomeNames[o] }

// Call is one call to the platform.
type Call struct {
	Subject Subject
	// Content identifies the call's effect. A call with the same subject and
	// content is a retry, and is idempotent.
	Content string
	// Send sends the call once.
	Send func(ctx context.Context, p Permission) Outcome
}

// Caller makes calls while this node holds the duty.
type Caller interface {
	// Held reports whether this node holds the duty now.
	Held() bool
	// Do makes a call under the duty, within the platform's rate limit. It
	// first obtains a new token if an earlier call on the subject with other
	// content ended Unclear.
	Do(ctx context.Context, c Call) Outcome
}

// Config holds a site's duty settings.
type Config struct {
	// Lease is the lease duration. Within it, two holders must not alternate
	// (A, B, A).
	Lease time.Duration
	// Slack is the maximum time for which a process may stall unnoticed between
	// checking its lease and writing a call.
	Slack time.Duration
	// PerSecond is the platform's limit of calls per second, over all nodes.
	PerSecond float64
}

// Enabled reports whether the site uses duties.
func (c Config) Enabled() bool { return c.PerSecond > 0 }
