// Package gateway is a streaming reverse proxy for the targets of a site's services. It
// resolves the route and the client account, selects targets, retries only what is safe
// to retry, and resumes a stream at another target when its connection breaks. Bodies
// are opaque to it.
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

// Kind says whether a route's requests may be retried.
type Kind int

// The kinds.
const (
	Safe   Kind = iota // may run more than once
	Unsafe             // may run at most once
	Stream             // an event stream; as Unsafe unless Resume is set
)

// WeightedService is one service of a traffic split.
type WeightedService struct {
	Service string
	Weight  int
}

// Route says where and how requests for a host and path prefix are forwarded.
type Route struct {
	Name             string
	Host             string
	Prefix           string
	Kind             Kind
	Timeout          time.Duration // maximum time until the answer
	LatencyObjective time.Duration // latency objective
	MaxEventGap      time.Duration // maximum gap between events; 0 for the gateway's default stall timeout
	Priority         int           // 0 is highest
	MaxAttempts      int           // maximum number of targets that may run one request
	AllowAnonymous   bool          // no API key is required
	Resume           bool          // a stream may be resumed at another target
	Split            []WeightedService
}

// Idempotent reports whether a request that may have run may be sent again.
func (r *Route) Idempotent() bool { return r.Kind == Safe || r.Kind == Stream && r.Resume }

// Service picks a service at random by weight.
func (r *Route) Service() string {
	total := 0.0 // a sum of integers may overflow
	for _, w := range r.Split {
		total += float64(w.Weight)
	}
	n := rand.Float64() * total
	last := ""
	for _, w := range r.Split {
		if w.Weight == 0 {
			continue
		}
		last = w.Service
		if n -= float64(w.Weight); n < 0 {
			break
		}
	}
	return last
}

// Account is a client account and its priority.
type Account struct {
	Name        string
	Priority    int
	HasPriority bool
}

// Service describes a service's targets to the gateway.
type Service struct {
	Name   string
	Engine bool
	Copies bool // its engines replicate the KV cache of runs to each other
	// CopyOrders says that its engines accept orders to copy a run, and CopyLife
	// how long they keep such a copy.
	CopyOrders bool
	CopyLife   time.Duration
	Memory     int // KV-cache capacity of an engine, in tokens; 0 if unknown
	Slots      int // concurrent runs at an engine; 0 if unknown
	// EventTokens is the number of tokens in one event of a stream, 0 if unknown.
	EventTokens int
	// Scaling limits the number of targets; nil if the service can't be scaled.
	Scaling *fleet.Scaling
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is the routing configuration. It is immutable once active.
type Table struct {
	Version  uint64
	Limits   Limits
	Services map[string]Service
	Accounts map[string]Account // by API key
	Open     bool               // all routes may be used without an API key
	hosts    map[string][]*Route
	ranks    map[int]int // by priority: number of distinct priorities that are more urgent

	activeSince time.Time // when SetTable activated it
}

// engines returns the configured capacity of engines, by service.
func (t *Table) engines() map[string]balance.Engine {
	engines := map[string]balance.Engine{}
	for name, s := range t.Services {
		if s.Engine {
			engines[name] = balance.Engine{Memory: s.Memory, Slots: s.Slots}
		}
	}
	return engines
}

// setRanks computes the rank of every priority that routes and accounts use.
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

// SetRoutes indexes the routes by host, longest prefix first.
func (t *Table) SetRoutes(routes []*Route) {
	t.hosts = map[string][]*Route{}
	for _, r := range routes {
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, rs := range t.hosts {
		sort.SliceStable(rs, func(i, j int) bool { return len(rs[i].Prefix) > len(rs[j].Prefix) })
	}
}

// routeNames returns the set of the routes' names.
func (t *Table) routeNames() map[string]bool {
	names := map[string]bool{}
	for _, routes := range t.hosts {
		for _, r := range routes {
			names[r.Name] = true
		}
	}
	return names
}

// Route returns the route for a host and path, or nil.
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
