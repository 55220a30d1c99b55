package route

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/target"
)

// Result says how the use of a place ended.
type Result int

// The results.
const (
	Unused   Result = iota // nothing was sent
	Finished               // the stream came to its end
	Broken                 // the target refused or broke the connection
	Stalled                // the target fell silent
	Left                   // this side ended it
)

// NoAnswer is the result of a request that brought no answer: it says nothing of its
// target, if nothing was sent there since that had asked for rest.
func NoAnswer(err error) Result {
	if target.Rests(err) {
		return Unused
	}
	return Broken
}

// Grant is a place at a target. Its holder calls Done once.
type Grant struct {
	Target bundle.Target

	router    *Router
	state     *state
	req       Request
	predicted time.Duration
	prefill   int
	begun     bool // the first token has come
	done      bool
}

// Predicted is the predicted time to first token.
func (g *Grant) Predicted() time.Duration { return g.predicted }

// FirstTokenLimit is how long the first token may take before the target
// counts as stalled.
func (g *Grant) FirstTokenLimit() time.Duration {
	return max(firstTokenSlack*g.predicted, firstTokenFloor)
}

// SilenceLimit is how long the target may be silent between tokens.
func (g *Grant) SilenceLimit() time.Duration {
	r := g.router
	r.mu.Lock()
	defer r.mu.Unlock()
	return g.state.silenceLimit(r.cfg.SilenceFloor, r.cfg.SilenceCap)
}

// Tokens notes that tokens came after a silence.
func (g *Grant) Tokens(silence time.Duration) {
	r := g.router
	r.mu.Lock()
	defer r.mu.Unlock()
	if g.begun {
		g.state.observe(silence)
		return
	}
	g.begin()
	r.dispatchAll()
}

func (g *Grant) begin() {
	g.begun = true
	g.state.prefill -= g.prefill
	g.state.prefillOld = max(g.state.prefillOld-g.prefill, 0)
	if g.req.Resume {
		g.state.resumes--
	}
}

// Done gives the place back and says how its use ended.
func (g *Grant) Done(res Result) {
	g.router.mu.Lock()
	defer g.router.mu.Unlock()
	g.router.finish(g, res)
}

// finish is Done for callers that hold the router's lock.
func (r *Router) finish(g *Grant, res Result) {
	if g.done {
		return
	}
	g.done = true
	if !g.begun {
		g.begin()
	}
	s := g.state
	s.own--
	switch res {
	case Broken, Stalled:
		s.fail(time.Now())
	case Finished:
		s.failures = 0
	}
	r.release(g.req.Account)
	r.dispatchAll()
}

// rankHash orders names for a key: rendezvous hashing.
func rankHash(key uint64, name string) uint64 {
	d := xxhash.New()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], key)
	d.Write(b[:])
	d.WriteString(name)
	return d.Sum64()
}

// Hold takes a place at a target where the work already runs, whatever the
// target's load or health. False means the bundle has no such target.
func (r *Router) Hold(name walnutramp.TargetName, req Request) (*Grant, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.targets[name]
	if s == nil {
		return nil, false
	}
	if err := r.admit(req); err != nil {
		return nil, false
	}
	return r.place(s, req), true
}

// place counts req in at a target.
func (r *Router) place(s *state, req Request) *Grant {
	if s.share > 0 {
		s.share--
	}
	g := &Grant{router: r, state: s, req: req, Target: s.spec, predicted: s.wait(req.PromptTokens), prefill: req.PromptTokens}
	s.own++
	s.prefill += req.PromptTokens
	if req.Resume {
		s.resumes++
	}
	return g
}

// Forecast predicts the wait of a request at the best live target, leaving
// out those it avoids where others live.
func (r *Router) Forecast(req Request) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best time.Duration
	found := false
	for _, s := range r.live(req.Model, time.Now()) {
		if slices.Contains(req.Avoid, s.spec.Name) {
			continue
		}
		if wait := r.cost(s, req); !found || wait < best {
			best, found = wait, true
		}
	}
	return best, found
}
