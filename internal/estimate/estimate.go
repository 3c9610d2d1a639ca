// Package estimate learns the actual resource usage and run times of tasks from
// the workers' delayed reports, and decides what to do about a task that uses
// more or runs longer than declared.
//
// The package does no I/O and reads no clock. Times are local times of the
// calling process. An Estimator is not safe for concurrent use.
package estimate

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// Signature identifies jobs that are expected to behave alike: a team tends to
// submit the same work with the same declaration.
type Signature struct {
	Team     string
	Class    api.Class
	Declared api.Resources
	RunTime  time.Duration
}

// SignatureOf returns the signature of a job.
func SignatureOf(spec api.JobSpec) Signature {
	return Signature{Team: spec.Team, Class: spec.Class, Declared: spec.Resources, RunTime: spec.RunTime}
}

// Report is a worker's measurement of one running task.
type Report struct {
	Task       api.TaskID
	Usage      api.Resources
	MeasuredAt time.Time // earliest possible local time of the measurement
	StartedAt  time.Time
}

// Estimate holds the resources and the run time that a task is planned with.
type Estimate struct {
	Resources api.Resources
	RunTime   time.Duration // zero if unbounded or unknown
	Reports   uint32        // number of samples, older ones counted with less weight
	Runs      uint32
}

// signatureStats holds the samples of one signature, as ratios to the declared amounts.
type signatureStats struct {
	milliCPU histogram
	memory   histogram
	runTime  histogram
	lastUsed uint64 // Estimator.useCount at the last use
}

// Estimator learns estimates and decides on actions against running tasks.
type Estimator struct {
	cfg        Config
	stats      map[Signature]*signatureStats
	useCount   uint64 // number of uses of all signatures, the clock of lastUsed
	violations map[api.TaskID]violation
}

// New returns an Estimator. Zero fields of cfg take their defaults.
func New(cfg Config) *Estimator {
	return &Estimator{
		cfg:        cfg.WithDefaults(),
		stats:      make(map[Signature]*signatureStats),
		violations: make(map[api.TaskID]violation),
	}
}

// Configure replaces the configuration and keeps the learned samples.
func (e *Estimator) Configure(cfg Config) {
	e.cfg = cfg.WithDefaults()
}

// Observe adds the samples of a report and returns what to do about the task.
func (e *Estimator) Observe(spec api.JobSpec, r Report) Decision {
	samples := e.statsFor(SignatureOf(spec))
	if spec.Resources.MilliCPU > 0 {
		samples.milliCPU.add(ratio(r.Usage.MilliCPU, spec.Resources.MilliCPU))
	}
	if spec.Resources.MemoryMB > 0 {
		samples.memory.add(ratio(r.Usage.MemoryMB, spec.Resources.MemoryMB))
	}
	return e.nextAction(spec, r)
}

// RecordRun adds the run time of a task that succeeded and removes the task's
// recorded violation.
func (e *Estimator) RecordRun(spec api.JobSpec, task api.TaskID, elapsed time.Duration) {
	delete(e.violations, task)
	if spec.RunTime <= 0 {
		return
	}
	e.statsFor(SignatureOf(spec)).runTime.add(ratio(int64(elapsed), int64(spec.RunTime)))
}

// ForgetTask removes the recorded violation of a task that no longer runs.
func (e *Estimator) ForgetTask(task api.TaskID) {
	delete(e.violations, task)
}

// Estimate returns the resources and run time to plan a pending task of a job
// with. Accelerators are whole devices and stay as declared. Memory cannot be
// reclaimed from a running task, so its estimate is the largest usage seen; the
// estimate for processors is a quantile.
func (e *Estimator) Estimate(spec api.JobSpec) Estimate {
	out := Estimate{Resources: spec.Resources, RunTime: spec.RunTime}
	samples := e.stats[SignatureOf(spec)]
	if samples == nil {
		return out
	}
	enough := samples.memory.total >= uint32(e.cfg.MinReports)
	out.Reports = samples.memory.total
	out.Runs = samples.runTime.total
	out.Resources.MilliCPU = e.adjust(spec.Resources.MilliCPU, samples.milliCPU.quantile(e.cfg.Quantile), enough)
	out.Resources.MemoryMB = e.adjust(spec.Resources.MemoryMB, samples.memory.quantile(1), enough)
	enough = samples.runTime.total >= uint32(e.cfg.MinRuns)
	out.RunTime = time.Duration(e.adjust(int64(spec.RunTime), samples.runTime.quantile(e.cfg.Quantile), enough))
	return out
}

// TaskEstimate returns the resources to account for a running task: the estimate
// of its job, but never less than the last reported usage of the task.
func (e *Estimator) TaskEstimate(spec api.JobSpec, reported api.Resources) api.Resources {
	r := e.Estimate(spec).Resources
	r.MilliCPU = max(r.MilliCPU, reported.MilliCPU)
	r.MemoryMB = max(r.MemoryMB, reported.MemoryMB)
	r.Accelerators = max(r.Accelerators, reported.Accelerators)
	return r
}

// adjust applies a learned ratio to a declared amount: increases immediately,
// decreases only with enough samples and never below MinShare.
func (e *Estimator) adjust(declared int64, learnedRatio float64, enough bool) int64 {
	switch {
	case learnedRatio == 0:
		return declared
	case learnedRatio < 1 && !enough:
		return declared
	}
	return int64(float64(declared) * max(learnedRatio, e.cfg.MinShare))
}

func (e *Estimator) statsFor(s Signature) *signatureStats {
	samples := e.stats[s]
	if samples == nil {
		e.evict()
		samples = &signatureStats{}
		e.stats[s] = samples
	}
	e.useCount++
	samples.lastUsed = e.useCount
	return samples
}

// evict removes the least recently used half of the signatures when there are
// MaxSignatures of them.
func (e *Estimator) evict() {
	if len(e.stats) < e.cfg.MaxSignatures {
		return
	}
	uses := make([]uint64, 0, len(e.stats))
	for _, samples := range e.stats {
		uses = append(uses, samples.lastUsed)
	}
	slices.SortFunc(uses, cmp.Compare[uint64])
	median := uses[len(uses)/2]
	for s, samples := range e.stats {
		if samples.lastUsed <= median {
			delete(e.stats, s)
		}
	}
}

func ratio(part, whole int64) float64 {
	return float64(part) / float64(whole)
}
