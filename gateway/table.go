// Package gateway passes clients' HTTP requests on to the targets of a site's
// services, opaque and streaming: it finds the route and the account, chooses
// targets, retries only what may be retried, and lets a stream go on at
// another target when its target breaks off.
package gateway

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/fleet"
)

// Kind says what may be repeated of a route's requests.
type Kind int

// The kinds.
const (
	Safe   Kind = iota // may run more than once
	Unsafe             // may run at most once
	Stream             // an event stream; as Unsafe unless it may be resumed
)

// Weighted is one service of a split.
type Weighted struct {
	Service string
	Weight  int
}

// Route says where requests for a host and path prefix go, and how.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Kind        Kind
	Timeout     time.Duration // longest time a request is held
	Aim         time.Duration // within which an answer earns its full credit
	GapAim      time.Duration // longest pause between events that keeps a stream in time
	Priority    int           // 0 is highest
	MaxAttempts int           // most targets one request may go to
	Open        bool          // no key is asked for
	Resume      bool          // a stream may go on at another target
	Split       []Weighted
}

// Idempotent reports whether a request that may have run may be sent again.
func (r *Route) Idempotent() bool { return r.Kind == Safe || r.Kind == Stream && r.Resume }

// Service draws one service by weight.
func (r *Route) Service() string {
	total := 0
	for _, w := range r.Split {
		total += w.Weight
	}
	n := rand.IntN(total)
	for _, w := range r.Split {
		if n -= w.Weight; n < 0 {
			return w.Service
		}
	}
	return r.Split[0].Service
}

// Account is a client account and its rank.
type Account struct {
	Name        string
	Priority    int
	HasPriority bool
}

// Service is what the gateway needs to know of a service's targets.
type Service struct {
	Name   string
	Engine bool
	Copies bool // its engines keep copies of runs at each other
	// CopyOrders says that its engines take orders to copy a run, and CopyLife
	// for how long they keep such a copy.
	CopyOrders bool
	CopyLife   time.Duration
	Memory     int // of an engine, in tokens; 0 if that is not told
	Slots      int // runs at once at an engine; 0 if that is not told
	// EventTokens is how many tokens one event of a stream holds, 0 if that is
	// not told.
	EventTokens int
	// Scaling says how many targets may be ordered; nil where none can be.
	Scaling *fleet.Scaling
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is a configuration as the gateway uses it. It is not changed once it
// is in force.
type Table struct {
	Version  uint64
	Limits   Limits
	Services map[string]Service
	Accounts map[string]Account // by key; nil where no keys are asked for
	hosts    map[string][]*Route
	ranks    map[int]int // of priorities: how many more urgent ones there are
}

// engines returns what the table says of the engines, by service.
func (t *Table) engines() map[string]balance.Engine {
	engines := map[string]balance.Engine{}
	for name, s := range t.Services {
		if s.Engine {
			engines[name] = balance.Engine{Memory: s.Memory, Slots: s.Slots}
		}
	}
	return engines
}

// setRanks gives every priority that routes and accounts have its rank.
func (t *Table) setRanks() {
	seen := map[int]bool{}
	for _, routes := range t.hosts {
		for _, r := range routes {
			seen[r.Priority] = true
		}
	}
	for _, a := range t.Accounts {
		if a.HasPriority {
			seen[a.Priority] = true
		}
	}
	t.ranks = map[int]int{}
	for rank, priority := range slices.Sorted(maps.Keys(seen)) {
		t.ranks[priority] = rank
	}
}

// SetRoutes files the routes by host, the longest prefix first.
func (t *Table) SetRoutes(routes []*Route) {
	t.hosts = map[string][]*Route{}
	for _, r := range routes {
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, rs := range t.hosts {
		sort.SliceStable(rs, func(i, j int) bool { return len(rs[i].Prefix) > len(rs[j].Prefix) })
	}
}

// Route returns the route of a host and path, or nil.
func (t *Table) Route(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
