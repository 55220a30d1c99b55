package rollout

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
)

// Agent is a node's part in roll-outs: which versions its requests go to, and
// what it saw of their answers.
type Agent struct {
	mu       sync.Mutex
	view     View
	services map[string]*service
	judge    uint64 // who has had the reports, as they name themselves
	rng      *rand.Rand
	now      func() time.Time
}

// service is an agent's part in one service's roll-out.
type service struct {
	record  Record
	permit  Permit
	until   time.Time          // end of the permit
	credits map[string]float64 // of the new version's requests, by route
	counts  map[Key]*Counts
	changed map[Key]bool          // since they were reported
	waiting map[*Request]struct{} // for their first event
}

// AgentOption sets how an Agent works.
type AgentOption func(*Agent)

// WithClock sets the clock by which permits end.
func WithClock(now func() time.Time) AgentOption { return func(a *Agent) { a.now = now } }

// NewAgent returns an agent that knows of no versions.
func NewAgent(seed uint64, opts ...AgentOption) *Agent {
	a := &Agent{services: map[string]*service{}, rng: rand.New(rand.NewPCG(seed, 17)), now: uptime.Now}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Versions are those that a request may go to; nil for any.
type Versions struct {
	only []string
	not  string
}

// Has reports whether a version is among them.
func (v Versions) Has(version string) bool {
	if v.only != nil {
		return slices.Contains(v.only, version)
	}
	return v.not == "" || version != v.not
}

// Any reports whether all versions are among them.
func (v Versions) Any() bool { return v.only == nil && v.not == "" }

// Revision returns that of the view held.
func (a *Agent) Revision() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view.Revision
}

// Running reports whether a roll-out is under way.
func (a *Agent) Running() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view.Running()
}

// SetView takes a view, unless a newer one is held.
func (a *Agent) SetView(v View) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if v.Revision <= a.view.Revision {
		return false
	}
	a.view = v
	for _, r := range v.Records {
		s := a.services[r.Service]
		if s == nil || s.record.Number != r.Number {
			s = &service{credits: map[string]float64{}, counts: map[Key]*Counts{}, changed: map[Key]bool{}, waiting: map[*Request]struct{}{}}
			a.services[r.Service] = s
		}
		s.record = r
	}
	return true
}

// SetPermits takes permits that were asked for at a time.
func (a *Agent) SetPermits(permits []Permit, asked time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range permits {
		s := a.services[p.Service]
		if s == nil || s.record.Number != p.Number || asked.Add(p.For).Before(s.until) {
			continue
		}
		s.permit, s.until = p, asked.Add(p.For)
	}
}

// permitted reports whether requests may go to the new version now. The caller
// holds the mutex.
func (s *service) permitted(now time.Time) bool {
	return s != nil && s.record.State == Running && now.Before(s.until)
}

// share returns the part of a route's requests that go to the new version.
func (p *Permit) share(route string) float64 {
	if share, ok := p.Shares[route]; ok {
		return share
	}
	return p.Other
}

// Draw decides whether a request goes to the new version of its service. Each
// node's count of them stays within one of the permitted share, and nodes
// begin anywhere between two, so that many nodes do not begin together.
func (a *Agent) Draw(name, route string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.services[name]
	if !s.permitted(a.now()) {
		return false
	}
	credit, begun := s.credits[route]
	if !begun {
		credit = a.rng.Float64()
	}
	credit = min(credit+s.permit.share(route), mostCredit)
	taken := credit >= 1
	if taken {
		credit--
	}
	s.credits[route] = credit
	return taken
}

// mostCredit bounds what is saved up while there is no target of the version.
const mostCredit = 2

// Undo takes back a draw: no target of the new version was there.
func (a *Agent) Undo(name, route string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s := a.services[name]; s != nil {
		s.credits[route] = min(s.credits[route]+1, mostCredit)
	}
}

// Shifted reports whether all requests of a service go to its new version.
func (a *Agent) Shifted(name string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.services[name]
	return s.permitted(a.now()) && s.permit.Other >= 1
}

// Versions returns those that a request may go to: the new one where it was
// drawn, else those in force.
func (a *Agent) Versions(name string, drawn bool) Versions {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.services[name]
	if s == nil {
		return Versions{}
	}
	if drawn {
		return Versions{only: []string{s.record.Target}}
	}
	return s.inForce()
}

// inForce returns the versions that a request may go to without a permit. The
// caller holds the mutex.
func (s *service) inForce() Versions {
	if len(s.record.InForce) == 0 {
		return Versions{not: s.record.Target}
	}
	return Versions{only: s.record.InForce}
}

// MayUse reports whether a run may go on at a target of a version.
func (a *Agent) MayUse(name, version string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.services[name]
	if s == nil {
		return true
	}
	return version == s.record.Target && s.permitted(a.now()) || s.inForce().Has(version)
}

// Focus returns the part of a service's new targets that requests go to.
func (a *Agent) Focus(name string) Focus {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s := a.services[name]; s != nil {
		return s.permit.Focus
	}
	return Focus{Part: 1}
}

// Begin notes a request on its way to a target. It returns nil where there is no
// roll-out to weigh.
func (a *Agent) Begin(key Key) *Request {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.services[key.Service]
	if s == nil || s.record.State != Running {
		return nil
	}
	if key.Version != s.record.Target {
		key.Target = "" // the old version's are told together
	}
	r := &Request{agent: a, service: s, key: key, sent: a.now()}
	r.change(func(c *Counts) { c.Sent++ })
	s.waiting[r] = struct{}{}
	return r
}

// noteLate counts the requests that wait for longer than sound ones do, before
// their first event has come. The caller holds the mutex.
func (s *service) noteLate(now time.Time) {
	for r := range s.waiting {
		late, known := s.permit.Late[r.key.Route]
		if known && now.Sub(r.sent) > late {
			r.noteFirst(now.Sub(r.sent))
		}
	}
}

// Counts returns what was seen in the roll-outs under way.
func (a *Agent) Counts() []Cell {
	a.mu.Lock()
	defer a.mu.Unlock()
	var cells []Cell
	for _, s := range a.services {
		for key, counts := range s.counts {
			cells = append(cells, Cell{Key: key, Counts: counts.clone()})
		}
	}
	return cells
}

// Report returns the counts that have changed since the last report, or all
// where another judge is to have them.
func (a *Agent) Report(judge uint64) []Cell {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := judge != a.judge
	a.judge = judge
	var cells []Cell
	for _, s := range a.services {
		if s.record.State != Running {
			continue
		}
		s.noteLate(a.now())
		for key, counts := range s.counts {
			if all || s.changed[key] {
				cells = append(cells, Cell{Key: key, Counts: counts.clone()})
			}
		}
		clear(s.changed)
	}
	return cells
}

// Unreported has the next report tell everything: the last one may be lost.
func (a *Agent) Unreported() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.judge = 0
}
