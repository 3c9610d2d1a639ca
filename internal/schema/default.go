package schema

import "github.com/skylarklock/skylarklock/api"

// Routing policies of a service.
const (
	RoutingLeastLoaded = "least-loaded"
	RoutingBaseline    = "baseline" // round robin, three retries, no limits: to measure against
)

// DefaultService returns the service that a record without fields stands for.
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

// DefaultJob returns a job of one task; its team and resources have no default.
func DefaultJob(id api.JobID, class api.Class) api.JobSpec {
	return api.JobSpec{ID: id, Class: class, Priority: api.PriorityDefault, Tasks: 1, MaxAttempts: 3}
}

// DefaultPolicy returns the policy in force while none is published.
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

// DefaultLimits returns the limits of callers while no record names them or
// AnyCaller.
func DefaultLimits() api.LimitsSpec {
	return api.LimitsSpec{Caller: AnyCaller, RatePerSecond: 500, Burst: 1000, Concurrency: 200}
}
