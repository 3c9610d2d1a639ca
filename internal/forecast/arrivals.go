package forecast

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// arrivalMemory is the time constant of the mean rates. Bursts last for seconds, and with
	// a longer memory they would be noticed when they are over.
	arrivalMemory = 1 * time.Second
	// arrivalInterval is the time for which the jobs that are expected to arrive are booked
	// together.
	arrivalInterval = 250 * time.Millisecond
)

// Arrivals measures the work that is accepted by queue. Jobs of queues with tight objectives
// that arrive later start ahead of waiting steps with much slack, so that a forecast without
// them is too early. The zero value has seen no jobs. It is not safe for concurrent use.
type Arrivals struct {
	steps map[stepName]*arrivalMeans
}

// stepName identifies the steps with a number of the jobs of a queue.
type stepName struct {
	queue string
	index int
}

// arrivalMeans are sums over the accepted jobs of one queue, for one of their steps, with exponentially decaying
// weights. Means are sums divided by jobs, and rates are sums divided by the weight of time.
type arrivalMeans struct {
	firstAt, updatedAt                                        time.Time
	jobs, tasks, milliCPU, memoryMB, runMs, latestMs, readyMs float64
	gang                                                      bool
	share                                                     float64
}

func (m *arrivalMeans) decay(now time.Time) {
	factor := math.Exp(-max(0, now.Sub(m.updatedAt)).Seconds() / arrivalMemory.Seconds())
	for _, sum := range []*float64{&m.jobs, &m.tasks, &m.milliCPU, &m.memoryMB, &m.runMs, &m.latestMs, &m.readyMs} {
		*sum *= factor
	}
	m.updatedAt = now
}

// Record counts an accepted job.
func (a *Arrivals) Record(queue string, j *Job, now time.Time) {
	if a.steps == nil {
		a.steps = make(map[stepName]*arrivalMeans)
	}
	var buffer [8]time.Duration
	starts := append(buffer[:0], make([]time.Duration, len(j.Steps))...)
	path := j.shortestRun()
	for i := range j.Steps {
		s := &j.Steps[i]
		for _, before := range s.DependsOn {
			starts[i] = max(starts[i], starts[before]+j.Steps[before].Run)
		}
		if s.Tasks <= 0 {
			continue
		}
		name := stepName{queue, i}
		m := a.steps[name]
		if m == nil {
			m = &arrivalMeans{firstAt: now, updatedAt: now}
			a.steps[name] = m
		}
		m.add(&s.Demand, s.NotBefore-j.Submitted+starts[i], j.Objective-j.Submitted-path+starts[i], now)
	}
}

// add counts a step that becomes ready a time after its job's arrival and has to start at the
// latest a time after it.
func (m *arrivalMeans) add(d *Demand, ready, latest time.Duration, now time.Time) {
	m.decay(now)
	n := float64(d.Tasks)
	m.jobs++
	m.tasks += n
	m.milliCPU += n * float64(d.Task.MilliCPU)
	m.memoryMB += n * float64(d.Task.MemoryMB)
	m.runMs += n * float64(d.Run.Milliseconds())
	m.latestMs += float64(latest.Milliseconds())
	m.readyMs += float64(ready.Milliseconds())
	m.gang, m.share = d.Gang, d.Share
}

// Expect returns the demands of the jobs that are expected to arrive within the horizon if
// jobs keep being accepted at the present rates.
func (a *Arrivals) Expect(horizon time.Duration, now time.Time) []Demand {
	var out []Demand
	for _, name := range a.names() {
		m := a.steps[name]
		m.decay(now)
		seen := now.Sub(m.firstAt).Seconds()
		if seen < arrivalInterval.Seconds() || m.jobs < 1e-3 {
			continue
		}
		weight := arrivalMemory.Seconds() * (1 - math.Exp(-seen/arrivalMemory.Seconds()))
		perInterval := m.jobs / weight * arrivalInterval.Seconds()
		due := 0.0
		for at := arrivalInterval; at < horizon; at += arrivalInterval {
			due += perInterval
			jobs := math.Floor(due)
			if jobs == 0 {
				continue
			}
			due -= jobs
			d := m.meanJob(at)
			if !d.Gang { // of different jobs, which may run on different executors
				d.Tasks, d.Share = int(math.Round(jobs*m.tasks/m.jobs)), 1
				jobs = 1
			}
			for range int(jobs) {
				out = append(out, d)
			}
		}
	}
	return out
}

// meanJob returns the demand of a mean job that arrives after a time.
func (m *arrivalMeans) meanJob(after time.Duration) Demand {
	ms := func(sum, count float64) time.Duration { return time.Duration(sum / count * float64(time.Millisecond)) }
	return Demand{
		Expected: true, Tasks: max(1, int(math.Round(m.tasks/m.jobs))), Gang: m.gang, Share: m.share,
		Task: Capacity{int64(m.milliCPU / m.tasks), int64(m.memoryMB / m.tasks)}, Run: ms(m.runMs, m.tasks),
		NotBefore: after + ms(m.readyMs, m.jobs), LatestStart: after + ms(m.latestMs, m.jobs),
	}
}

// names returns the steps in a fixed order.
func (a *Arrivals) names() []stepName {
	names := slices.Collect(maps.Keys(a.steps))
	slices.SortFunc(names, func(x, y stepName) int {
		return cmp.Or(cmp.Compare(x.queue, y.queue), cmp.Compare(x.index, y.index))
	})
	return names
}
