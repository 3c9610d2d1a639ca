package forecast

import (
	"slices"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/admission"
)

// loadA are the kinds of jobs of load A in docs/overload.md. The durations of advice calls are
// those of calls for 100 executors.
var loadA = []kind{
	{name: "gangs", perSecond: 3.58, tasks: 20, maxTasks: 120, work: 5 * time.Second, processor: 18, memory: 1.83, stretch: 2.2, target: time.Second, advice: 1365 * time.Millisecond, share: 0.3, gang: true},
	{name: "batches", perSecond: 12.8, tasks: 25, maxTasks: 150, work: 2700 * time.Millisecond, processor: 6.9, memory: 1.9, stretch: 4, target: 3 * time.Second, advice: 312 * time.Millisecond, share: 0.45},
	{name: "urgent", perSecond: 82.6, tasks: 3.2, maxTasks: 20, work: 800 * time.Millisecond, processor: 9.9, memory: 1.9, stretch: 1.5, target: 250 * time.Millisecond, advice: 29 * time.Millisecond, share: 0.7},
}

const (
	simExecutors = 273 // of 64 processors: load A needs 83% of them
	burstStart   = 10 * time.Second
	burstEnd     = 15 * time.Second
	burstFactor  = 6
	simEnd       = 30 * time.Second
	simDrain     = 90 * time.Second // no job is submitted any more
)

// decider decides on a job. It returns after which time a refused job should return, or 0.
type decider interface {
	decide(s *simulator, j *simJob) time.Duration
}

// byProfile decides by the forecast of a profile that is built every 100 ms.
type byProfile struct {
	profile  *Profile
	builtAt  time.Duration
	ahead    []*simJob // waiting and expected jobs in start order, as of the profile
	arrivals Arrivals
	retries  Retries
}

func (d *byProfile) decide(s *simulator, j *simJob) time.Duration {
	if d.profile == nil || s.now-d.builtAt >= 100*time.Millisecond {
		d.build(s)
	}
	passed := s.now - d.builtAt
	job := Job{Steps: []Step{{Demand: s.demandOf(j, s.now)}}, Submitted: passed, Objective: passed + j.kind.objective(j.estimate)}
	job.Steps[0].NotBefore += passed
	position := 0
	for _, o := range d.ahead {
		if o.before(j, s.now) <= 0 {
			position++
		}
	}
	f := d.profile.Forecast(&job, position)
	request := admission.ForecastRequest{
		End: f.End - passed, Objective: j.kind.objective(j.estimate), DelayedEnd: j.kind.advice + j.estimate, FreeNow: f.FreeNow, InTimeEnd: f.InTimeEnd - passed,
	}
	if f.End > job.Objective && !f.FreeNow && d.profile.FreeIn(s.fleet, &job, position) {
		request.FreeNow, f.FreeNow = true, true
	}
	if request.Decide().Reason == "" {
		d.profile.Add(&job, position, f)
		d.arrivals.Record(j.kind.name, &job, time.Unix(0, 0).Add(s.now))
		j.wait = f.First - passed
		return 0
	}
	start := time.Unix(0, 0)
	return d.retries.Next(d.profile, start.Add(d.builtAt), &job)
}

func (d *byProfile) build(s *simulator) {
	var releases []Release
	for _, r := range s.runs {
		releases = append(releases, Release{After: r.expectedEnd(s.now) - s.now, Capacity: r.job.size})
	}
	d.ahead = append(d.ahead[:0], s.waiting...)
	demands := make(map[*simJob]Demand)
	for _, o := range d.ahead {
		demands[o] = s.demandOf(o, s.now)
	}
	for _, e := range d.arrivals.Expect(MaxHorizon, time.Unix(0, 0).Add(s.now)) {
		// A job whose latest start is that of the demand.
		o := &simJob{kind: &kind{target: s.now + e.LatestStart}}
		demands[o] = e
		d.ahead = append(d.ahead, o)
	}
	slices.SortStableFunc(d.ahead, func(a, b *simJob) int { return a.before(b, s.now) })
	var waiting []Demand
	for _, o := range d.ahead {
		waiting = append(waiting, demands[o])
	}
	fleet := append([]Executor(nil), s.fleet...)
	d.profile, d.builtAt = Build(MaxHorizon, fleet, releases, waiting), s.now
}

// demandOf returns what a job still has to start. The share of executors is that of its kind,
// as the leader learns it.
func (s *simulator) demandOf(j *simJob, now time.Duration) Demand {
	return Demand{
		Tasks: j.tasks - j.started, Task: j.size, Run: j.estimate, Gang: j.kind.gang, Share: j.kind.share,
		NotBefore: max(0, j.submitted+j.kind.advice-now), LatestStart: j.latestStart() - now,
	}
}

// byBacklog decides as the leader does without Overload: by the work of the jobs ahead that
// can be in time.
type byBacklog struct{ controller admission.Controller }

