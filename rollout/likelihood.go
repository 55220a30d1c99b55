package rollout

import (
	"math"
	"slices"
)

// Bounds of a likelihood.
const (
	// thresholdShare and thresholdLeast are the limits of the Threshold policy.
	thresholdShare = 0.15
	thresholdLeast = 20
	// baseAnswers and baseShare are what the old version's share of bad answers
	// is held to be before it has answered: so many answers with that share.
	baseAnswers = 20.0
	baseShare   = 0.02
	// slowAnswers is the same of slow answers, whose usual share is slowShare.
	slowAnswers = 50.0
	// mostOfTarget bounds what one target of many may say against the version:
	// a few bad answers. Of fewTargets or less, each may say more.
	mostOfTarget = 3.5
	fewTargets   = 8
	oneAnswer    = 2.5
)

// worse are by how much a bad version's share of bad answers is held to be
// above the old one's: near the least that has to be found out, and far above.
var worse = [...]float64{0.12, 0.4}

// sample is how many of some answers were bad, beside the share that would be.
type sample struct {
	bin    int
	n, bad float64
	base   float64 // share of bad answers of the old version
}

// likelihood returns the logarithm of how much likelier the sample is from a
// version that is worse by so much than from a good one.
func (s *sample) likelihood(worse float64) float64 {
	bad := s.base + (1-s.base)*worse
	return s.bad*math.Log(bad/s.base) + (s.n-s.bad)*math.Log((1-bad)/(1-s.base))
}

// base returns the old version's share of bad answers, between what it is held
// to be before and what was seen.
func base(bad, n float64) float64 {
	return (bad + baseShare*baseAnswers) / (n + baseAnswers)
}

// slowBase is the same of slow answers.
func slowBase(old Histogram, slow int) float64 {
	return (old.from(slow) + slowShare*slowAnswers) / (old.total() + slowAnswers)
}

// likelihoods returns the sum of the likelihoods of all answers since each bin,
// without those of the worst target.
func likelihoods(units map[unit][]sample, worse float64, newest int) []float64 {
	sums := make([]float64, newest+1)
	var bins [mostBins][]int // of the targets that have answers then
	var likelihood [mostBins][]float64
	number := 0
	for _, samples := range units {
		for i := range samples {
			s := &samples[i]
			bins[s.bin] = append(bins[s.bin], number)
			likelihood[s.bin] = append(likelihood[s.bin], s.likelihood(worse))
		}
		number++
	}
	own := make([]float64, number)
	total := 0.0
	for b := newest; b >= 0; b-- {
		for i, u := range bins[b] {
			total -= ofTarget(own[u], number)
			own[u] += likelihood[b][i]
			total += ofTarget(own[u], number)
		}
		sums[b] = total
		sums[b] -= leftOut(own)
	}
	return sums
}

// leftOut returns what is left out of a sum over targets: what the worst says,
// and where there are many targets with few answers each, at most one answer's
// worth of it.
func leftOut(own []float64) float64 {
	if len(own) <= 1 {
		return 0
	}
	worst := max(0, ofTarget(slices.Max(own), len(own)))
	if len(own) >= fewTargets {
		return min(worst, oneAnswer)
	}
	return worst
}

// ofTarget returns what counts of one target's likelihood, of so many.
func ofTarget(likelihood float64, targets int) float64 {
	if targets == 1 {
		return likelihood
	}
	return min(likelihood, mostOfTarget*max(1, fewTargets/float64(targets)))
}

// thresholdScore is above 0 where the share of bad answers is too high.
func thresholdScore(units map[unit][]sample) float64 {
	n, bad, expected := 0.0, 0.0, 0.0
	for _, samples := range units {
		for _, s := range samples {
			n += s.n
			bad += s.bad
			expected += s.n * s.base
		}
	}
	if n < thresholdLeast {
		return -1
	}
	return (bad-expected)/n - thresholdShare
}
