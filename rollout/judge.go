package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Policy says how the new version's answers are weighed against the old one's.
type Policy string

// The policies. All but ChangePoint are there to be compared with.
const (
	// ChangePoint weighs the likelihood of the answers since every earlier
	// moment, so that a version that turns bad late is not saved by its past.
	ChangePoint Policy = "change-point"
	// Likelihood weighs all answers since the order.
	Likelihood Policy = "likelihood"
	// Threshold compares the shares of bad answers.
	Threshold Policy = "threshold"
)

// Policies lists every policy.
func Policies() []Policy { return []Policy{ChangePoint, Likelihood, Threshold} }

// Bounds of a verdict.
const (
	// badLikelihood is the natural logarithm of how much likelier answers must
	// be from a bad version than from a good one for it to be taken back. With
	// both limits as they are, 2,000 of 2,000 roll-outs of versions that fail 3
	// in 10 at once were taken back in the model of lookups at 65 nodes
	// (package experiment), and 99.2% of 2,000 good ones completed.
	badLikelihood = 7.5
	// doubtLikelihood is the same at the moment when all requests would go to
	// the new version: from then on there is no way back for long.
	doubtLikelihood = 4.0
	// mostBins bounds the parts into which a roll-out's time is cut, and
	// shortestBin their length.
	mostBins    = 64
	shortestBin = 250 * time.Millisecond
	// lossNear is within how many bins the old version's lost answers explain
	// the new one's: a data hall that crashes takes both along, and the word
	// of it comes a little sooner or later.
	lossNear = 6
	// hallLoss is from which share of the old version's answers lost on a
	// data hall's lost answers say nothing of the new version.
	hallLoss = 0.1
	// excessDoubt is by how many standard deviations the bad answers that a
	// good version might have given are overestimated.
	excessDoubt = 2.0
)

// Verdict is what the answers say of a new version.
type Verdict struct {
	// Score is the logarithm of how much likelier the answers are from a bad
	// version than from a good one, by the evidence that speaks most for it.
	Score    float64
	Evidence string  // what that is
	Bad      bool    // it is to be taken back
	Doubtful bool    // it is not to get all requests
	Answers  float64 // of the new version
	Excess   float64 // bad answers of it, at least, beyond what the old version would give
}

// kind is what may be bad of an answer.
type kind int

const (
	kindFailed kind = iota // no answer, or one that tells of a failure
	kindFirst              // late to begin
	kindPace               // slow from event to event
	kinds
)

var kindNames = [kinds]string{"failed", "slow to begin", "slow"}

// Judge weighs the new version's answers. It is not safe for concurrent use.
type Judge struct {
	policy Policy
	bin    time.Duration
	newest int
	routes map[string]*routeEvidence
}

// routeEvidence is what is known of one route.
type routeEvidence struct {
	old   Counts                       // of the old version
	halls map[string]*[mostBins]Counts // of the old version, by data hall and bin
	units map[unit][]binned            // of the new version
}

// unit is a target of the new version.
type unit struct {
	hall   string
	target string
}

// binned are counts of one bin.
type binned struct {
	bin    int
	counts Counts
}

// NewJudge returns a judge of a roll-out that takes so long.
func NewJudge(policy Policy, duration time.Duration) *Judge {
	return &Judge{policy: policy, bin: max(shortestBin, duration/(mostBins-1)), routes: map[string]*routeEvidence{}}
}

// Take takes what nodes saw since it was last called.
func (j *Judge) Take(elapsed time.Duration, target string, cells []Cell) {
	bin := min(max(0, int(elapsed/j.bin)), mostBins-1)
	j.newest = max(j.newest, bin)
	for _, cell := range cells {
		route := j.routes[cell.Key.Route]
		if route == nil {
			route = &routeEvidence{halls: map[string]*[mostBins]Counts{}, units: map[unit][]binned{}}
			j.routes[cell.Key.Route] = route
		}
		if cell.Key.Version == target {
			route.takeNew(bin, cell)
		} else {
			route.takeOld(bin, cell)
		}
	}
}

func (r *routeEvidence) takeOld(bin int, cell Cell) {
	hall := r.halls[cell.Key.DataHall]
	if hall == nil {
		hall = &[mostBins]Counts{}
		r.halls[cell.Key.DataHall] = hall
	}
	hall[bin].Add(cell.Counts)
	r.old.Add(cell.Counts)
}

func (r *routeEvidence) takeNew(bin int, cell Cell) {
	u := unit{hall: cell.Key.DataHall, target: cell.Key.Target}
	bins := r.units[u]
	if n := len(bins); n > 0 && bins[n-1].bin == bin {
		bins[n-1].counts.Add(cell.Counts)
		return
	}
	r.units[u] = append(bins, binned{bin: bin, counts: cell.Counts})
}

