package rollout

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
)

// Agent is the node-side part of rollouts. It selects the versions that
// requests may go to and collects statistics of their answers.
type Agent struct {
	mu        sync.Mutex
	view      View
	services  map[string]*service
	evaluator uint64 // ID of the evaluator that received the last report
	rng       *rand.Rand
	now       func() time.Time
}

// service is the agent's state of one service's rollout.
type service struct {
	record  Record
	retired []string // versions that were in force before a rollout completed
	permit  Permit
	expires time.Time          // expiry of the permit
	credits map[string]float64 // accumulated share of requests for the new version, by route
	counts  map[Key]*Counts
	changed map[Key]bool          // keys changed since the last report
	waiting map[*Request]struct{} // requests without a first event
}

// AgentOption configures an Agent.
type AgentOption func(*Agent)

// WithClock sets the clock used for permit expiry and latencies.
func WithClock(now func() time.Time) AgentOption { return func(a *Agent) { a.now = now } }

// NewAgent returns an agent without any rollout state. The seed makes its
// random choices reproducible.
func NewAgent(seed uint64, opts ...AgentOption) *Agent {
	a := &Agent{services: map[string]*service{}, rng: rand.New(rand.NewPCG(seed, 17)), now: uptime.Now}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// VersionSet is the set of versions that a request may go to; its zero value
// contains every version.
type VersionSet struct {
	only []string
	not  string
}

// Has reports whether the set contains a version.
func (v VersionSet) Has(version string) bool {
	if v.only != nil {
		return slices.Contains(v.only, version)
	}
	return v.not == "" || version != v.not
}

// Any reports whether the set contains every version.
func (v VersionSet) Any() bool { return v.only == nil && v.not == "" }

// Revision returns the revision of the current view.
func (a *Agent) Revision() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view.Revision
}

// Running reports whether any rollout is in progress.
func (a *Agent) Running() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view.Running()
}

// SetView replaces the view and reports whether it did so. A view that is not
// newer than the current one is ignored.
func (a *Agent) SetView(v View) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if v.Revision <= a.view.Revision {
		return false
	}
	a.view = v
	for _, r := range v.Records {
		s := a.services[r.Service]
		retired := s.everInForce()
		if s == nil || s.record.Number != r.Number {
			s = &service{credits: map[string]float64{}, counts: map[Key]*Counts{}, changed: map[Key]bool{}, waiting: map[*Request]struct{}{}}
			a.services[r.Service] = s
		}
		s.retired = retired
		s.record = r
	}
	return true
}

// SetPermits stores permits that were requested at the given time. Permits for
// another rollout, and those that expire before the current one, are ignored.
func (a *Agent) SetPermits(permits []Permit, requested time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range permits {
		s := a.services[p.Service]
		if s == nil || s.record.Number != p.Number || requested.Add(p.For).Before(s.expires) {
			continue
		}
		s.permit, s.expires = p, requested.Add(p.For)
	}
}

// permitted reports whether the new version may receive requests now. The
// caller must hold the mutex.
func (s *service) permitted(now time.Time) bool {
	return s != nil && s.record.State == Running && now.Before(s.expires)
}

// share returns the fraction of a route's requests that goes to the new
// version.
func (p *Permit) share(route string) float64 {
	if share, ok := p.Shares[route]; ok {
		return share
	}
	return p.Other
}

// SelectCanary reports whether a request should go to the new version of its service.
// It spaces such requests evenly, so each node stays within one request of its
// share. The initial credit is random, so that nodes do not all pick their
// first requests.
func (a *Agent) SelectCanary(name, route string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.services[name]
	if !s.permitted(a.now()) {
		return false
	}
	credit, started := s.credits[route]
	if !started {
		credit = a.rng.Float64()
	}
	credit = min(credit+s.permit.share(route), maxCredit)
	canary := credit >= 1
	if canary {
		credit--
	}
	s.credits[route] = credit
	return canary
}

// maxCredit limits the credit that accumulates while the new version has no
// targets, to prevent a burst afterwards.
const maxCredit = 2

