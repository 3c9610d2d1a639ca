// Package estimate learns what tasks really use and how long they run from
// the workers' lagging reports, and says what to do about a task that uses
// or runs far beyond what was declared.
//
// It is pure code: it reads no clock and does no I/O. Times are the local
// ones of the process that asks. An Estimator is not safe for concurrent use.
package estimate

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// Signature is what jobs have in common that are expected to behave alike:
// a team tends to send the same work under the same declaration.
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

// Report is a worker's word on one running task.
type Report struct {
	Task       api.TaskID
	Usage      api.Resources
	MeasuredAt time.Time // local time of the measurement, at the earliest
	StartedAt  time.Time
}

// Estimate is what to plan a task with.
type Estimate struct {
	Resources api.Resources
	RunTime   time.Duration // zero: unending, or not known
	Reports   uint32        // samples it rests on, with older ones faded
	Runs      uint32
}

// learned is what is known of one signature.
type learned struct {
	milliCPU histogram
	memory   histogram
	runTime  histogram
	used     uint64 // Estimator.clock at the last use
}

// Estimator learns and judges.
type Estimator struct {
	cfg      Config
	known    map[Signature]*learned
	clock    uint64 // counts uses
	offences map[api.TaskID]offence
}

// New returns an Estimator. Zero fields of cfg take their defaults.
func New(cfg Config) *Estimator {
	return &Estimator{
		cfg:      cfg.WithDefaults(),
		known:    make(map[Signature]*learned),
		offences: make(map[api.TaskID]offence),
	}
}

// Configure replaces the configuration; what was learned stays.
func (e *Estimator) Configure(cfg Config) {
	e.cfg = cfg.WithDefaults()
}

// Observe learns from a report and returns what to do about the task.
func (e *Estimator) Observe(spec api.JobSpec, r Report) Decision {
	l := e.learnedOf(SignatureOf(spec))
	if spec.Resources.MilliCPU > 0 {
		l.milliCPU.add(ratio(r.Usage.MilliCPU, spec.Resources.MilliCPU))
	}
	if spec.Resources.MemoryMB > 0 {
		l.memory.add(ratio(r.Usage.MemoryMB, spec.Resources.MemoryMB))
	}
	return e.judge(spec, r)
}

// RecordRun learns the run time of a task that ended well, and forgets what
// was held against it.
func (e *Estimator) RecordRun(spec api.JobSpec, task api.TaskID, ran time.Duration) {
	delete(e.offences, task)
	if spec.RunTime <= 0 {
		return
	}
	e.learnedOf(SignatureOf(spec)).runTime.add(ratio(int64(ran), int64(spec.RunTime)))
}

// ForgetTask drops what was held against a task that no longer runs.
func (e *Estimator) ForgetTask(task api.TaskID) {
	delete(e.offences, task)
}

// Estimate returns what to plan a pending task of a job with. Accelerators
// are whole devices and stay as declared. Memory can't be taken back, so it
// is planned by the largest use seen; processors by a quantile.
func (e *Estimator) Estimate(spec api.JobSpec) Estimate {
	out := Estimate{Resources: spec.Resources, RunTime: spec.RunTime}
	l := e.known[SignatureOf(spec)]
	if l == nil {
		return out
	}
	enough := l.memory.total >= uint32(e.cfg.MinReports)
	out.Reports = l.memory.total
	out.Runs = l.runTime.total
	out.Resources.MilliCPU = e.plan(spec.Resources.MilliCPU, l.milliCPU.quantile(e.cfg.Quantile), enough)
	out.Resources.MemoryMB = e.plan(spec.Resources.MemoryMB, l.memory.quantile(1), enough)
	enough = l.runTime.total >= uint32(e.cfg.MinRuns)
	out.RunTime = time.Duration(e.plan(int64(spec.RunTime), l.runTime.quantile(e.cfg.Quantile), enough))
	return out
}

// TaskEstimate returns what to count a running task with: the estimate of
// its job, but never less than what was last reported of it.
func (e *Estimator) TaskEstimate(spec api.JobSpec, reported api.Resources) api.Resources {
	r := e.Estimate(spec).Resources
	r.MilliCPU = max(r.MilliCPU, reported.MilliCPU)
	r.MemoryMB = max(r.MemoryMB, reported.MemoryMB)
	r.Accelerators = max(r.Accelerators, reported.Accelerators)
	return r
}

// plan applies a learned ratio to a declared amount: upwards at once,
// downwards only on enough samples and never below the floor.
func (e *Estimator) plan(declared int64, learnedRatio float64, enough bool) int64 {
	switch {
	case learnedRatio == 0:
		return declared
	case learnedRatio < 1 && !enough:
		return declared
	}
	return int64(float64(declared) * max(learnedRatio, e.cfg.MinShare))
}

func (e *Estimator) learnedOf(s Signature) *learned {
	l := e.known[s]
	if l == nil {
		e.evict()
		l = &learned{}
		e.known[s] = l
	}
	e.clock++
	l.used = e.clock
	return l
}

// evict forgets the half of the signatures that were unused longest, once
// there are as many as allowed.
func (e *Estimator) evict() {
	if len(e.known) < e.cfg.MaxSignatures {
		return
	}
	uses := make([]uint64, 0, len(e.known))
	for _, l := range e.known {
		uses = append(uses, l.used)
	}
	slices.SortFunc(uses, cmp.Compare[uint64])
	median := uses[len(uses)/2]
	for s, l := range e.known {
		if l.used <= median {
			delete(e.known, s)
		}
	}
}

func ratio(part, whole int64) float64 {
	return float64(part) / float64(whole)
}
