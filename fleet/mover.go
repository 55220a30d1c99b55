package fleet

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/walnutramp/walnutramp/duty"
)

// Parameters of a Reconciler.
const (
	// listLag is the delay until a change shows on the platform's target list.
	listLag = 3 * time.Second
	// minRetryDelay is the delay after a call with an unclear outcome; it
	// doubles with each further one, up to maxRetryDelay.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 8 * time.Second
	// maxBackoff limits the backoff, in boot times, after the platform had no
	// capacity at a place or reclaimed its targets. The backoff grows by
	// backoffFactor each time.
	maxBackoff    = 2
	backoffFactor = 1.3
	// maxScaleDownPart limits the fraction of a data hall's targets that one order
	// removes, since other targets must take over their runs.
	maxScaleDownPart = 0.25
	// deadBand is the change, as a fraction of a data hall's targets, below
	// which no order is made.
	deadBand = 0.05
	// regrowPart is the change, as a fraction of a data hall's targets, from
	// which more are ordered while earlier ones still boot.
	regrowPart = 0.25
	// scaleDownDelay is the time, in boot times, for which fewer targets must
	// have been wanted before any are removed. It avoids removing targets that
	// are soon needed again.
	scaleDownDelay = 2
	// recoveredPart is the fraction of the ordered spot targets that must serve
	// for a reclaim to count as over.
	recoveredPart = 0.75
	// drainTime is how long removed targets may be listed as draining.
	drainTime = 20 * time.Second
)

// ReconcileInput is the input of a Reconciler.
type ReconcileInput struct {
	Scaling  Scaling
	Wanted   Counts
	Ordered  Counts // desired counts: from orders, else from the initial targets
	Explicit Counts // desired counts from orders only
	Serving  Counts // targets listed as serving
	Draining Counts // targets listed as draining
	Least    int    // fewest targets that can serve the load
	// Busy are the data halls with a call in progress.
	Busy map[string]bool
	// ListIncomplete means that the list may be incomplete, as after the start of a
	// site; no targets are removed then.
	ListIncomplete bool
	// Idle means that no request has arrived yet, so many targets may be
	// replaced at once.
	Idle bool
}

// Step is one order to be sent.
type Step struct {
	Order  Order
	Before int // count of the previous order; equal for a repeat
}

// Repeats reports whether the step repeats the previous order.
func (s Step) Repeats() bool { return s.Before == s.Order.Count }

// Reconciler reconciles a service's targets with the wanted counts. It scales up at
// once and down slowly, removes targets only after their replacements serve,
// and repeats orders that do not take effect.
type Reconciler struct {
	service        string
	places         map[Place]*placeState
	lastScaledDown map[string]time.Time // time of the last scale-down, by data hall
	wanted         []wantedAt           // within scaleDownDelay, oldest first
}

// wantedAt is the wanted counts at one time.
type wantedAt struct {
	at     time.Time
	counts Counts
}

// placeState is the state of the orders for one place.
type placeState struct {
	lastSent     time.Time // last call of this Reconciler; zero if there was none
	lastScaledUp time.Time // last scale-up
	unclear      int       // consecutive calls with an unclear outcome
	repeated     int       // of an acknowledged order that did not take effect
	differsSince time.Time // since when the list differs from the order; zero if it does not
	backoffUntil time.Time // end of the backoff after a refusal
	backoff      time.Duration
	reclaimed    bool // its spot targets are being reclaimed
	removed      int  // targets removed within drainTime
	removedAt    time.Time
}

// NewReconciler returns a Reconciler for a service without any orders.
func NewReconciler(service string) *Reconciler {
	return &Reconciler{service: service, places: map[Place]*placeState{}, lastScaledDown: map[string]time.Time{}}
}

// at returns the state of a place, which it adds if there is none.
func (r *Reconciler) at(p Place) *placeState {
	if r.places[p] == nil {
		r.places[p] = &placeState{}
	}
	return r.places[p]
}

// Observe compares the listed targets with the orders and returns the places where
// a reclaim of spot targets has begun. A reclaim affects the whole place, so
// Observe removes its targets from v.Serving even if they are still listed.
func (r *Reconciler) Observe(now time.Time, v *ReconcileInput) (reclaimed []Place) {
	v.Serving = maps.Clone(v.Serving)
	for p, ordered := range v.Ordered {
		s := r.at(p)
		if s.beingReclaimed(now, p, v) && !s.reclaimed {
			s.reclaimed = true
			s.refused(now, v.Scaling.Boot)
			reclaimed = append(reclaimed, p)
		}
		if s.reclaimed && v.Draining[p] == 0 && float64(v.Serving[p]) >= recoveredPart*float64(ordered) {
			s.reclaimed = false
		}
		if s.reclaimed {
			delete(v.Serving, p)
		}
		switch {
		case v.Serving[p] == ordered:
			s.differsSince, s.repeated = time.Time{}, 0
		case s.differsSince.IsZero():
			s.differsSince = now
		}
	}
	return reclaimed
}

