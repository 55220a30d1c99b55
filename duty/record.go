package duty

import "slices"

// Holder identifies a process that holds or held the duty.
type Holder struct {
	Node string // node name
	Life uint64 // incarnation of the process; a restart creates a new holder
}

// Grant is the log command of the control group that grants the duty. Its log
// index is the token.
type Grant struct {
	Holder Holder
	// Waited is the first token of the holder's consecutive grants, if a full
	// lease has passed since the holder learned of that grant; 0 otherwise.
	Waited Token
	// Alone means that two leases have passed since the holder learned of that
	// grant. A previous holder may have acted for almost a lease after it, so only
	// now has that holder been inactive for a full lease.
	Alone bool
	// Reached means that the platform has answered this holder.
	Reached bool
}

// Release is the log command by which a holder releases the duty.
type Release struct {
	Token Token
	// Pending means that a call of the holder may still take effect.
	Pending bool
	// Unreachable means that the platform did not answer the holder.
	Unreachable bool
}

// Record is the state of the duty that the control group has agreed on.
type Record struct {
	Token  Token // token of the newest grant
	First  Token // first token of the holder's consecutive grants
	Holder Holder
	Before Holder // previous holder
	// Released means that the holder makes no more calls.
	Released bool
	// Waits means that an earlier holder may still act, so that the current one
	// must first wait for a lease.
	Waits bool
	// Recent lists the nodes that may have acted since the last grant with Alone,
	// or since the first grant, the current holder's node included.
	Recent []string
	// Unreachable lists the nodes that released the duty as unreachable since
	// the platform last answered any holder.
	Unreachable []string
}

// Granted returns the record after a grant.
func (r Record) Granted(token Token, g Grant) Record {
	next := Record{Token: token, First: token, Holder: g.Holder, Before: r.Holder, Unreachable: r.Unreachable}
	if g.Holder == r.Holder {
		next.First, next.Before = r.First, r.Before
	}
	if g.Reached {
		next.Unreachable = nil
	}
	waited := g.Waited != 0 && g.Waited == r.First && g.Holder == r.Holder && !r.Released
	if r.Token == 0 || waited && g.Alone {
		next.Recent = []string{g.Holder.Node}
		return next
	}
	next.Recent = withName(r.Recent, g.Holder.Node)
	next.Waits = !waited && r.mustWait(g.Holder.Node)
	return next
}

// mustWait reports whether a node that is granted the duty next has to wait
// until no other node can act. Even after a release, a node that acted recently
// has to wait; otherwise two holders would alternate (A, B, A). A new process on the
// holder's node waits only if the old one, which has ended, had to.
func (r Record) mustWait(node string) bool {
	if node == r.Holder.Node {
		return r.Waits
	}
	return r.Waits || !r.Released || slices.Contains(r.Recent, node)
}

// AfterRelease returns the record after a release. With a pending call the duty
// does not count as released. A release under an older token has no effect.
func (r Record) AfterRelease(c Release) Record {
	if c.Token != r.Token {
		return r
	}
	r.Released = !c.Pending
	if c.Unreachable {
		r.Unreachable = withName(r.Unreachable, r.Holder.Node)
	}
	return r
}

// withName returns a copy of the list that includes name.
func withName(list []string, name string) []string {
	if slices.Contains(list, name) {
		return list
	}
	return append(slices.Clone(list), name)
}
