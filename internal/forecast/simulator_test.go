package forecast

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is a kind of jobs in a simulation. Its jobs have one step.
type kind struct {
	name      string
	perSecond float64
	tasks     float64 // mean; drawn from an exponential distribution
	maxTasks  int
	work      time.Duration // mean run time
	processor float64       // mean per task
	memory    float64       // GB per processor
	stretch   float64
	target    time.Duration
	advice    time.Duration // duration of the advice call
	share     float64       // of the executors on which a job may run
	gang      bool
}

func (k *kind) objective(run time.Duration) time.Duration {
	return time.Duration(k.stretch*float64(run)) + k.target
}

// simJob is a job in a simulation.
type simJob struct {
	kind             *kind
	submitted        time.Duration // newest submission
	tries            int
	tasks            int
	size             Capacity
	run, estimate    time.Duration // actual and estimated run time of each task
	permitted        []bool        // by executor
	reserved         []int         // executors that are kept free for the gang
	wait             time.Duration // forecast when it was accepted
	started, running int
	firstStart       time.Duration
	outcome          outcome
}

type outcome int

const (
	unfinished outcome = iota
	refused
	punctual
	late
	worthless
)

// latestStart returns the latest start with which the job meets the objective that the
// scheduler knows of.
func (j *simJob) latestStart() time.Duration {
	return j.submitted + j.kind.objective(j.estimate) - j.estimate
}

func (j *simJob) inTime(now time.Duration) bool { return now < j.latestStart() }

// before is the start order: jobs that can be in time, by their latest start, then the others.
func (j *simJob) before(o *simJob, now time.Duration) int {
	if a, b := j.inTime(now), o.inTime(now); a != b {
		if a {
			return -1
		}
		return 1
	}
	return cmp.Compare(j.latestStart(), o.latestStart())
}

// simRun is a running task.
type simRun struct {
	job        *simJob
	executor   int
	start, end time.Duration
}

// expectedEnd returns when the run is expected to end, as plan.allocation does.
func (r *simRun) expectedEnd(now time.Duration) time.Duration {
	if end := r.start + r.job.estimate; end > now {
		return end
	}
	return now + (now-r.start)/2
}

// simulator plays the executors and the planning of a cell, without network and failures.
type simulator struct {
	random  *rand.Rand
	fleet   []Executor
	now     time.Duration
	waiting []*simJob
	runs    []*simRun
	jobs    []*simJob
	retries map[time.Duration][]*simJob // by tick
}

const (
	simTick         = 20 * time.Millisecond
	simMaxTries     = 3
	simReservations = 6 // gangs that keep executors free
)

func newSimulator(executors int, seed uint64) *simulator {
	s := &simulator{random: rand.New(rand.NewPCG(seed, 1)), retries: make(map[time.Duration][]*simJob)}
	for range executors {
		c := Capacity{64_000, 128 * 1024}
		s.fleet = append(s.fleet, Executor{Capacity: c, Free: c})
	}
	return s
}

// newJob draws a job. Estimates are off by 20 to 90% either way.
func (s *simulator) newJob(k *kind) *simJob {
	processors := k.processor * (0.6 + 0.8*s.random.Float64())
	j := &simJob{
		kind: k, tasks: min(k.maxTasks, 1+int(s.random.ExpFloat64()*(k.tasks-1)+0.5)),
		size: Capacity{int64(1000 * processors), int64(1024 * processors * k.memory)},
		run:  time.Duration(float64(k.work) * (0.5 + s.random.Float64())),
	}
	off := 0.2 + 0.7*s.random.Float64()
	if s.random.IntN(2) == 0 {
		off = 1/(1+off) - 1
	}
	j.estimate = time.Duration(float64(j.run) * (1 + off))
	for range s.fleet {
		j.permitted = append(j.permitted, s.random.Float64() < k.share)
	}
	return j
}

// arrivals returns the jobs that are submitted in this tick.
func (s *simulator) arrivals(kinds []kind, factor float64) []*simJob {
	jobs := s.retries[s.now/simTick]
	delete(s.retries, s.now/simTick)
	for i := range kinds {
		for range s.poisson(kinds[i].perSecond * factor * simTick.Seconds()) {
			j := s.newJob(&kinds[i])
			s.jobs = append(s.jobs, j)
			jobs = append(jobs, j)
		}
	}
	return jobs
}

func (s *simulator) poisson(mean float64) int {
	n, p := 0, s.random.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= s.random.Float64()
	}
	return n
}

