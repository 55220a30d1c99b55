package duty

import "slices"

// Holder is a process that holds the duty, or held it.
type Holder struct {
	Node string // its address among the nodes
	Life uint64 // names the process: a restarted one is another holder
}

// Grant is the command of the control group's log that gives the duty to a
// holder. Its index in the log is its token.
type Grant struct {
	Holder Holder
	// Waited is the first token of the holder's own grants in a row, where a
	// whole lease has passed since the holder learned of it; 0 otherwise.
	Waited Token
	// Alone says that two leases have passed since then. One holder before may
	// have acted for nearly a lease after this one's first grant, so only now has
	// it not acted for a lease.
	Alone bool
	// Reached says that the platform has answered this holder.
	Reached bool
}

// Release is the command by which a holder gives the duty up.
type Release struct {
	Token Token
	// Pending says that a call of the holder may be carried out yet.
	Pending bool
	// Unreachable says that the platform did not answer the holder.
	Unreachable bool
}

// Record is what the control group has agreed on about the duty.
type Record struct {
	Token  Token // of the newest grant
	First  Token // of the holder's grants in a row, the newest among them
	Holder Holder
	Before Holder // who held it before
	// Released says that the holder makes no more calls.
	Released bool
	// Waits says that an earlier holder may act yet, so that this one must not
	// before it has waited for a lease.
	Waits bool
	// Recent are the nodes that may have acted since a holder last was alone
	// for a lease, the holder's own among them.
	Recent []string
	// Unreachable are the nodes that gave the duty up since the platform
	// last answered anyone.
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
	next.Recent = with(r.Recent, g.Holder.Node)
	next.Waits = !waited && r.mustWait(g.Holder.Node)
	return next
}

// mustWait reports whether a node that is granted the duty next has to wait
// until nobody else can act. One that acted lately has to though the holder has
// released the duty: the two would act in turn, A, B, A.
func (r Record) mustWait(node string) bool {
	if node == r.Holder.Node {
		return r.Waits
	}
	return r.Waits || !r.Released || slices.Contains(r.Recent, node)
}

// AfterRelease returns the record after its holder gave the duty up. A release
// under an older token changes nothing.
func (r Record) AfterRelease(c Release) Record {
	if c.Token != r.Token {
		return r
	}
	r.Released = !c.Pending
	if c.Unreachable {
		r.Unreachable = with(r.Unreachable, r.Holder.Node)
	}
	return r
}

// with returns the list with a name, in a new array.
func with(list []string, name string) []string {
	if slices.Contains(list, name) {
		return list
	}
	return append(slices.Clone(list), name)
}
