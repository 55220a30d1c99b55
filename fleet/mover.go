package fleet

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/walnutramp/walnutramp/duty"
)

// Bounds of a Mover.
const (
	// listLag is how much later than it happened a change is on the platform's
	// list as it is read here.
	listLag = 3 * time.Second
	// retryFirst is the pause after a call that had no clear answer; it doubles
	// with each further one.
	retryFirst   = 500 * time.Millisecond
	retryLongest = 8 * time.Second
	// stuckLongest bounds the pause, in boot times, after which a place where
	// no target was to be had is tried again. It grows with each refusal; a
	// place that is tried rarely stays empty for long after it could be had.
	stuckLongest = 2
	stuckGrowth  = 1.3
	// shrinkShare is the part of a data hall's targets that one change orders
	// away: their runs go on elsewhere, which has to take them in.
	shrinkShare = 0.25
	// deadBand is the part of a data hall's targets below which a change is
	// not worth a call.
	deadBand = 0.05
	// growAgain is the part of a data hall's targets from which on more are
	// ordered while those ordered last still boot.
	growAgain = 0.25
	// shrinkPatience, in boot times, is for how long fewer targets must have
	// been wanted: one that is ordered away and missed then boots anew.
	shrinkPatience = 2
	// backShare is the part of the ordered spot targets from which on they are
	// held to be there again after they were taken away.
	backShare = 0.75
	// drainTime is for how long targets that were ordered away may be on the
	// list as leaving.
	drainTime = 20 * time.Second
)

// View is what a Mover goes by.
type View struct {
	Scaling Scaling
	Wanted  Counts
	Ordered Counts // as agreed on, or there from the beginning
	Given   Counts // the same, without those that were never ordered
	Serving Counts // as the platform's list shows
	Leaving Counts // the same, of those that take no new work
	Least   int    // the fewest targets that the load can do with
	// Busy are the data halls for which a call is under way.
	Busy map[string]bool
	// Filling says that the list does not show all targets yet, as at the start
	// of a site: nothing is ordered away then.
	Filling bool
	// Idle says that no request has come yet, so that nothing is lost when
	// many targets change at once.
	Idle bool
}

// Step is one order on the way.
type Step struct {
	Order  Order
	Before int // the count ordered before; the same for a repeat
}

// Repeats reports whether the step repeats an earlier order.
func (s Step) Repeats() bool { return s.Before == s.Order.Count }

// Mover leads a service's targets from what is ordered to what is wanted. It
// grows at once and shrinks slowly, and orders nothing away before what is to
// take its place serves. An order is repeated while the list does not show it.
type Mover struct {
	service string
	places  map[Place]*placeState
	shrunk  map[string]time.Time // by data hall, the newest order for fewer
	wanted  []wantedAt           // over the patience, oldest first
}

// wantedAt is what was wanted at a time.
type wantedAt struct {
	at     time.Time
	counts Counts
}

// placeState is what came of the calls for one place.
type placeState struct {
	sent      time.Time // the newest call of this Mover; zero for none
	grown     time.Time // the newest order for more
	retries   int       // calls in a row that had no clear answer
	repeats   int       // of an order that was carried out and does not show
	differs   time.Time // since when the list shows another count; zero if it does not
	stuck     time.Time // until when no more are to be had
	stuckFor  time.Duration
	reclaimed bool // its spot targets are being taken away
	lowered   int  // targets that were ordered away lately
	loweredAt time.Time
}

// NewMover returns a mover of a service's targets that has ordered nothing.
func NewMover(service string) *Mover {
	return &Mover{service: service, places: map[Place]*placeState{}, shrunk: map[string]time.Time{}}
}

func (m *Mover) at(p Place) *placeState {
	if m.places[p] == nil {
		m.places[p] = &placeState{}
	}
	return m.places[p]
}