// refuse has the client return later, or give up after some tries.
func (s *simulator) refuse(j *simJob, after time.Duration) {
	j.tries++
	if j.tries >= simMaxTries {
		j.outcome = refused
		return
	}
	at := (s.now + after + simTick - 1) / simTick
	s.retries[at] = append(s.retries[at], j)
}

// endRuns ends the runs that are due.
func (s *simulator) endRuns() {
	s.runs = slices.DeleteFunc(s.runs, func(r *simRun) bool {
		if r.end > s.now {
			return false
		}
		e := &s.fleet[r.executor]
		e.Free = e.Free.Add(r.job.size)
		r.job.running--
		if j := r.job; j.running == 0 && j.started == j.tasks {
			objective := j.kind.objective(j.run)
			switch took := s.now - j.submitted; {
			case took <= objective:
				j.outcome = punctual
			case took <= 3*objective:
				j.outcome = late
			default:
				j.outcome = worthless
			}
		}
		return true
	})
}

// plan starts what can start, in start order. Up to simReservations gangs that don't fit keep
// the executors on which they fit soonest free from work that would delay them, as planned for
// internal/gather.
func (s *simulator) plan() {
	slices.SortStableFunc(s.waiting, func(a, b *simJob) int { return a.before(b, s.now) })
	reserved := make(map[int]time.Duration)
	gangs := 0
	for _, j := range s.waiting {
		if s.now < j.submitted+j.kind.advice {
			continue
		}
		chosen := s.choose(j, func(e int) Capacity {
			until, isReserved := reserved[e]
			if isReserved && !slices.Contains(j.reserved, e) && j.estimate > time.Second && s.now+j.estimate > until {
				return Capacity{}
			}
			return s.fleet[e].Free
		})
		if j.kind.gang && len(chosen) < j.tasks {
			if gangs < simReservations && s.now < j.submitted+3*j.kind.objective(j.estimate)-j.estimate {
				s.reserve(j, reserved)
				gangs++
			}
			continue
		}
		for _, e := range chosen {
			s.start(j, e)
		}
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(j *simJob) bool { return j.started == j.tasks })
}

// choose returns an executor for each task of a job that fits.
func (s *simulator) choose(j *simJob, free func(e int) Capacity) []int {
	var chosen []int
	for e, permitted := range j.permitted {
		if !permitted {
			continue
		}
		for left := free(e); left.holds(j.size); left = left.sub(j.size) {
			chosen = append(chosen, e)
			if len(chosen) == j.tasks-j.started {
				return chosen
			}
		}
	}
	return chosen
}

// reserve keeps the executors free on which a gang fits soonest. The set is kept until the gang
// starts, and only the time at which it fits there is determined anew.
func (s *simulator) reserve(j *simJob, reserved map[int]time.Duration) {
	for _, ahead := range []time.Duration{250, 500, 1000, 2000, 4000, 8000, 16000} {
		at := s.now + ahead*time.Millisecond
		released := make([]Capacity, len(s.fleet))
		for _, r := range s.runs {
			if r.expectedEnd(s.now) <= at {
				released[r.executor] = released[r.executor].Add(r.job.size)
			}
		}
		chosen := s.choose(j, func(e int) Capacity {
			if _, taken := reserved[e]; taken || j.reserved != nil && !slices.Contains(j.reserved, e) {
				return Capacity{}
			}
			return s.fleet[e].Free.Add(released[e])
		})
		if len(chosen) == j.tasks {
			j.reserved = slices.Compact(chosen)
			for _, e := range j.reserved {
				reserved[e] = at
			}
			return
		}
	}
	j.reserved = nil
}

func (s *simulator) start(j *simJob, e int) {
	if j.started == 0 {
		j.firstStart = s.now
	}
	j.started++
	j.running++
	s.fleet[e].Free = s.fleet[e].Free.sub(j.size)
	s.runs = append(s.runs, &simRun{job: j, executor: e, start: s.now, end: s.now + j.run})
}

// couldStart reports whether a job fits into what is free now and would be left if all
// accepted jobs ahead of it started that fit.
func (s *simulator) couldStart(j *simJob) bool {
	free := make([]Capacity, len(s.fleet))
	for e := range free {
		free[e] = s.fleet[e].Free
	}
	at := func(e int) Capacity { return free[e] }
	for _, o := range s.waiting {
		if o.before(j, s.now) > 0 {
			continue
		}
		chosen := s.choose(o, at)
		if o.kind.gang && len(chosen) < o.tasks {
			continue
		}
		for _, e := range chosen {
			free[e] = free[e].sub(o.size)
		}
	}
	return len(s.choose(j, at)) == j.tasks
}
