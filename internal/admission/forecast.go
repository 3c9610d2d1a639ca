package admission

import "time"

// Reasons for refusing a job by its forecast, in addition to TooLate.
const (
	InExcess Reason = "it would end late and its workspace submits or uses more than its share"
	Booked   Reason = "it would end late and accepted jobs need the capacity"
)

// worthlessFactor is how many times its objective a job may take and still be of use: clients
// pay a fifth for a job that ends until three times its objective and nothing for a later one.
const worthlessFactor = 3

// ForecastRequest describes a submitted job by the forecast of when it would run. All times
// are durations from now.
type ForecastRequest struct {
	End       time.Duration // expected end
	Objective time.Duration // until when the job should have ended
	// DelayedEnd is the expected end if the job waited for no executor, but only for advice and
	// for its workspace's cap. Free executors are of no use to it until then.
	DelayedEnd time.Duration
	FreeNow    bool // executors with capacity for it are free now
	// InTimeEnd is the expected end if only those accepted jobs ahead of it were served that are
	// expected to be in time.
	InTimeEnd  time.Duration
	InExcess   bool          // its workspace submits more than its weight or uses more than its share
	RetryAfter time.Duration // time after which capacity for it is expected
}

// Decide returns whether the job is accepted.
//
// A job is refused if it would end when it is worthless, or late while its workspace is in
// excess, or late because the capacity until its objective is needed by accepted jobs that can
// be in time. It is accepted in any case while executors are free for it, except if advice or
// its cap alone keep it back until it is worthless.
func (r ForecastRequest) Decide() Decision {
	worthlessAfter := worthlessFactor * r.Objective
	switch {
	case r.DelayedEnd > worthlessAfter:
		return Decision{Reason: TooLate, RetryAfter: max(r.RetryAfter, r.DelayedEnd-worthlessAfter)}
	case r.FreeNow || r.End <= r.Objective:
		return Decision{}
	case r.End > worthlessAfter:
		return Decision{Reason: TooLate, RetryAfter: r.RetryAfter}
	case r.InExcess:
		return Decision{Reason: InExcess, RetryAfter: r.RetryAfter}
	case r.InTimeEnd > r.Objective:
		return Decision{Reason: Booked, RetryAfter: r.RetryAfter}
	default:
		return Decision{}
	}
}