// samples returns a kind's samples of the new version, by target.
func (r *routeEvidence) samples(k kind) map[unit][]sample {
	var slow int
	var share float64
	switch k {
	case kindFailed:
		share = base(float64(r.old.Failed), float64(r.old.Answered()))
	case kindFirst:
		slow = r.old.First.slowFrom()
		share = slowBase(r.old.First, slow)
	case kindPace:
		slow = r.old.Pace.slowFrom()
		share = slowBase(r.old.Pace, slow)
	}
	samples := map[unit][]sample{}
	for u, bins := range r.units {
		for _, b := range bins {
			s := sample{bin: b.bin, base: share}
			switch k {
			case kindFailed:
				s.n, s.bad = float64(b.counts.Answered()), float64(b.counts.Failed+b.counts.Lost)
				loss := r.lossShare(u.hall, b.bin)
				if loss > hallLoss {
					s.n, s.bad, loss = s.n-float64(b.counts.Lost), float64(b.counts.Failed), 0
				}
				s.base = 1 - (1-share)*(1-loss)
			case kindFirst:
				s.n, s.bad = b.counts.First.total(), b.counts.First.from(slow)
			case kindPace:
				s.n, s.bad = b.counts.Pace.total(), b.counts.Pace.from(slow)
			}
			if s.n > 0 {
				samples[u] = append(samples[u], s)
			}
		}
	}
	return samples
}

// lossShare returns the old version's share of lost answers in a data hall at
// about the time of a bin: the highest of the bins around it.
func (r *routeEvidence) lossShare(hall string, bin int) float64 {
	old := r.halls[hall]
	if old == nil {
		return 0
	}
	highest := 0.0
	for b := max(0, bin-lossNear); b <= min(mostBins-1, bin+lossNear); b++ {
		highest = max(highest, float64(old[b].Lost)/(float64(old[b].Answered())+1))
	}
	return highest
}

// Verdict weighs all that was taken.
func (j *Judge) Verdict() Verdict {
	v := Verdict{Score: math.Inf(-1)}
	for k := range kinds {
		site := map[unit][]sample{} // over all routes
		for _, name := range slices.Sorted(maps.Keys(j.routes)) {
			own := j.routes[name].samples(k)
			if len(j.routes) > 1 {
				v.weigh(fmt.Sprintf("answers %s on route %s", kindNames[k], name), j.score(own))
			}
			for u, samples := range own {
				site[u] = append(site[u], samples...)
			}
		}
		v.weigh(fmt.Sprintf("answers %s on all routes", kindNames[k]), j.score(site))
		v.count(k, site)
	}
	bad, doubtful := badLikelihood, doubtLikelihood
	if j.policy == Threshold {
		bad, doubtful = 0, 0
	}
	v.Bad, v.Doubtful = v.Score > bad, v.Score > doubtful
	return v
}

// weigh keeps the evidence that speaks most against the version.
func (v *Verdict) weigh(what string, score float64) {
	if score > v.Score {
		v.Score, v.Evidence = score, what
	}
}

// count sums the answers and the bad ones, without the worst target's.
func (v *Verdict) count(k kind, units map[unit][]sample) {
	n, excess, expected, worst := 0.0, 0.0, 0.0, 0.0
	for _, samples := range units {
		own := 0.0
		for _, s := range samples {
			n += s.n
			expected += s.n * s.base
			own += s.bad - s.n*s.base
		}
		excess += own
		worst = max(worst, own)
	}
	if len(units) > 1 {
		excess -= worst
	}
	if k == kindFailed {
		v.Answers = n
	}
	v.Excess = max(v.Excess, excess-excessDoubt*math.Sqrt(expected))
}

// score returns how much speaks against the version, by the policy. What the
// target that speaks most against it says is left out where there are others: a
// fault of one target is not the version's.
func (j *Judge) score(units map[unit][]sample) float64 {
	if j.policy == Threshold {
		return thresholdScore(units)
	}
	best := math.Inf(-1)
	for _, by := range worse {
		sums := likelihoods(units, by, j.newest)
		if j.policy == Likelihood {
			best = max(best, sums[0])
			continue
		}
		best = max(best, slices.Max(sums))
	}
	return best
}

// Late returns from which time to the first event on an answer counts as slow,
// by route.
func (j *Judge) Late() map[string]time.Duration {
	late := map[string]time.Duration{}
	for name, route := range j.routes {
		if route.old.First.total() >= thresholdLeast {
			late[name] = bucketStart(route.old.First.slowFrom())
		}
	}
	return late
}
