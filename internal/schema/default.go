package schema

import "github.com/skylarklock/skylarklock/api"

// Routing policies of a service.
const (
	RoutingLeastLoaded = "least-loaded"
	RoutingBaseline    = "baseline" // round robin, three retries, no limits; a baseline for comparisons
)

// DefaultService returns the spec of a service whose record sets no fields.
func DefaultService(name string) api.ServiceSpec {
	return api.ServiceSpec{
		Service:        name,
		RoutingPolicy:  RoutingLeastLoaded,
		TimeoutMs:      10_000,
		MaxAttempts:    3,
		RetryBudget:    0.1,
		QueueLength:    200,
		QueueTimeoutMs: 2_000,
		MaxBodyBytes:   1 << 20,
		MaxAnswerBytes: 4 << 20,
		CallerShare:    0.5,
	}
}

// DefaultJob returns a job with one task. Team and resources have no defaults.
func DefaultJob(id api.JobID, class api.Class) api.JobSpec {
	return api.JobSpec{ID: id, Class: class, Priority: api.PriorityDefault, Tasks: 1, MaxAttempts: 3}
}

// DefaultPolicy returns the policy that applies until one is published.
func DefaultPolicy() api.PolicySpec {
	return api.PolicySpec{
		SampleSize:         32,
		QuarantineShare:    0.1,
		QuarantineFailures: 5,
		MaxPreemptions:     20,
		OveruseFactor:      1.25,
		OverrunFactor:      3,
	}
}

// DefaultLimits returns the limits of a caller if there is neither a record for
// the caller nor one for AnyCaller.
func DefaultLimits() api.LimitsSpec {
	return api.LimitsSpec{Caller: AnyCaller, RatePerSecond: 500, Burst: 1000, Concurrency: 200}
}