// ReturnCredit returns the credit that SelectCanary used for a request, if no target of
// the new version was available.
func (a *Agent) ReturnCredit(name, route string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s := a.services[name]; s != nil {
		s.credits[route] = min(s.credits[route]+1, maxCredit)
	}
}

// Shifted reports whether all requests of a service go to its new version.
func (a *Agent) Shifted(name string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.services[name]
	return s.permitted(a.now()) && s.permit.Other >= 1
}

// Versions returns the versions that a request may go to: the new one if SelectCanary
// selected it, else those in force.
func (a *Agent) Versions(name string, canary bool) VersionSet {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.services[name]
	if s == nil {
		return VersionSet{}
	}
	if canary {
		return VersionSet{only: []string{s.record.Target}}
	}
	return s.inForce()
}

// inForce returns the versions that a request may go to without a permit. The
// caller must hold the mutex.
func (s *service) inForce() VersionSet {
	if len(s.record.InForce) == 0 {
		return VersionSet{not: s.record.Target}
	}
	return VersionSet{only: s.record.InForce}
}

// MayUse reports whether a request may continue at a target of the given
// version.
func (a *Agent) MayUse(name, version string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.services[name]
	if s == nil {
		return true
	}
	return version == s.record.Target && s.permitted(a.now()) || s.inForce().Has(version)
}

// everInForce returns the versions that are or were in force, as far as this
// agent knows. The caller must hold the mutex.
func (s *service) everInForce() []string {
	if s == nil {
		return nil
	}
	known := s.retired
	for _, v := range s.record.InForce {
		if !slices.Contains(known, v) {
			known = append(known, v)
		}
	}
	return known
}

// MayContinue reports whether a stream that a version began may continue at its
// targets: like MayUse, and also after the version was replaced by another. A
// version that was rolled back gets nothing more.
func (a *Agent) MayContinue(name, version string) bool {
	if a.MayUse(name, version) {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.services[name]
	return s != nil && slices.Contains(s.retired, version)
}

// Charge takes the credit of one request if the version is the new one of a
// running rollout, and reports whether it did. The credit may become negative, so
// that streams that continue there don't add to the requests that it receives.
func (a *Agent) Charge(name, route, version string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.services[name]
	if s == nil || s.record.State != Running || s.record.Target != version {
		return false
	}
	s.credits[route]--
	return true
}

// Focus returns the selection of a service's new targets that receive requests.
func (a *Agent) Focus(name string) Focus {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s := a.services[name]; s != nil {
		return s.permit.Focus
	}
	return Focus{Part: 1}
}

// Begin records that a request is sent to a target. It returns nil if the
// service has no running rollout.
func (a *Agent) Begin(key Key) *Request {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.services[key.Service]
	if s == nil || s.record.State != Running {
		return nil
	}
	if key.Version != s.record.Target {
		key.Target = "" // targets of the old version are counted together
	}
	r := &Request{agent: a, service: s, key: key, sent: a.now()}
	r.update(func(c *Counts) { c.Sent++ })
	s.waiting[r] = struct{}{}
	return r
}

// countLate counts the pending requests that are past their slow threshold as
// slow. The caller must hold the mutex.
func (s *service) countLate(now time.Time) {
	for r := range s.waiting {
		late, known := s.permit.Late[r.key.Route]
		if known && now.Sub(r.sent) > late {
			r.recordFirst(now.Sub(r.sent))
		}
	}
}

// Counts returns all counts collected for the known rollouts.
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

// Report returns the counts of running rollouts that changed since the last
// report, or all counts if the last report went to another evaluator.
func (a *Agent) Report(evaluator uint64) []Cell {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := evaluator != a.evaluator
	a.evaluator = evaluator
	var cells []Cell
	for _, s := range a.services {
		if s.record.State != Running {
			continue
		}
		s.countLate(a.now())
		for key, counts := range s.counts {
			if all || s.changed[key] {
				cells = append(cells, Cell{Key: key, Counts: counts.clone()})
			}
		}
		clear(s.changed)
	}
	return cells
}

// ResetReport makes the next report include all counts, because the last one may
// have been lost.
func (a *Agent) ResetReport() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.evaluator = 0
}
