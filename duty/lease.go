package duty

import "time"

// Reason says why a grant is taken.
type Reason string

// The reasons.
const (
	ReasonNone       Reason = ""
	ReasonFirst      Reason = "nobody held it"
	ReasonReleased   Reason = "the holder released it"
	ReasonTakenOver  Reason = "another member led before"
	ReasonRestarted  Reason = "this process is new"
	ReasonEnded      Reason = "the last token was refused or given up"
	ReasonWaited     Reason = "a lease has passed since the first grant"
	ReasonAlone      Reason = "two leases have passed since the first grant"
	ReasonReached    Reason = "the platform answers again"
	ReasonNewContent Reason = "an earlier call may be carried out yet"
)

// Lease is a process's right to act as the holder, by its own steady clock. It
// is not safe for use by several tasks at a time.
type Lease struct {
	cfg    Config
	self   Holder
	name   string
	record Record
	since  time.Time // when this process learned of record.First
	asked  time.Time // the newest question whose answer was that it leads
	ended  Token     // the highest under which nothing may be sent any more
}

// NewLease returns a lease that is not held yet. The name is what the platform
// knows the holder by.
func NewLease(cfg Config, self Holder, name string) *Lease {
	return &Lease{cfg: cfg, self: self, name: name}
}

// Learn takes what the control group has agreed on, as this member applied it.
func (l *Lease) Learn(r Record, now time.Time) {
	if r.First != l.record.First {
		l.since = now
	}
	l.record = r
}

// Confirm notes that a majority has said that this member leads, in answer to a
// question that was asked at a time. The lease counts from there: another
// member can have been elected since the answer, but not since before the
// question.
func (l *Lease) Confirm(asked time.Time) {
	if asked.After(l.asked) {
		l.asked = asked
	}
}

// End has nothing sent under a token any more: the platform refused it, or the
// holder is about to release it and may not learn whether that came about.
func (l *Lease) End(t Token) { l.ended = max(l.ended, t) }

// Record returns what the lease last learned.
func (l *Lease) Record() Record { return l.record }

// Until is when the lease ends, before another's call by Slack.
func (l *Lease) Until() time.Time { return l.asked.Add(l.cfg.Lease - l.cfg.Slack) }

// Granted reports whether the newest grant is this process's.
func (l *Lease) Granted() bool {
	return l.record.Token != 0 && l.record.Holder == l.self && !l.record.Released
}

// usable reports whether calls may be made under the newest grant, lease and
// wait aside.
func (l *Lease) usable() bool { return l.Granted() && l.record.Token > l.ended }

// Due reports whether a leader should have its lease confirmed again: it has no
// usable grant, or it asked longer ago than a time.
func (l *Lease) Due(now time.Time, every time.Duration) bool {
	return !l.usable() || now.Sub(l.asked) >= every
}

// Permission returns what a call may be made under now; false if none may.
func (l *Lease) Permission(now time.Time) (Permission, bool) {
	if !l.usable() || l.record.Waits || !now.Before(l.Until()) {
		return Permission{}, false
	}
	return Permission{Holder: l.name, Token: l.record.Token, Until: l.Until()}, true
}

// Next returns the grant that a leader has to take now, and why; ReasonNone if
// none. Reached says that the platform answers this process.
func (l *Lease) Next(now time.Time, reached bool) (Grant, Reason) {
	g := Grant{Holder: l.self}
	switch {
	case !l.Granted():
		return g, l.missing()
	case l.record.Token <= l.ended:
		return g, ReasonEnded
	case l.record.Waits && now.Sub(l.since) >= l.cfg.Lease:
		g.Waited = l.record.First
		return g, ReasonWaited
	case len(l.record.Recent) > 1 && now.Sub(l.since) >= 2*l.cfg.Lease:
		g.Waited, g.Alone = l.record.First, true
		return g, ReasonAlone
	case reached && len(l.record.Unreachable) > 0:
		g.Reached = true
		return g, ReasonReached
	}
	return g, ReasonNone
}

// missing says why this process has no grant.
func (l *Lease) missing() Reason {
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

// Regrant returns a grant to this process once more, for a higher token.
func (l *Lease) Regrant() Grant { return Grant{Holder: l.self} }
