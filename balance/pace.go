package balance

import (
	"math"
	"time"
)

// Processing speeds are estimated from this node's runs, and prefill speeds also from
// peers' runs. The estimates are reset when the configuration of the engines changes.

// Initial estimates, replaced by the first observation.
const (
	defaultPrefillPerMS = 5.0  // prompt tokens per millisecond, for a large model on one server
	defaultInterTokenMS = 7.0  // milliseconds between two output tokens
	defaultRunMS        = 6000 // milliseconds for a whole run
)

const (
	// ewmaWeight is the weight of the latest observation once there are many.
	ewmaWeight = 0.05
	// outlierFactor bounds the ratio of an observation to the estimate, both ways, so
	// that one stalled engine does not distort it.
	outlierFactor = 4.0
	// relativeSpeedHalfLife is the half-life of a target's relative speed: server
	// faults pass in seconds.
	relativeSpeedHalfLife = 10 * time.Second
	// minMeasuredPrompt is the shortest prompt, in tokens, whose prefill is measured: with
	// shorter ones other delays dominate.
	minMeasuredPrompt = 500
)

// estimate is an exponentially weighted mean of observations.
type estimate struct {
	value   float64
	samples int
}

func (e *estimate) observe(x float64) {
	e.samples++
	x = min(max(x, e.value/outlierFactor), e.value*outlierFactor)
	e.value += max(1/float64(e.samples), ewmaWeight) * (x - e.value)
}

// engineSpeed estimates the processing speed of a service's engines.
type engineSpeed struct {
	prefillPerMS estimate // prompt tokens per millisecond
	interTokenMS estimate // milliseconds between two output tokens
	runMS        estimate // milliseconds for a whole run
}

func newEngineSpeed() *engineSpeed {
	return &engineSpeed{
		prefillPerMS: estimate{value: defaultPrefillPerMS},
		interTokenMS: estimate{value: defaultInterTokenMS},
		runMS:        estimate{value: defaultRunMS},
	}
}

// speedOf returns the estimates for a service's engines. The caller holds the mutex.
func (t *Tracker) speedOf(service string) *engineSpeed {
	p := t.speeds[service]
	if p == nil {
		p = newEngineSpeed()
		t.speeds[service] = p
	}
	return p
}

// prefillMS predicts the prefill time of a prompt on a service's engines, in milliseconds.
// The caller holds the mutex.
func (t *Tracker) prefillMS(service string, tokens int) float64 {
	return float64(tokens) / t.speedOf(service).prefillPerMS.value
}

// prefillMS predicts the prefill time of a prompt on the target, in milliseconds. The
// caller holds the mutex.
func (t *Target) prefillMS(tokens int, now time.Time) float64 {
	return t.tracker.prefillMS(t.Service, tokens) / t.relativeSpeed(now)
}

// relativeSpeed returns the target's prefill speed relative to its peers, 1 if unknown.
// It decays towards 1, so that a slow target is tried again. The caller holds the
// mutex.
func (t *Target) relativeSpeed(now time.Time) float64 {
	if t.relativeEstimate.samples == 0 {
		return 1
	}
	halvings := float64(now.Sub(t.relativeEstimateAt)) / float64(relativeSpeedHalfLife)
	return math.Exp2(math.Log2(t.relativeEstimate.value) * math.Exp2(-halvings))
}

// observePrefill observes the prefill time of a prompt that did not queue behind another.
// The caller holds the mutex.
func (t *Target) observePrefill(tokens int, took time.Duration, now time.Time) {
	ms := float64(took.Milliseconds())
	if tokens < minMeasuredPrompt || ms <= 0 {
		return
	}
	perMS := float64(tokens) / ms
	speed := t.tracker.speedOf(t.Service)
	speed.prefillPerMS.observe(perMS)
	relative := perMS / speed.prefillPerMS.value
	if t.relativeEstimate.samples == 0 {
		t.relativeEstimate.value = 1
	} else {
		t.relativeEstimate.value = t.relativeSpeed(now)
	}
	t.relativeEstimate.observe(relative)
	t.relativeEstimateAt = now
}

// peerPrefill is a peer's run whose prefill had not finished when it was reported.
type peerPrefill struct {
	sole   bool // no other prompt was pending there when it was first reported
	tokens int
}

// uncached reports whether a peer's run has its whole prompt to prefill, with no
// cached prefix: then it holds little more than the prompt.
func (s *RunReport) uncached() bool { return 2*s.PendingTokens >= s.MemoryTokens }

// observePeerPrefills observes the prefills that have finished since a peer's last report,
// and returns those still pending. The caller holds the mutex and has not yet stored
// the new report.
func (t *Tracker) observePeerPrefills(before *peerReport, runs []RunReport, now time.Time) map[uint64]peerPrefill {
	pending := map[uint64]peerPrefill{}
	pendingAt := map[string]int{} // pending prompts by target
	for _, s := range runs {
		if s.PendingTokens > 0 {
			pendingAt[s.Target]++
		}
	}
	for _, s := range runs {
		target := t.byIncarnation[s.Target]
		if target == nil || s.Failed {
			continue
		}
		var known bool
		var p peerPrefill
		if before != nil {
			p, known = before.pendingPrefills[s.Number]
		}
		switch {
		case s.PendingTokens == 0 && known && p.sole:
			target.observePrefill(p.tokens, s.Age, now)
		case s.PendingTokens > 0 && known:
			pending[s.Number] = p
		case s.PendingTokens > 0:
			sole := pendingAt[s.Target] == 1 && s.uncached() && target.occupancy.pendingPrefills == 0
			pending[s.Number] = peerPrefill{sole: sole, tokens: s.PendingTokens}
		}
	}
	return pending
}

// observeDuration observes the duration of a complete run and, if the number of output
// tokens is known, their interval. The caller holds the mutex.
func (r *Run) observeDuration(now time.Time, tokens int) {
	p := r.target.tracker.speedOf(r.target.Service)
	p.runMS.observe(float64(now.Sub(r.startedAt).Milliseconds()))
	if tokens > 0 && !r.begunAt.IsZero() {
		p.interTokenMS.observe(float64(now.Sub(r.begunAt).Milliseconds()) / float64(tokens))
	}
}

// RunDuration predicts the duration of a run on a service's engines.
func (t *Tracker) RunDuration(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.speedOf(service).runMS.value * float64(time.Millisecond))
}

// PredictDuration predicts the duration of an undisturbed run: the prefill of read prompt
// tokens, then out output tokens.
func (t *Tracker) PredictDuration(service string, read, out int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	ms := t.prefillMS(service, read) + float64(out)*t.speedOf(service).interTokenMS.value
	return time.Duration(ms * float64(time.Millisecond))
}
