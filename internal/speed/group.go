package speed

import (
	"math"
	"time"
)

const (
	// groupSize is how many runs of a step are compared with each other while more are to
	// come, so that a step with one very long run gives its observations before that ends.
	groupSize = 8
	// minRemaining is the least number of runs left for a comparison of their own.
	minRemaining = 4
)

// Group collects the runs of one step until they are compared. The zero value is a step
// without runs.
type Group struct {
	waiting  []run
	observed int
}

// run is the observed time of a run.
type run struct {
	executor *Executor
	ratio    float64 // logarithm of run time over estimate
}

// member is an executor with its runs in a comparison.
type member struct {
	executor *Executor
	runs     int
	sum      float64 // of the ratios
	speed    float64 // mean before the comparison
	variance float64
}

// Observe records the run of a task: its time divided by its estimate, which must be positive.
// The step has tasks of them, each of which is observed at most once.
func (f *Fleet) Observe(e *Executor, queue string, g *Group, tasks int, timeRatio float64, now time.Time) {
	g.observed++
	g.waiting = append(g.waiting, run{e, math.Log(timeRatio)})
	remaining := tasks - g.observed
	if remaining > 0 && (len(g.waiting) < groupSize || remaining < minRemaining) {
		return
	}
	f.compare(f.queue(queue), g.members(now), now)
	g.waiting = g.waiting[:0]
}

// members returns the executors of the waiting runs. Runs on the same executor tell nothing
// about it by comparison with each other.
func (g *Group) members(now time.Time) []member {
	var members []member
	for _, r := range g.waiting {
		i := 0
		for i < len(members) && members[i].executor != r.executor {
			i++
		}
		if i == len(members) {
			members = append(members, member{executor: r.executor, speed: r.executor.mean, variance: r.executor.varianceAt(now)})
		}
		members[i].runs++
		members[i].sum += r.ratio
	}
	return members
}

// compare updates each executor by the runs of the others or by the mean of the queue,
// whichever is more precise.
func (f *Fleet) compare(q *queueModel, members []member, now time.Time) {
	var weights, weighted, variances float64 // over all runs: number, time at mean speed 0, variance
	for _, m := range members {
		n := float64(m.runs)
		weights += n
		weighted += m.sum + n*m.speed
		variances += n * n * m.variance
	}
	queueMean, queueNoise, siblingNoise := q.mean, q.noise, q.siblingNoise
	if q.runs > 0 {
		queueNoise += q.noise / min(float64(q.runs), 1/meanWeight)
	}
	for _, m := range members {
		n := float64(m.runs)
		others := weights - n
		observed := m.sum / n
		observation, noise := queueMean-observed, queueNoise
		informative := q.runs > 0
		if informative {
			residual := observation - m.speed
			learnNoise(&q.noise, &q.samples, max(0, residual*residual-m.variance/2))
		}
		if others > 0 {
			reference := (weighted - m.sum - n*m.speed) / others
			spread := (variances - n*n*m.variance) / (others * others)
			scale := 1/n + 1/others
			residual := reference - observed - m.speed
			learnNoise(&q.siblingNoise, &q.siblingRuns, max(0, residual*residual-spread/2-m.variance/2)/scale)
			if by := siblingNoise*scale + spread; !informative || by < noise {
				observation, noise, informative = reference-observed, by, true
			}
		}
		if informative {
			m.executor.update(observation, noise, now)
		}
		q.runs++
		q.mean += max(meanWeight, 1/float64(q.runs)) * (observed + m.speed - q.mean)
	}
}
