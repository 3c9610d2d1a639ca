// Package speed estimates how fast executors run tasks in relation to the typical executor of
// the fleet. It makes no calls and uses no clock: times are passed in.
//
// The logarithm of an executor's speed is estimated by a scalar Kalman filter. An observation
// is the logarithm of a run's time divided by its estimate. It is compared with the runs of
// the same step on other executors or with the mean of the queue, so that what all estimates
// have in common cancels out.
package speed

import (
	"math"
	"time"
)

// Parameters of the filter. Variances are of the natural logarithm of a speed.
const (
	// priorVariance is the variance of an executor without observations, and the largest.
	priorVariance = 0.36
	// processNoise is the variance added per second.
	processNoise = 0.002
	// minNoise and initialNoise are the lowest and the first variance of an observation.
	// Estimates that are off by up to nine tenths either way have a variance of about 0.5.
	minNoise     = 0.005
	initialNoise = 0.5
	// noiseWeight and meanWeight are the weights of a new observation in the learned noise
	// and mean of a queue. Until then they are averages, with noiseSamples samples of the
	// initial noise.
	noiseWeight  = 0.005
	meanWeight   = 0.005
	noiseSamples = 20
	// maxInnovation limits what one observation counts, in standard deviations: a few runs
	// take 7 times as long for reasons of their own.
	maxInnovation = 2.0
	// limitedVariance is the mean square of a standard normal variable limited to
	// maxInnovation.
	limitedVariance = 0.92
	// trendWeight is the weight of a new observation in the moving mean of the normalised
	// innovations. A mean beyond maxTrend, 3 standard deviations of independent
	// innovations, shows that the speed has changed.
	trendWeight = 0.3
	maxTrend    = 1.26
	// certainty is how many standard deviations a difference has to exceed.
	certainty = 2.0
	// maxKnownVariance is the variance up to which an executor counts for the typical speed.
	maxKnownVariance = priorVariance / 2
	// minKnown is how many such executors there have to be. Among fewer none is typical.
	minKnown = 4
)

// Executor is the estimated speed of one incarnation of an executor. The zero value is an
// executor without observations.
type Executor struct {
	mean     float64 // logarithm of the speed
	reduced  float64 // priorVariance minus the variance as of at
	at       time.Time
	trend    float64 // moving mean of the normalised innovations
	observed int
}

// varianceAt returns the variance of the logarithm of the speed at a time.
func (e *Executor) varianceAt(now time.Time) float64 {
	if e.at.IsZero() {
		return priorVariance
	}
	return min(priorVariance, priorVariance-e.reduced+processNoise*max(0, now.Sub(e.at).Seconds()))
}

// update applies an observation of the logarithm of the speed that has the given variance.
func (e *Executor) update(observation, noise float64, now time.Time) {
	variance := e.varianceAt(now)
	sd := math.Sqrt(variance + noise)
	normalised := max(-maxInnovation, min(maxInnovation, (observation-e.mean)/sd))
	e.trend += trendWeight * (normalised - e.trend)
	if math.Abs(e.trend) > maxTrend {
		e.trend = 0
		variance = priorVariance
		sd = math.Sqrt(variance + noise)
		normalised = max(-maxInnovation, min(maxInnovation, (observation-e.mean)/sd))
	}
	gain := variance / (variance + noise)
	e.mean += gain * normalised * sd
	e.reduced = priorVariance - variance*(1-gain)
	e.at = now
	e.observed++
}

// queueModel is what is learned of the run times of one queue.
type queueModel struct {
	mean         float64 // of the logarithm of run time over estimate on an executor of mean 0
	runs         int
	noise        float64 // variance of a run around mean
	siblingNoise float64 // variance of a run around its siblings
	samples      int
	siblingRuns  int
}

// Fleet holds what the estimates of all executors have in common.
type Fleet struct {
	queues          map[string]*queueModel
	typical         float64 // logarithm of the typical speed
	typicalVariance float64
	known           int // executors that the typical speed is computed from
}

// NewFleet returns a fleet without observations.
func NewFleet() *Fleet { return &Fleet{queues: make(map[string]*queueModel)} }

func (f *Fleet) queue(name string) *queueModel {
	q := f.queues[name]
	if q == nil {
		q = &queueModel{noise: initialNoise, siblingNoise: initialNoise}
		f.queues[name] = q
	}
	return q
}

// learnNoise updates a learned variance with a squared residual, which is limited like an
// innovation.
func learnNoise(noise *float64, samples *int, squared float64) {
	*samples++
	weight := max(noiseWeight, 1/float64(*samples+noiseSamples))
	limited := min(squared, maxInnovation*maxInnovation**noise)
	*noise = max(minNoise, *noise+weight*(limited/limitedVariance-*noise))
}

// Relative returns the logarithm of an executor's speed relative to the typical executor and
// its standard deviation. It returns false while there is no typical executor.
func (f *Fleet) Relative(e *Executor, now time.Time) (mean, sd float64, known bool) {
	if f.known < minKnown {
		return 0, 0, false
	}
	return e.mean - f.typical, math.Sqrt(e.varianceAt(now) + f.typicalVariance), true
}

// SlowerBy reports whether an executor is certainly slower than the typical one by more than
// a factor.
func (f *Fleet) SlowerBy(e *Executor, factor float64, now time.Time) bool {
	mean, sd, known := f.Relative(e, now)
	return known && mean+certainty*sd < -math.Log(factor)
}

// FasterBy reports whether an executor is certainly faster than the typical one by more than
// a factor.
func (f *Fleet) FasterBy(e *Executor, factor float64, now time.Time) bool {
	mean, sd, known := f.Relative(e, now)
	return known && mean-certainty*sd > math.Log(factor)
}

// minDifference is the factor from which a difference counts for the expected time of runs.
// Smaller ones are within the error of all estimates.
const minDifference = 1.1

// TimeFactor returns how many times as long as on the typical executor a run takes. It is 1
// if no difference of at least minDifference is certain.
func (f *Fleet) TimeFactor(e *Executor, now time.Time) float64 {
	if !f.SlowerBy(e, minDifference, now) && !f.FasterBy(e, minDifference, now) {
		return 1
	}
	return math.Exp(f.typical - e.mean)
}
