package plan

import (
	"slices"
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/forecast"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

const (
	// forecastInterval is the minimum time between two builds of the profiles.
	forecastInterval = 100 * time.Millisecond
	// forecastLogInterval is the time between two reports of the forecasts' accuracy.
	forecastLogInterval = 5 * time.Second
)

// forecasts is what a cell keeps for forecasts of new jobs. All of it is lost with the leader.
type forecasts struct {
	builtAt  time.Time
	services map[string]*serviceForecast
	expected map[work.ID]expectedStart // accepted jobs that have not started
	accuracy forecast.Accuracy
	loggedAt time.Time
}

// serviceForecast is the profile of the executors of one service.
type serviceForecast struct {
	executors []forecast.Executor
	releases  []forecast.Release
	waiting   []forecastEntry // in start order
	profile   *forecast.Profile
	retries   *forecast.Retries
	arrivals  *forecast.Arrivals // of queues of the service
}

// forecastEntry is a demand that is booked in a profile.
type forecastEntry struct {
	rank   rank // without a step if the job is only expected to arrive
	demand forecast.Demand
}

// expectedStart is the forecast with which a job was accepted.
type expectedStart struct {
	acceptedAt time.Time
	wait       time.Duration // until its first start
}

// JobForecast is the forecast of a new job. Its times are durations from the time of the
// submission.
type JobForecast struct {
	First, Last time.Duration // first and last start of a task
	End         time.Duration
	InTimeEnd   time.Duration // see forecast.Forecast
	DelayedEnd  time.Duration // end if only the delay given by the caller kept the job back
	Objective   time.Duration // time in which the job should end
	FreeNow     bool
	InExcess    bool // its workspace submits more than its weight or uses more than its share

	id       work.ID
	queue    string
	now      time.Time
	rank     rank
	service  *serviceForecast
	job      forecast.Job // with durations from the moment of the profile
	position int          // number of entries ahead of it
	forecast forecast.Forecast
}

// Forecast returns the forecast of a job that is submitted at a time and can't start before a
// delay, for example because of advice calls. There is none unless Config.Overload is set, as
// long as a new leader awaits the reports of executors, and for jobs that only some executors
// can run or that have no end.
func (c *Cell) Forecast(j *work.Job, q *queue.Queue, delay time.Duration, wallMillis int64, now time.Time) (*JobForecast, bool) {
	if q == nil || j.Repetitions > 0 || j.LongRunning() || slices.ContainsFunc(j.Steps, needsCertainExecutors) {
		return nil, false
	}
	c.updateForecasts(now)
	f, known := c.forecast(j, q, delay, wallMillis, now)
	if !known || f.End <= f.Objective || f.FreeNow {
		return f, known
	}
	executors := c.executorsFor(c.newJobStep(j, q, f.rank, now), q.Service, delay, now)
	if f.findFree(executors); !f.FreeNow && c.forecasts.builtAt.Before(c.plannedAt) && forecast.FitsNow(executors, &f.job) {
		// Steps ahead of the job may have started since the profile was built.
		c.buildForecasts(now)
		if f, known = c.forecast(j, q, delay, wallMillis, now); known {
			f.findFree(executors)
		}
	}
	return f, known
}

// forecast returns the forecast of a job from the present profile.
func (c *Cell) forecast(j *work.Job, q *queue.Queue, delay time.Duration, wallMillis int64, now time.Time) (*JobForecast, bool) {
	s := c.forecasts.services[q.Service]
	if s == nil || s.profile == nil {
		return nil, false
	}
	age := min(maxAge, time.Duration(max(0, wallMillis-j.AcceptedMs))*time.Millisecond)
	passed := max(0, now.Sub(c.forecasts.builtAt))
	f := &JobForecast{
		id: j.ID, queue: q.Name, now: now, service: s, DelayedEnd: delay + j.CriticalPath(), Objective: objectiveFor(j, q) - age,
		job: c.forecastJob(j, q, passed, delay, now),
	}
	f.job.Objective = passed + f.Objective
	f.rank = c.rankOfNew(j, f.Objective, now)
	f.InExcess = f.rank.Excess || f.rank.OverShare
	f.position = s.positionOf(f.rank)
	f.forecast = s.profile.Forecast(&f.job, f.position)
	f.First, f.Last, f.FreeNow = f.forecast.First-passed, f.forecast.Last-passed, f.forecast.FreeNow
	f.End, f.InTimeEnd = f.forecast.End-passed, f.forecast.InTimeEnd-passed
	return f, true
}

// findFree sets FreeNow if there is capacity for the job on executors as they are now. Runs often end
// earlier than the profile expects.
func (f *JobForecast) findFree(executors []forecast.Executor) {
	f.FreeNow = f.FreeNow || f.service.profile.FreeIn(executors, &f.job, f.position)
	f.forecast.FreeNow = f.FreeNow
}

// forecastJob returns what a job needs that is submitted now, which is some time after the moment that
// its times count from, and that can't start before a delay.
func (c *Cell) forecastJob(j *work.Job, q *queue.Queue, passed, delay time.Duration, now time.Time) forecast.Job {
	job := forecast.Job{Steps: make([]forecast.Step, len(j.Steps)), Submitted: passed, SincePlacement: now.Sub(c.plannedAt)}
	for i := range j.Steps {
		job.Steps[i] = forecast.Step{DependsOn: j.Steps[i].DependsOn, Demand: c.demandOf(&j.Steps[i], q, j.Steps[i].TaskCount)}
		job.Steps[i].NotBefore = passed + delay
	}
	return job
}

// needsCertainExecutors reports whether a step can't run on any executor of its service. The
// profile doesn't distinguish the executors.
func needsCertainExecutors(s work.Step) bool {
	return s.RequiredLabel != "" || s.TaskResources.Accelerators > 0
}

// hasJobToken reports whether a job that arrives now would not be in excess of the weight.
func (w *workspace) hasJobToken(now time.Time) bool {
	if w.weight <= 0 {
		return true
	}
	elapsed := max(0, now.Sub(w.refilledAt))
	return min(w.jobBurst(), w.jobTokens+w.weight*elapsed.Seconds()) >= 1
}

// BookForecast counts the job of a forecast as accepted.
func (c *Cell) BookForecast(f *JobForecast) {
	f.service.profile.Add(&f.job, f.position, f.forecast)
	if !f.InExcess { // what arrives in excess starts behind the waiting steps
		f.service.arrivals.Record(f.queue, &f.job, f.now)
	}
	if c.forecasts.expected == nil {
		c.forecasts.expected = make(map[work.ID]expectedStart)
	}
	c.forecasts.expected[f.id] = expectedStart{f.now, f.First}
}

// RetryAfter returns after which time the job of a forecast should be submitted again, and
// counts it as expected then.
func (c *Cell) RetryAfter(f *JobForecast) time.Duration {
	return f.service.retries.Next(f.service.profile, c.forecasts.builtAt, &f.job)
}

// recordFirstStart compares the forecast of a job that has started with its actual wait.
func (c *Cell) recordFirstStart(j *job, now time.Time) {
	if e, known := c.forecasts.expected[j.spec.ID]; known {
		delete(c.forecasts.expected, j.spec.ID)
		c.forecasts.accuracy.Record(j.spec.Queue, e.wait, now.Sub(e.acceptedAt))
	}
}

// LogForecasts logs at intervals how accurate the forecasts were for each queue.
func (c *Cell) LogForecasts(now time.Time) {
	if !c.cfg.Overload || now.Sub(c.forecasts.loggedAt) < forecastLogInterval {
		return
	}
	c.forecasts.loggedAt = now
	for id, e := range c.forecasts.expected {
		if now.Sub(e.acceptedAt) > maxAge { // cancelled, or not stored after all
			delete(c.forecasts.expected, id)
		}
	}
	for _, s := range c.forecasts.accuracy.Take() {
		c.logger.WithFields(logrus.Fields{
			"queue": s.Queue, "starts": s.Starts, "accurate_percent": int(100 * s.Accurate),
			"error_p10_ms": s.P10.Milliseconds(), "error_p50_ms": s.P50.Milliseconds(), "error_p90_ms": s.P90.Milliseconds(),
		}).Info("forecast minus actual wait for the first start")
	}
}

// positionOf returns how many entries start before a new job of a rank.
func (s *serviceForecast) positionOf(r rank) int {
	sorted := s.waiting
	moved := 0 // the largest gang, which goes first whatever its rank is
	if len(sorted) > 1 && sorted[0].rank.compare(sorted[1].rank) > 0 {
		sorted, moved = sorted[1:], 1
	}
	return moved + sort.Search(len(sorted), func(i int) bool { return sorted[i].rank.compare(r) > 0 })
}
