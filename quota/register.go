package quota

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
)

// Register is what the group's leader knows of the nodes that ask. It says which changes
// of the set the group has to agree on, and what nodes may be told. Its methods may
// be called from any task.
type Register struct {
	span time.Duration

	mu       sync.Mutex
	began    time.Time // when this member's present time as leader began
	noted    map[string]notedNode
	removing map[string]bool // a removal was begun, whatever came of it
}

type notedNode struct {
	at   time.Time
	life uint64
}

// NewRegister returns the register of an amount for a span.
func NewRegister(span time.Duration) *Register {
	return &Register{span: span, noted: map[string]notedNode{}, removing: map[string]bool{}}
}

// Begin notes that this member begins to lead. Nodes that another leader heard count as
// heard now; what this one heard before, as any member, still holds.
func (r *Register) Begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.began = uptime.Now()
	clear(r.removing)
}

// Note notes that a node asked. Who passes a node's question on may not know its life, 0
// then.
func (r *Register) Note(n Node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n.Life == 0 {
		n.Life = r.noted[n.Address].life
	}
	r.noted[n.Address] = notedNode{at: uptime.Now(), life: n.Life}
}

// Change returns the change of the set that is due; false if none is. It must be agreed
// on, or Agreed not be called.
func (r *Register) Change(set Set) (Change, bool) {
	now := uptime.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var c Change
	for address, n := range r.noted {
		if now.Sub(n.at) > keepTime(r.span) {
			delete(r.noted, address)
		} else if !set.has(address) || r.removing[address] {
			c.Add = append(c.Add, Node{Address: address, Life: n.life})
		}
	}
	for address := range set.Lives {
		_, heard := r.noted[address]
		if !heard && now.Sub(r.began) > keepTime(r.span) {
			c.Remove = append(c.Remove, address)
			r.removing[address] = true
		}
	}
	slices.SortFunc(c.Add, func(a, b Node) int { return strings.Compare(a.Address, b.Address) })
	slices.Sort(c.Remove)
	return c, len(c.Add)+len(c.Remove) > 0
}

// Agreed notes that the group has made a change.
func (r *Register) Agreed(c Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range c.Add {
		delete(r.removing, n.Address)
	}
}

// Word returns what may be told of a set, as a confirmed leader holds it, to those who
// asked: nothing while one of them is not in it for sure, or the set is not open.
func (r *Register) Word(set Set, asked ...Node) Word {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !set.Open {
		return Word{}
	}
	for _, n := range asked {
		if !set.has(n.Address) || r.removing[n.Address] {
			return Word{}
		}
	}
	first := len(asked) == 1 && asked[0].Life != 0 && set.Lives[asked[0].Address] == asked[0].Life
	return Word{Nodes: len(set.Lives), Epoch: set.Epoch, First: first}
}
