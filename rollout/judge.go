package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Policy is the statistical test that compares the new version's answers with
// the old version's.
type Policy string

// The policies. ChangePoint is the default; the others are baselines for
// comparison.
const (
	// ChangePoint is a CUSUM-style test: it takes the highest log-likelihood
	// ratio over all start times, so that good answers early in the rollout do
	// not mask a later regression.
	ChangePoint Policy = "change-point"
	// Likelihood is a log-likelihood ratio test over all answers since the
	// start.
	Likelihood Policy = "likelihood"
	// Threshold compares the error rates with a fixed margin.
	Threshold Policy = "threshold"
)

// Policies lists every policy.
func Policies() []Policy { return []Policy{ChangePoint, Likelihood, Threshold} }

// Thresholds of the verdict.
const (
	// rollbackLLR is the log-likelihood ratio (natural logarithm), of a bad
	// version against a good one, above which a version is rolled back.
	rollbackLLR = 7.5
	// promoteLLR is the log-likelihood ratio above which a version is not
	// promoted to all requests. It is lower because promotion is hard to undo.
	promoteLLR = 4.0
	// maxBins limits the number of time bins of a rollout, and minBinWidth is
	// their smallest width.
	maxBins     = 64
	minBinWidth = 250 * time.Millisecond
	// hallLossWindow is the number of bins before and after a bin in which
	// losses of the old version in a data hall explain those of the new one,
	// since reports of an outage arrive at different times.
	hallLossWindow = 6
	// hallLossShare is the share of lost answers of the old version above which
	// a data hall is taken to have an outage, and its lost answers are ignored.
	hallLossShare = 0.1
	// excessSigmas is the number of standard deviations subtracted from the
	// excess of bad answers, to allow for chance.
	excessSigmas = 2.0
)

// Verdict is the assessment of a new version.
type Verdict struct {
	// Score is the test statistic of the metric and route with the strongest
	// evidence: the log-likelihood ratio of a bad version against a good one,
	// or under Threshold the excess over the margin.
	Score    float64
	Evidence string  // metric and route of Score
	Bad      bool    // the version must be rolled back
	Doubtful bool    // the version must not be promoted
	Answers  float64 // number of answers of the new version
	Excess   float64 // lower bound of the bad answers beyond the old version's rate
}

// metric is a property of answers that may regress.
type metric int

const (
	metricFailed        metric = iota // share of failed or lost answers
	metricFirstEvent                  // time to first event
	metricEventInterval               // interval between events
	numMetrics
)

var metricNames = [numMetrics]string{"failed", "slow to begin", "slow"}

// Evaluator compares the answers of the new and the old version. It is not safe for
// concurrent use.
type Evaluator struct {
	policy   Policy
	binWidth time.Duration
	lastBin  int
	routes   map[string]*routeEvidence
}

// routeEvidence is the statistics of one route.
type routeEvidence struct {
	baseline       Counts                      // old version, in total
	baselineByHall map[string]*[maxBins]Counts // old version, by data hall and bin
	canary         map[targetKey][]binCounts   // new version, by target
}

// targetKey identifies a target of the new version.
type targetKey struct {
	hall   string
	target string
}

// binCounts is the counts of one time bin.
type binCounts struct {
	bin    int
	counts Counts
}

// NewEvaluator returns an Evaluator for a rollout of the given duration.
func NewEvaluator(policy Policy, duration time.Duration) *Evaluator {
	return &Evaluator{policy: policy, binWidth: max(minBinWidth, duration/(maxBins-1)), routes: map[string]*routeEvidence{}}
}

// Add includes the counts that nodes have reported since the previous call. Target
// is the new version.
func (e *Evaluator) Add(elapsed time.Duration, target string, cells []Cell) {
	bin := min(max(0, int(elapsed/e.binWidth)), maxBins-1)
	e.lastBin = max(e.lastBin, bin)
	for _, cell := range cells {
		route := e.routes[cell.Key.Route]
		if route == nil {
			route = &routeEvidence{baselineByHall: map[string]*[maxBins]Counts{}, canary: map[targetKey][]binCounts{}}
			e.routes[cell.Key.Route] = route
		}
		if cell.Key.Version == target {
			route.addCanary(bin, cell)
		} else {
			route.addBaseline(bin, cell)
		}
	}
}

func (r *routeEvidence) addBaseline(bin int, cell Cell) {
	hall := r.baselineByHall[cell.Key.DataHall]
	if hall == nil {
		hall = &[maxBins]Counts{}
		r.baselineByHall[cell.Key.DataHall] = hall
	}
	hall[bin].Add(cell.Counts)
	r.baseline.Add(cell.Counts)
}

func (r *routeEvidence) addCanary(bin int, cell Cell) {
	key := targetKey{hall: cell.Key.DataHall, target: cell.Key.Target}
	bins := r.canary[key]
	if n := len(bins); n > 0 && bins[n-1].bin == bin {
		bins[n-1].counts.Add(cell.Counts)
		return
	}
	r.canary[key] = append(bins, binCounts{bin: bin, counts: cell.Counts})
}

