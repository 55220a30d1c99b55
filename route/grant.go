package route

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/target"
)

// Result says how the use of a Grant ended.
type Result int

// Results.
const (
	Unused   Result = iota // nothing was sent
	Finished               // the stream completed
	Failed                 // the target refused or broke the connection
	Stalled                // the target stopped sending tokens
	Canceled               // canceled by this node
)

// NoAnswer returns the Result of a request that got no stream. The failure says nothing about
// the target's health if nothing was sent because the target had requested a cooldown, or if
// the target answered that it doesn't run the stream.
func NoAnswer(err error) Result {
	if target.IsCooldown(err) || errors.Is(err, target.ErrUnknownStream) {
		return Unused
	}
	return Failed
}

// Grant is a slot at a target, held until Done.
type Grant struct {
	Target bundle.Target

	router    *Router
	state     *targetState
	req       Request
	predicted time.Duration
	prefill   int
	started   bool // the first token has arrived
	done      bool
}

// Predicted returns the predicted time to first token.
func (g *Grant) Predicted() time.Duration { return g.predicted }

// FirstTokenLimit is the time to first token after which the target counts as stalled.
func (g *Grant) FirstTokenLimit() time.Duration {
	return max(firstTokenFactor*g.predicted, firstTokenFloor)
}

// StallLimit is the gap between tokens after which the target counts as stalled.
func (g *Grant) StallLimit() time.Duration {
	r := g.router
	r.mu.Lock()
	defer r.mu.Unlock()
	return g.state.stallLimit(r.cfg.StallFloor, r.cfg.StallCap)
}

// Software returns the software version that the target last named.
func (g *Grant) Software() string {
	g.router.mu.Lock()
	defer g.router.mu.Unlock()
	return g.state.report.Software
}

// SetSoftware records the software version that the target named in its answer, which may be
// newer than its load report.
func (g *Grant) SetSoftware(version string) {
	g.router.mu.Lock()
	defer g.router.mu.Unlock()
	g.state.report.Software = version
}

// Tokens records that tokens arrived after a gap. The first call marks the end of the
// prefill, and its gap is ignored.
func (g *Grant) Tokens(gap time.Duration) {
	r := g.router
	r.mu.Lock()
	defer r.mu.Unlock()
	if g.started {
		g.state.observeGap(gap)
		return
	}
	g.begin()
	r.dispatchAll()
}

func (g *Grant) begin() {
	g.started = true
	g.state.pendingPrefill -= g.prefill
	g.state.prefillAtReport = max(g.state.prefillAtReport-g.prefill, 0)
	if g.req.Resume {
		g.state.resumes--
	}
}

// Done releases the slot and records how its use ended. Further calls do nothing.
func (g *Grant) Done(res Result) {
	g.router.mu.Lock()
	defer g.router.mu.Unlock()
	g.router.finish(g, res)
}

// finish implements Done. The caller holds the mutex.
func (r *Router) finish(g *Grant, res Result) {
	if g.done {
		return
	}
	g.done = true
	if !g.started {
		g.begin()
	}
	s := g.state
	s.active--
	switch res {
	case Failed, Stalled:
		s.recordFailure(time.Now())
	case Finished:
		s.failures = 0
	}
	r.release(g.req.Account)
	r.dispatchAll()
}

// rankHash returns the rendezvous hash of a key and a name.
func rankHash(key uint64, name string) uint64 {
	d := xxhash.New()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], key)
	d.Write(b[:])
	d.WriteString(name)
	return d.Sum64()
}

// Hold takes a slot at a target where the work already runs, regardless of the target's
// load and health. It returns false if the bundle has no such target or the account's
// limits, which do not apply to a resumed request, refuse the request.
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

// place counts req at a target and returns the grant.
func (r *Router) place(st *targetState, req Request) *Grant {
	if st.shareLeft > 0 {
		st.shareLeft--
	}
	g := &Grant{router: r, state: st, req: req, Target: st.spec, predicted: st.predictedWait(req.PromptTokens), prefill: req.PromptTokens}
	st.active++
	st.pendingPrefill += req.PromptTokens
	if req.Resume {
		st.resumes++
	}
	return g
}

// Forecast predicts the wait of a request at the best live target not in req.Avoid,
// whether or not the target has capacity; false if there is none.
func (r *Router) Forecast(req Request) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best time.Duration
	found := false
	for _, s := range r.usable(req) {
		if slices.Contains(req.Avoid, s.spec.Name) {
			continue
		}
		if wait := r.cost(s, req); !found || wait < best {
			best, found = wait, true
		}
	}
	return best, found
}