// Look takes what the list shows beside what is ordered. It returns where
// spot targets have begun to be taken away. All of a place are taken together:
// those that the list still shows as serving there have crashed or will leave,
// so the view counts them no more.
func (m *Mover) Look(now time.Time, v *View) (reclaimed []Place) {
	v.Serving = maps.Clone(v.Serving)
	for p, ordered := range v.Ordered {
		s := m.at(p)
		if s.takenAway(now, p, v) && !s.reclaimed {
			s.reclaimed = true
			s.refused(now, v.Scaling.Boot)
			reclaimed = append(reclaimed, p)
		}
		if s.reclaimed && v.Leaving[p] == 0 && float64(v.Serving[p]) >= backShare*float64(ordered) {
			s.reclaimed = false
		}
		if s.reclaimed {
			delete(v.Serving, p)
		}
		switch {
		case v.Serving[p] == ordered:
			s.differs, s.repeats = time.Time{}, 0
		case s.differs.IsZero():
			s.differs = now
		}
	}
	return reclaimed
}

// takenAway reports whether more spot targets of a place leave than were
// ordered away.
func (s *placeState) takenAway(now time.Time, p Place, v *View) bool {
	lowered := 0
	if now.Sub(s.loweredAt) < drainTime {
		lowered = s.lowered
	}
	return p.Kind == Spot && v.Leaving[p] > lowered && v.Serving[p] < v.Ordered[p]
}

// refused notes that no more targets are to be had, and holds that for a
// while that grows.
func (s *placeState) refused(now time.Time, boot time.Duration) {
	s.stuckFor = min(max(time.Duration(stuckGrowth*float64(s.stuckFor)), boot), stuckLongest*boot)
	s.stuck = now.Add(s.stuckFor)
}

// Stuck returns the places where no more targets are to be had now, with how
// many are there.
func (m *Mover) Stuck(now time.Time, serving Counts) Counts {
	stuck := Counts{}
	for p, s := range m.places {
		if now.Before(s.stuck) {
			stuck[p] = serving[p]
		}
	}
	return stuck
}

// Sent notes what came of a call that was begun at a time.
func (m *Mover) Sent(at time.Time, step Step, outcome duty.Outcome, boot time.Duration) {
	s := m.at(step.Order.Place())
	s.sent = at
	if step.Order.Count > step.Before {
		s.grown = at
	}
	switch outcome {
	case duty.Done:
		s.retries, s.stuckFor = 0, 0
		if step.Repeats() {
			s.repeats++
		}
		if step.Order.Count < step.Before {
			m.shrunk[step.Order.DataHall] = at
			s.lower(at, step.Before-step.Order.Count)
		}
	case duty.Rejected:
		s.retries = 0
		s.refused(at, boot)
	default:
		s.retries++
	}
}

// lower notes that targets were ordered away.
func (s *placeState) lower(at time.Time, n int) {
	if at.Sub(s.loweredAt) >= drainTime {
		s.lowered = 0
	}
	s.lowered += n
	s.loweredAt = at
}

// Next returns the orders to be given now, one for each data hall at most.
func (m *Mover) Next(now time.Time, v *View) []Step {
	stay := v.staying()
	m.remember(now, v)
	spare := stay.Total() - v.Wanted.Total()
	var steps []Step
	for _, hall := range v.halls() {
		if v.Busy[hall] {
			continue
		}
		step, ok := m.grow(now, v, hall)
		if !ok {
			step, ok = m.shrink(now, v, hall, &spare, stay)
		}
		if !ok {
			step, ok = m.repeat(now, v, hall)
		}
		if ok {
			steps = append(steps, step)
		}
	}
	return steps
}

// remember keeps what is wanted for as long as it may hold up an order for
// fewer targets.
func (m *Mover) remember(now time.Time, v *View) {
	m.wanted = append(m.wanted, wantedAt{now, v.Wanted})
	for now.Sub(m.wanted[0].at) > shrinkPatience*v.Scaling.Boot {
		m.wanted = m.wanted[1:]
	}
}

// mostWanted returns the most targets that were wanted in a data hall lately.
func (m *Mover) mostWanted(hall string) int {
	most := 0
	for _, w := range m.wanted {
		most = max(most, w.counts.Hall(hall))
	}
	return most
}

// staying returns the targets that serve and are not ordered away.
func (v *View) staying() Counts {
	stay := Counts{}
	for p, n := range v.Serving {
		stay[p] = min(n, v.Ordered[p])
	}
	return stay
}