// samples returns the samples of a metric for the new version, by target.
func (r *routeEvidence) samples(m metric) map[targetKey][]sample {
	var slow int
	var share float64
	switch m {
	case metricFailed:
		share = baselineErrorShare(float64(r.baseline.Failed), float64(r.baseline.Answered()))
	case metricFirstEvent:
		slow = r.baseline.First.slowFrom()
		share = baselineSlowShare(r.baseline.First, slow)
	case metricEventInterval:
		slow = r.baseline.Pace.slowFrom()
		share = baselineSlowShare(r.baseline.Pace, slow)
	}
	samples := map[targetKey][]sample{}
	for key, bins := range r.canary {
		for _, b := range bins {
			s := sample{bin: b.bin, baseline: share}
			switch m {
			case metricFailed:
				s.n, s.bad = float64(b.counts.Answered()), float64(b.counts.Failed+b.counts.Lost)
				loss := r.lossShare(key.hall, b.bin)
				if loss > hallLossShare {
					s.n, s.bad, loss = s.n-float64(b.counts.Lost), float64(b.counts.Failed), 0
				}
				s.baseline = 1 - (1-share)*(1-loss)
			case metricFirstEvent:
				s.n, s.bad = b.counts.First.total(), b.counts.First.atLeast(slow)
			case metricEventInterval:
				s.n, s.bad = b.counts.Pace.total(), b.counts.Pace.atLeast(slow)
			}
			if s.n > 0 {
				samples[key] = append(samples[key], s)
			}
		}
	}
	return samples
}

// lossShare returns the highest share of answers that the old version lost in a
// data hall, in any bin within hallLossWindow of the given one.
func (r *routeEvidence) lossShare(hall string, bin int) float64 {
	bins := r.baselineByHall[hall]
	if bins == nil {
		return 0
	}
	highest := 0.0
	for b := max(0, bin-hallLossWindow); b <= min(maxBins-1, bin+hallLossWindow); b++ {
		highest = max(highest, float64(bins[b].Lost)/(float64(bins[b].Answered())+1))
	}
	return highest
}

// Verdict assesses all counts taken so far.
func (e *Evaluator) Verdict() Verdict {
	v := Verdict{Score: math.Inf(-1)}
	for m := range numMetrics {
		all := map[targetKey][]sample{} // samples of all routes
		for _, name := range slices.Sorted(maps.Keys(e.routes)) {
			byTarget := e.routes[name].samples(m)
			if len(e.routes) > 1 {
				v.keepWorst(fmt.Sprintf("answers %s on route %s", metricNames[m], name), e.score(byTarget))
			}
			for key, samples := range byTarget {
				all[key] = append(all[key], samples...)
			}
		}
		v.keepWorst(fmt.Sprintf("answers %s on all routes", metricNames[m]), e.score(all))
		v.addCounts(m, all)
	}
	rollbackAt, promoteAt := rollbackLLR, promoteLLR
	if e.policy == Threshold {
		rollbackAt, promoteAt = 0, 0
	}
	v.Bad, v.Doubtful = v.Score > rollbackAt, v.Score > promoteAt
	return v
}

// keepWorst keeps the evidence with the highest score.
func (v *Verdict) keepWorst(evidence string, score float64) {
	if score > v.Score {
		v.Score, v.Evidence = score, evidence
	}
}

// addCounts sets the number of answers if the metric is metricFailed, and raises the
// excess to that of the metric. If there are several targets, the excess leaves out
// the worst one.
func (v *Verdict) addCounts(m metric, byTarget map[targetKey][]sample) {
	n, excess, expected, worstTarget := 0.0, 0.0, 0.0, 0.0
	for _, samples := range byTarget {
		ofTarget := 0.0
		for _, s := range samples {
			n += s.n
			expected += s.n * s.baseline
			ofTarget += s.bad - s.n*s.baseline
		}
		excess += ofTarget
		worstTarget = max(worstTarget, ofTarget)
	}
	if len(byTarget) > 1 {
		excess -= worstTarget
	}
	if m == metricFailed {
		v.Answers = n
	}
	v.Excess = max(v.Excess, excess-excessSigmas*math.Sqrt(expected))
}

// score returns the test statistic of the policy. Except under Threshold, the worst
// of several targets is discounted, because a fault of one target is not a fault of
// the version.
func (e *Evaluator) score(byTarget map[targetKey][]sample) float64 {
	if e.policy == Threshold {
		return thresholdScore(byTarget)
	}
	highest := math.Inf(-1)
	for _, effect := range effectSizes {
		ratios := suffixRatios(byTarget, effect, e.lastBin)
		if e.policy == Likelihood {
			highest = max(highest, ratios[0])
			continue
		}
		highest = max(highest, slices.Max(ratios))
	}
	return highest
}

// SlowThresholds returns, by route, the time to first event from which an answer counts
// as slow. Routes with too few baseline answers are omitted.
func (e *Evaluator) SlowThresholds() map[string]time.Duration {
	late := map[string]time.Duration{}
	for name, route := range e.routes {
		if route.baseline.First.total() >= minThresholdAnswers {
			late[name] = bucketStart(route.baseline.First.slowFrom())
		}
	}
	return late
}
