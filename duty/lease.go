package duty

import "time"

// Reason is why a grant is requested.
type Reason string

// Reasons of grants.
const (
	ReasonNone       Reason = ""
	ReasonFirst      Reason = "no previous holder"
	ReasonReleased   Reason = "the holder released it"
	ReasonTakenOver  Reason = "another member led before"
	ReasonRestarted  Reason = "the holder's process restarted"
	ReasonEnded      Reason = "the last token was rejected or given up"
	ReasonWaited     Reason = "a lease has passed since the first grant"
	ReasonAlone      Reason = "two leases have passed since the first grant"
	ReasonReached    Reason = "the platform is reachable again"
	ReasonNewContent Reason = "an earlier call may still take effect"
)

// Lease is a process's right to act as the holder, timed by its own monotonic
// clock. It is not safe for concurrent use.
type Lease struct {
	cfg          Config
	self         Holder
	name         string
	record       Record
	firstLearned time.Time // when this process learned of record.First
	confirmedAt  time.Time // send time of the newest confirmed leadership check
	endedToken   Token     // highest token under which nothing may be sent any more
}

// NewLease returns a lease that is not held. name identifies the holder to the
// platform.
func NewLease(cfg Config, self Holder, name string) *Lease {
	return &Lease{cfg: cfg, self: self, name: name}
}

// Learn sets the record that the control group agreed on, as applied by this
// member.
func (l *Lease) Learn(r Record, now time.Time) {
	if r.First != l.record.First {
		l.firstLearned = now
	}
	l.record = r
}

// Confirm records that a majority confirmed this member's leadership in answer
// to a check that was sent at the given time. The lease runs from that time:
// another leader may have been elected since the answer, but not before the
// check.
func (l *Lease) Confirm(sent time.Time) {
	if sent.After(l.confirmedAt) {
		l.confirmedAt = sent
	}
}

// End invalidates a token: the platform rejected it, or the holder is about to
// release it and may not learn the result.
func (l *Lease) End(t Token) { l.endedToken = max(l.endedToken, t) }

// Record returns the last record set by Learn.
func (l *Lease) Record() Record { return l.record }

// Until returns when the lease expires, Slack before another holder may act.
func (l *Lease) Until() time.Time { return l.confirmedAt.Add(l.cfg.Lease - l.cfg.Slack) }

// Granted reports whether the newest grant belongs to this process.
func (l *Lease) Granted() bool {
	return l.record.Token != 0 && l.record.Holder == l.self && !l.record.Released
}

// usable reports whether the newest grant permits calls, disregarding the lease
// and the wait.
func (l *Lease) usable() bool { return l.Granted() && l.record.Token > l.endedToken }

// Due reports whether a leader should confirm its lease again: it has no usable
// grant, or the last confirmed check is older than every.
func (l *Lease) Due(now time.Time, every time.Duration) bool {
	return !l.usable() || now.Sub(l.confirmedAt) >= every
}

// Permission returns the permission for a call made now, or false.
func (l *Lease) Permission(now time.Time) (Permission, bool) {
	if !l.usable() || l.record.Waits || !now.Before(l.Until()) {
		return Permission{}, false
	}
	return Permission{Holder: l.name, Token: l.record.Token, Until: l.Until()}, true
}

// Next returns the grant that a leader has to request now, and the reason;
// ReasonNone if none. reached means that the platform answers this process.
func (l *Lease) Next(now time.Time, reached bool) (Grant, Reason) {
	g := Grant{Holder: l.self}
	switch {
	case !l.Granted():
		return g, l.reasonWithoutGrant()
	case l.record.Token <= l.endedToken:
		return g, ReasonEnded
	case l.record.Waits && now.Sub(l.firstLearned) >= l.cfg.Lease:
		g.Waited = l.record.First
		return g, ReasonWaited
	case len(l.record.Recent) > 1 && now.Sub(l.firstLearned) >= 2*l.cfg.Lease:
		g.Waited, g.Alone = l.record.First, true
		return g, ReasonAlone
	case reached && len(l.record.Unreachable) > 0:
		g.Reached = true
		return g, ReasonReached
	}
	return g, ReasonNone
}

// reasonWithoutGrant returns why this process has no grant.
func (l *Lease) reasonWithoutGrant() Reason {
	switch {
	case l.record.Token == 0:
		return ReasonFirst
	case l.record.Released:
		return ReasonReleased
	case l.record.Holder.Node == l.self.Node:
		return ReasonRestarted
	}
	return ReasonTakenOver
}

// Regrant returns a repeated grant to this process, which yields a higher
// token.
func (l *Lease) Regrant() Grant { return Grant{Holder: l.self} }