func (v *View) halls() []string {
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

// kinds are in the order in which they are bought: what may be taken away
// takes the longest to come back.
var kinds = []Kind{Spot, OnDemand}

// grow returns the order for more targets in a hall, if there is one to give.
func (m *Mover) grow(now time.Time, v *View, hall string) (Step, bool) {
	for _, kind := range kinds {
		p := Place{hall, kind}
		before := v.Ordered[p]
		other := Place{hall, 1 - kind}
		room := v.Scaling.Max - max(v.Ordered[other], v.Serving[other]) // one ordered away late still counts
		count := min(v.Wanted[p], room)
		if count <= before || m.inDoubt(p) || now.Before(m.at(p).stuck) || v.small(count-before, hall) {
			continue
		}
		booting := !v.Idle && now.Sub(m.at(p).grown) < v.Scaling.Boot
		if booting && float64(count-before) < growAgain*float64(v.Ordered.Hall(hall)) {
			continue
		}
		return m.step(p, before, count), true
	}
	return Step{}, false
}

// shrink returns the order for fewer targets in a hall, if there is one to
// give. Spare is how many targets of all halls are there beyond those wanted;
// what the order takes is taken from it.
func (m *Mover) shrink(now time.Time, v *View, hall string, spare *int, stay Counts) (Step, bool) {
	if at := m.shrunk[hall]; v.Filling || !v.Idle && !at.IsZero() && now.Sub(at) < v.Scaling.Boot {
		return Step{}, false
	}
	for _, kind := range []Kind{OnDemand, Spot} {
		p, other := Place{hall, kind}, Place{hall, 1 - kind}
		before := v.Ordered[p]
		over := before - v.Wanted[p]
		grows := !v.Idle && now.Sub(m.at(p).grown) < v.Scaling.Boot
		if over <= 0 || grows || m.inDoubt(p) || m.inDoubt(other) || now.Before(m.at(p).stuck) {
			continue
		}
		if v.Wanted[p] > 0 && v.small(over, hall) {
			continue
		}
		may := min(*spare, stay.Hall(hall)-v.Wanted.Hall(hall))
		if v.Wanted[other] > v.Scaling.Max-before {
			// The hall is full: some have to go first.
			may = min(stay.Total()-v.Least, v.part(hall))
		}
		if !v.Idle {
			may = min(may, v.part(hall), v.Ordered.Hall(hall)-m.mostWanted(hall))
		}
		may = min(may, v.Ordered.Hall(hall)-v.Scaling.Min)
		over = min(over, may)
		if over <= 0 {
			continue
		}
		*spare -= over
		stay[p] -= min(stay[p], over)
		return m.step(p, before, before-over), true
	}
	return Step{}, false
}

// part returns how many targets of a hall one change may order away.
func (v *View) part(hall string) int {
	return max(1, int(math.Ceil(shrinkShare*float64(v.Ordered.Hall(hall)))))
}

// small reports whether a change is not worth a call.
func (v *View) small(change int, hall string) bool {
	return !v.Idle && v.Ordered.Total() >= v.Least && float64(change) < deadBand*float64(v.Ordered.Hall(hall))
}

// inDoubt reports whether the newest call for a place had no clear answer.
func (m *Mover) inDoubt(p Place) bool {
	s := m.at(p)
	return s.retries > 0
}

// repeat returns an order that has to be given again, if there is one.
func (m *Mover) repeat(now time.Time, v *View, hall string) (Step, bool) {
	for _, kind := range kinds {
		p := Place{hall, kind}
		if count, given := v.Given[p]; given && m.repeats(now, v, p) {
			return m.step(p, count, count), true
		}
	}
	return Step{}, false
}

// repeats reports whether the newest order for a place has to be given again:
// its call had no clear answer, or the list has not shown it for longer than a
// target takes to boot. A new leader repeats at once what does not show.
func (m *Mover) repeats(now time.Time, v *View, p Place) bool {
	s := m.at(p)
	switch {
	case now.Before(s.stuck):
		return false
	case s.retries > 0:
		return now.Sub(s.sent) >= min(retryFirst<<min(s.retries-1, 8), retryLongest)
	case s.differs.IsZero():
		return false
	case s.sent.IsZero(), s.stuckFor > 0:
		return true
	}
	settle := (v.Scaling.Boot + listLag) << min(s.repeats, 3)
	since := s.differs
	if s.sent.After(since) {
		since = s.sent
	}
	return now.Sub(since) >= settle
}

func (m *Mover) step(p Place, before, count int) Step {
	return Step{Order: Order{Service: m.service, DataHall: p.DataHall, Kind: p.Kind, Count: count}, Before: before}
}