func (d *byBacklog) decide(s *simulator, j *simJob) time.Duration {
	capacity := float64(len(s.fleet)) * 64_000
	timeOf := func(o *simJob) time.Duration {
		return time.Duration(float64(o.tasks-o.started) * float64(o.size.MilliCPU) * float64(o.estimate) / capacity)
	}
	var ahead, all time.Duration
	for _, o := range s.waiting {
		all += timeOf(o)
		if o.inTime(s.now) && o.latestStart() <= j.latestStart() {
			ahead += timeOf(o)
		}
	}
	request := admission.Request{
		ExpectedWait: ahead, MaxUsefulWait: min(admission.BacklogThreshold, 3*j.kind.objective(j.estimate)-j.estimate),
		Demands: []admission.Demand{{Resource: "room", Backlog: all, Added: timeOf(j)}},
	}
	j.wait = ahead
	decision := d.controller.Decide(request, time.Unix(0, 0).Add(s.now))
	if decision.Reason == "" {
		return 0
	}
	return max(time.Second, decision.RetryAfter)
}

// results are the outcomes of the jobs of one kind.
type results struct {
	outcomes         [worthless + 1]int
	accepted         int
	starts, accurate int
}

// overload is what callers got in a simulation.
type overload struct {
	kinds        map[string]*results
	refusals     int
	refusedFree  int // refusals of jobs for which capacity was free
	earliestBack map[time.Duration]int
	free         map[string]int
}

// playOverload plays load A with a burst.
func playOverload(d decider, seed uint64) overload {
	s := newSimulator(simExecutors, seed)
	out := overload{kinds: make(map[string]*results), earliestBack: make(map[time.Duration]int), free: make(map[string]int)}
	for ; s.now < simDrain; s.now += simTick {
		s.endRuns()
		s.plan()
		factor := 1.0
		switch {
		case s.now >= simEnd:
			factor = 0
		case s.now >= burstStart && s.now < burstEnd:
			factor = burstFactor
		}
		for _, j := range s.arrivals(loadA, factor) {
			j.submitted = s.now
			after := d.decide(s, j)
			if after == 0 {
				s.waiting = append(s.waiting, j)
				continue
			}
			out.refusals++
			if s.couldStart(j) {
				out.refusedFree++
				out.free[j.kind.name]++
			}
			out.earliestBack[after.Truncate(time.Second)]++
			s.refuse(j, after)
		}
	}
	for _, j := range s.jobs {
		r := out.kinds[j.kind.name]
		if r == nil {
			r = &results{}
			out.kinds[j.kind.name] = r
		}
		if j.outcome == unfinished {
			j.outcome = worthless
		}
		r.outcomes[j.outcome]++
		if j.outcome == refused {
			continue
		}
		r.accepted++
		if j.started > 0 {
			r.starts++
			off := (j.wait - (j.firstStart - j.submitted)).Abs()
			if off <= max(accurateError, time.Duration(accurateShare*float64(j.wait))) {
				r.accurate++
			}
		}
	}
	return out
}

func (o *overload) log(t *testing.T, name string) (accepted, lost int) {
	for _, k := range loadA {
		r := o.kinds[k.name]
		accepted += r.accepted
		lost += r.outcomes[worthless]
		t.Logf("%-8s %-8s refused %4d, punctual %4d, late %4d, worthless %4d; in time of accepted %.3f, of all %.3f; forecast accurate %.2f", name, k.name,
			r.outcomes[refused], r.outcomes[punctual], r.outcomes[late], r.outcomes[worthless],
			float64(r.outcomes[punctual])/float64(r.accepted), float64(r.outcomes[punctual])/float64(r.accepted+r.outcomes[refused]), float64(r.accurate)/float64(r.starts))
	}
	t.Logf("%s: %d refusals, %d while capacity was free, %v; worthless of accepted %.4f; times to return, by second: %v", name, o.refusals, o.refusedFree, o.free, float64(lost)/float64(accepted), o.earliestBack)
	return accepted, lost
}

// Guards against admission that accepts jobs in a burst which then end when they are worthless
// or make accepted urgent jobs late, and against refusals while there is capacity. The present
// way is played for comparison.
func TestOverloadIsServed(t *testing.T) {
	for seed := range uint64(2) {
		profile := playOverload(&byProfile{}, seed)
		accepted, lost := profile.log(t, "profile")
		backlog := playOverload(&byBacklog{}, seed)
		backlog.log(t, "backlog")
		urgent := profile.kinds["urgent"]
		if got := float64(urgent.outcomes[punctual]) / float64(urgent.accepted); got < 0.9 {
			t.Errorf("seed %d: %.3f of the accepted urgent jobs in time, want 0.9", seed, got)
		}
		if float64(lost) > 0.02*float64(accepted) {
			t.Errorf("seed %d: %d of %d accepted jobs were worthless", seed, lost, accepted)
		}
	}
}

// Guards against refusals of jobs for which capacity is free at that moment.
func TestNoRefusalWhileCapacityIsFree(t *testing.T) {
	for seed := range uint64(2) {
		if p := playOverload(&byProfile{}, seed); p.refusedFree > 0 {
			t.Errorf("seed %d: %d of %d refusals while capacity was free", seed, p.refusedFree, p.refusals)
		}
	}
}
