package dispatch

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/admission"
	"github.com/skylarklock/skylarklock/internal/plan"
	"github.com/skylarklock/skylarklock/internal/work"
)

// admitByForecast decides whether a job is accepted, given the forecast of when it would run.
// The caller holds r.mu.
func (r *Runner) admitByForecast(j *work.Job, f *plan.JobForecast, beforeAdvice time.Duration) admission.Decision {
	request := admission.ForecastRequest{
		End: f.End, Objective: f.Objective, DelayedEnd: f.DelayedEnd, FreeNow: f.FreeNow, InTimeEnd: f.InTimeEnd, InExcess: f.InExcess,
	}
	if request.Decide().Reason == "" {
		r.cell.BookForecast(f)
		return admission.Decision{}
	}
	request.RetryAfter = r.cell.RetryAfter(f) // only for refused jobs, since it books the retry
	decision := request.Decide()
	r.cfg.Logger.WithFields(logrus.Fields{
		"job": j.ID, "queue": j.Queue, "workspace": j.Workspace, "first_start_ms": f.First.Milliseconds(), "last_start_ms": f.Last.Milliseconds(),
		"end_ms": f.End.Milliseconds(), "in_time_end_ms": f.InTimeEnd.Milliseconds(), "delayed_end_ms": f.DelayedEnd.Milliseconds(),
		"objective_ms": f.Objective.Milliseconds(), "wait_advice_ms": beforeAdvice.Milliseconds(), "in_excess": f.InExcess,
		"retry_ms": decision.RetryAfter.Milliseconds(),
	}).Info("job refused: " + string(decision.Reason))
	return decision
}
