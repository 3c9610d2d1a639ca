package speed

import (
	"iter"
	"math"
	"slices"
	"time"
)

// Summary describes the speeds of a fleet.
type Summary struct {
	Known  int     // executors with enough observations to count for the typical speed
	Slow   int     // executors that are certainly slower by more than the factor asked for
	Fast   int     // executors that are certainly faster by more than that
	Spread float64 // ratio of the 90th to the 10th percentile of the known speeds; 1 if none is known
}

// Refresh computes the typical speed, which is the median of the executors with enough
// observations, and returns a summary by a factor for slow ones.
func (f *Fleet) Refresh(executors iter.Seq[*Executor], factor float64, now time.Time) Summary {
	var means []float64
	variances := 0.0
	for e := range executors {
		if variance := e.varianceAt(now); variance <= maxKnownVariance {
			means = append(means, e.mean)
			variances += variance
		}
	}
	f.known = len(means)
	s := Summary{Known: len(means), Spread: 1}
	if len(means) == 0 {
		return s
	}
	slices.Sort(means)
	n := len(means)
	f.typical = (means[(n-1)/2] + means[n/2]) / 2
	f.typicalVariance = variances / float64(n) / float64(n)
	s.Spread = math.Exp(means[(n-1)*9/10] - means[(n-1)/10])
	for e := range executors {
		if f.SlowerBy(e, factor, now) {
			s.Slow++
		}
	}
	return s
}
