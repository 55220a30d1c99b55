package rollout

import (
	"math"
	"slices"
)

// Parameters of the statistical tests.
const (
	// thresholdShare is the margin of the Threshold policy, and
	// minThresholdAnswers the number of answers it needs.
	thresholdShare      = 0.15
	minThresholdAnswers = 20
	// priorAnswers and priorErrorShare form the prior of the baseline error
	// rate: that many answers with that error rate.
	priorAnswers    = 20.0
	priorErrorShare = 0.02
	// priorSlowAnswers is the weight of the prior of slow answers, whose share
	// is slowShare.
	priorSlowAnswers = 50.0
	// maxTargetLLR limits the contribution of one target to a few bad answers'
	// worth. It is scaled up if there are fewer than manyTargets targets; with
	// more, maxDiscount limits the discount of the worst one (about one
	// answer).
	maxTargetLLR = 3.5
	manyTargets  = 8
	maxDiscount  = 2.5
)

// effectSizes are the increases of the bad-answer rate that are tested for:
// about the smallest that must be detected, and a large one.
var effectSizes = [...]float64{0.12, 0.4}

// sample is the number of bad answers among n, with the baseline rate.
type sample struct {
	bin      int
	n, bad   float64
	baseline float64 // bad-answer rate of the old version
}

// logLikelihoodRatio returns the log-likelihood ratio of the sample, between a
// bad-answer rate that is higher by the effect size and the baseline rate.
func (s *sample) logLikelihoodRatio(effect float64) float64 {
	bad := s.baseline + (1-s.baseline)*effect
	return s.bad*math.Log(bad/s.baseline) + (s.n-s.bad)*math.Log((1-bad)/(1-s.baseline))
}

// baselineErrorShare returns the old version's error rate, smoothed by the
// prior.
func baselineErrorShare(bad, n float64) float64 {
	return (bad + priorErrorShare*priorAnswers) / (n + priorAnswers)
}

// baselineSlowShare returns the old version's share of slow answers, smoothed
// by the prior.
func baselineSlowShare(baseline Histogram, slow int) float64 {
	return (baseline.atLeast(slow) + slowShare*priorSlowAnswers) / (baseline.total() + priorSlowAnswers)
}

// suffixRatios returns, for each bin, the log-likelihood ratio of all answers
// from that bin on, with the worst target discounted.
func suffixRatios(byTarget map[targetKey][]sample, effect float64, lastBin int) []float64 {
	sums := make([]float64, lastBin+1)
	var targets [maxBins][]int // indices of the targets with answers in the bin
	var ratios [maxBins][]float64
	n := 0
	for _, samples := range byTarget {
		for i := range samples {
			s := &samples[i]
			targets[s.bin] = append(targets[s.bin], n)
			ratios[s.bin] = append(ratios[s.bin], s.logLikelihoodRatio(effect))
		}
		n++
	}
	perTarget := make([]float64, n)
	total := 0.0
	for b := lastBin; b >= 0; b-- {
		for i, target := range targets[b] {
			total -= cappedRatio(perTarget[target], n)
			perTarget[target] += ratios[b][i]
			total += cappedRatio(perTarget[target], n)
		}
		sums[b] = total
		sums[b] -= worstDiscount(perTarget)
	}
	return sums
}

// worstDiscount returns the amount to subtract for the worst target: its whole
// contribution, or with many targets at most maxDiscount, since each then has
// few answers.
func worstDiscount(perTarget []float64) float64 {
	if len(perTarget) <= 1 {
		return 0
	}
	worst := max(0, cappedRatio(slices.Max(perTarget), len(perTarget)))
	if len(perTarget) >= manyTargets {
		return min(worst, maxDiscount)
	}
	return worst
}

// cappedRatio limits a target's log-likelihood ratio to maxTargetLLR, scaled by
// the number of targets. A single target is not limited.
func cappedRatio(ratio float64, targets int) float64 {
	if targets == 1 {
		return ratio
	}
	return min(ratio, maxTargetLLR*max(1, manyTargets/float64(targets)))
}

// thresholdScore returns a value above 0 if the bad-answer rate exceeds the
// baseline by more than thresholdShare.
func thresholdScore(byTarget map[targetKey][]sample) float64 {
	n, bad, expected := 0.0, 0.0, 0.0
	for _, samples := range byTarget {
		for _, s := range samples {
			n += s.n
			bad += s.bad
			expected += s.n * s.baseline
		}
	}
	if n < minThresholdAnswers {
		return -1
	}
	return (bad-expected)/n - thresholdShare
}
