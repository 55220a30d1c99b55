package quota

import (
	"math/rand/v2"
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

// Next returns the set that the group should agree on next, by the one that it has, and
// which nodes come in and go out with that; none of both where nothing is due.
func (r *Register) Next(set Set) (next Set, in, out []string) {
	now := uptime.Now()
	next = set.Clone()
	if next.Epoch == 0 {
		next.Epoch = rand.Uint64() | 1
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, n := range r.noted {
		if now.Sub(n.at) > keepTime(r.span) {
			delete(r.noted, address)
		} else if !set.has(address) || r.removing[address] {
			next.add(address, n.life)
			in = append(in, address)
		}
	}
	for address := range set.Lives {
		_, heard := r.noted[address]
		if !heard && now.Sub(r.began) > keepTime(r.span) {
			delete(next.Lives, address)
			r.removing[address] = true
			out = append(out, address)
		}
	}
	return next, in, out
}

// Agreed notes that the group has agreed on a set that Next returned.
func (r *Register) Agreed(set Set) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for address := range set.Lives {
		delete(r.removing, address)
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
