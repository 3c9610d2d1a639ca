package jobapi

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/work"
)

// reasonBusy is the reason of a refusal for want of capacity.
const reasonBusy = "too much waits before it for the job to end in time"

// refuseHere refuses a job that the leader would refuse for want of capacity, without a call to it. It
// returns nil if the job is to be passed on.
func (a *API) refuseHere(r *request, j *work.Job) *response {
	if a.RefuseHere == nil || (a.CutOff != nil && a.CutOff()) {
		return nil
	}
	verdict := a.RefuseHere(j, r.queue)
	if !verdict.Refused {
		return nil
	}
	// The news came with the states of all jobs that were stored before it was made. The job may have
	// become known since submitJob looked for it.
	if _, known := a.Replica.Get(j.ID); known {
		return nil
	}
	remaining, stated := a.Codec.Remaining(r.Header)
	if stated {
		remaining = max(remaining-time.Since(r.arrivedAt), time.Millisecond) // 0 would mean that none is stated
	} else {
		remaining = 0
	}
	retryAfter := verdict.RetryAfter(j.ID, remaining)
	a.Logger.WithFields(logrus.Fields{
		"job": j.ID, "queue": j.Queue, "workspace": j.Workspace, "age_ms": verdict.Age.Milliseconds(), "retry_ms": retryAfter.Milliseconds(),
	}).Info("job refused here: its queue is full")
	return a.refuse(http.StatusTooManyRequests, reasonBusy, retryAfter)
}