// beingReclaimed reports whether more spot targets of a place are draining than
// were removed by orders.
func (s *placeState) beingReclaimed(now time.Time, p Place, v *ReconcileInput) bool {
	removed := 0
	if now.Sub(s.removedAt) < drainTime {
		removed = s.removed
	}
	return p.Kind == Spot && v.Draining[p] > removed && v.Serving[p] < v.Ordered[p]
}

// refused starts a backoff because the platform had no capacity or reclaimed
// targets.
func (s *placeState) refused(now time.Time, boot time.Duration) {
	s.backoff = min(max(time.Duration(backoffFactor*float64(s.backoff)), boot), maxBackoff*boot)
	s.backoffUntil = now.Add(s.backoff)
}

// Exhausted returns the places without further capacity at present, with the count
// that serves there.
func (r *Reconciler) Exhausted(now time.Time, serving Counts) Counts {
	exhausted := Counts{}
	for p, s := range r.places {
		if now.Before(s.backoffUntil) {
			exhausted[p] = serving[p]
		}
	}
	return exhausted
}

// RecordOutcome records the outcome of a call that was started at the given time.
func (r *Reconciler) RecordOutcome(at time.Time, step Step, outcome duty.Outcome, boot time.Duration) {
	s := r.at(step.Order.Place())
	s.lastSent = at
	if step.Order.Count > step.Before {
		s.lastScaledUp = at
	}
	switch outcome {
	case duty.Done:
		s.unclear, s.backoff = 0, 0
		if step.Repeats() {
			s.repeated++
		}
		if step.Order.Count < step.Before {
			r.lastScaledDown[step.Order.DataHall] = at
			s.recordRemoved(at, step.Before-step.Order.Count)
		}
	case duty.Rejected:
		s.unclear = 0
		s.refused(at, boot)
	default:
		s.unclear++
	}
}

// recordRemoved records a scale-down by n targets.
func (s *placeState) recordRemoved(at time.Time, n int) {
	if at.Sub(s.removedAt) >= drainTime {
		s.removed = 0
	}
	s.removed += n
	s.removedAt = at
}

// Next returns the orders to send now, at most one per data hall.
func (r *Reconciler) Next(now time.Time, v *ReconcileInput) []Step {
	staying := v.staying()
	r.recordWanted(now, v)
	spare := staying.Total() - v.Wanted.Total()
	var steps []Step
	for _, hall := range v.halls() {
		if v.Busy[hall] {
			continue
		}
		step, ok := r.scaleUp(now, v, hall)
		if !ok {
			step, ok = r.scaleDown(now, v, hall, &spare, staying)
		}
		if !ok {
			step, ok = r.repeat(now, v, hall)
		}
		if ok {
			steps = append(steps, step)
		}
	}
	return steps
}

// recordWanted stores the wanted counts for scaleDownDelay.
func (r *Reconciler) recordWanted(now time.Time, v *ReconcileInput) {
	r.wanted = append(r.wanted, wantedAt{now, v.Wanted})
	for now.Sub(r.wanted[0].at) > scaleDownDelay*v.Scaling.Boot {
		r.wanted = r.wanted[1:]
	}
}

// maxWanted returns the highest count that was wanted in a data hall within
// scaleDownDelay.
func (r *Reconciler) maxWanted(hall string) int {
	highest := 0
	for _, w := range r.wanted {
		highest = max(highest, w.counts.Hall(hall))
	}
	return highest
}

// staying returns the serving targets that are not to be removed.
func (v *ReconcileInput) staying() Counts {
	staying := Counts{}
	for p, n := range v.Serving {
		staying[p] = min(n, v.Ordered[p])
	}
	return staying
}

func (v *ReconcileInput) halls() []string {
	var halls []string
	for _, counts := range []Counts{v.Ordered, v.Wanted} {
		for p := range counts {
			if !slices.Contains(halls, p.DataHall) {
				halls = append(halls, p.DataHall)
			}
		}
	}
	slices.Sort(halls)
	return halls
}

// kinds is the order in which scaleUp and repeat look at the kinds. Spot comes first:
// reclaimed spot targets take the longest to recover.
var kinds = []Kind{Spot, OnDemand}

// scaleUp returns the scale-up order for a data hall, if any.
func (r *Reconciler) scaleUp(now time.Time, v *ReconcileInput, hall string) (Step, bool) {
	for _, kind := range kinds {
		p := Place{hall, kind}
		before := v.Ordered[p]
		other := Place{hall, 1 - kind}
		room := v.Scaling.Max - max(v.Ordered[other], v.Serving[other]) // removed targets may still serve
		count := min(v.Wanted[p], room)
		if count <= before || r.outcomeUnclear(p) || now.Before(r.at(p).backoffUntil) || v.inDeadBand(count-before, hall) {
			continue
		}
		booting := !v.Idle && now.Sub(r.at(p).lastScaledUp) < v.Scaling.Boot
		if booting && float64(count-before) < regrowPart*float64(v.Ordered.Hall(hall)) {
			continue
		}
		return r.step(p, before, count), true
	}
	return Step{}, false
}

// scaleDown returns the scale-down order for a data hall, if any. Spare is the
// number of staying targets beyond those wanted, over all data halls; scaleDown
// deducts what it removes.
func (r *Reconciler) scaleDown(now time.Time, v *ReconcileInput, hall string, spare *int, staying Counts) (Step, bool) {
	if at := r.lastScaledDown[hall]; v.ListIncomplete || !v.Idle && !at.IsZero() && now.Sub(at) < v.Scaling.Boot {
		return Step{}, false
	}
	for _, kind := range []Kind{OnDemand, Spot} {
		p, other := Place{hall, kind}, Place{hall, 1 - kind}
		before := v.Ordered[p]
		surplus := before - v.Wanted[p]
		booting := !v.Idle && now.Sub(r.at(p).lastScaledUp) < v.Scaling.Boot
		if surplus <= 0 || booting || r.outcomeUnclear(p) || r.outcomeUnclear(other) || now.Before(r.at(p).backoffUntil) {
			continue
		}
		if v.Wanted[p] > 0 && v.inDeadBand(surplus, hall) {
			continue
		}
		allowed := min(*spare, staying.Hall(hall)-v.Wanted.Hall(hall))
		if v.Wanted[other] > v.Scaling.Max-before {
			// The data hall is at Max: targets must be removed before others
			// can be added.
			allowed = min(staying.Total()-v.Least, v.maxScaleDown(hall))
		}
		if !v.Idle {
			allowed = min(allowed, v.maxScaleDown(hall), v.Ordered.Hall(hall)-r.maxWanted(hall))
		}
		allowed = min(allowed, v.Ordered.Hall(hall)-v.Scaling.Min)
		surplus = min(surplus, allowed)
		if surplus <= 0 {
			continue
		}
		*spare -= surplus
		staying[p] -= min(staying[p], surplus)
		return r.step(p, before, before-surplus), true
	}
	return Step{}, false
}

// maxScaleDown returns how many targets of a data hall one order may remove.
func (v *ReconcileInput) maxScaleDown(hall string) int {
	return max(1, int(math.Ceil(maxScaleDownPart*float64(v.Ordered.Hall(hall)))))
}

// inDeadBand reports whether a change is too small to be ordered. It returns false
// while no request has arrived, and while fewer targets are ordered than the load
// needs.
func (v *ReconcileInput) inDeadBand(change int, hall string) bool {
	return !v.Idle && v.Ordered.Total() >= v.Least && float64(change) < deadBand*float64(v.Ordered.Hall(hall))
}

// outcomeUnclear reports whether the last call for a place had an unclear
// outcome.
func (r *Reconciler) outcomeUnclear(p Place) bool {
	s := r.at(p)
	return s.unclear > 0
}

// repeat returns an order that must be sent again, if any.
func (r *Reconciler) repeat(now time.Time, v *ReconcileInput, hall string) (Step, bool) {
	for _, kind := range kinds {
		p := Place{hall, kind}
		if count, given := v.Explicit[p]; given && r.mustRepeat(now, v, p) {
			return r.step(p, count, count), true
		}
	}
	return Step{}, false
}

// mustRepeat reports whether the last order for a place must be sent again: its
// outcome was unclear, or the list has not shown it for longer than the boot
// time. A new leader repeats at once.
func (r *Reconciler) mustRepeat(now time.Time, v *ReconcileInput, p Place) bool {
	s := r.at(p)
	switch {
	case now.Before(s.backoffUntil):
		return false
	case s.unclear > 0:
		return now.Sub(s.lastSent) >= min(minRetryDelay<<min(s.unclear-1, 8), maxRetryDelay)
	case s.differsSince.IsZero():
		return false
	case s.lastSent.IsZero(), s.backoff > 0:
		return true
	}
	settle := (v.Scaling.Boot + listLag) << min(s.repeated, 3)
	since := s.differsSince
	if s.lastSent.After(since) {
		since = s.lastSent
	}
	return now.Sub(since) >= settle
}

func (r *Reconciler) step(p Place, before, count int) Step {
	return Step{Order: Order{Service: r.service, DataHall: p.DataHall, Kind: p.Kind, Count: count}, Before: before}
}
