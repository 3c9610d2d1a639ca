package api

import "encoding/json"

// Kind is the kind of a record, which determines the type of its spec.
type Kind string

// Kinds of records, with the types of their specs.
const (
	KindService  Kind = "service"  // ServiceSpec
	KindBatchJob Kind = "batchjob" // JobSpec with ClassBatch
	KindGangJob  Kind = "gangjob"  // JobSpec with ClassGang
	KindPolicy   Kind = "policy"   // PolicySpec
	KindQuota    Kind = "quota"    // QuotaSpec
	KindLimits   Kind = "limits"   // LimitsSpec
)

// Record is one versioned record published by an operator. Its key consists of
// kind and name. A record is accepted only if BasedOn equals the key's revision
// in force, so of several records based on the same revision the first in log
// order is accepted.
type Record struct {
	Kind          Kind            `json:"kind"`
	Name          string          `json:"name"`
	SchemaVersion int             `json:"schema_version"`
	BasedOn       Revision        `json:"based_on"` // 0: the key must not exist
	Deleted       bool            `json:"deleted,omitempty"`
	Spec          json.RawMessage `json:"spec,omitempty"`
}

// ServiceSpec configures how requests to a service are routed (schema version 2).
type ServiceSpec struct {
	Service        string       `json:"service"`
	RoutingPolicy  string       `json:"routing_policy"` // "least-loaded" or "baseline"
	TimeoutMs      int64        `json:"timeout_ms"`     // used when the caller sets no timeout
	MaxAttempts    int          `json:"max_attempts"`
	RetryBudget    float64      `json:"retry_budget"` // retries per request, 0 to 1
	QueueLength    int          `json:"queue_length"` // requests per entry VM
	QueueTimeoutMs int64        `json:"queue_ms"`     // maximum wait in the queue
	MaxBodyBytes   int64        `json:"max_body_bytes"`
	MaxAnswerBytes int64        `json:"max_answer_bytes"`
	CallerShare    float64      `json:"caller_share"` // maximum share of the slots for one caller under contention
	DataCentres    []DataCentre `json:"data_centres,omitempty"`
	Job            *JobSpec     `json:"job,omitempty"` // tasks of the service; nil when the cell does not run them
}

// PolicySpec holds the parameters of placement, preemption and quarantine.
type PolicySpec struct {
	SampleSize         int     `json:"sample_size"`         // number of VMs scored per placement
	QuarantineShare    float64 `json:"quarantine_share"`    // maximum share of the fleet in quarantine
	QuarantineFailures int     `json:"quarantine_failures"` // failed starts before a VM is considered for quarantine
	MaxPreemptions     int     `json:"max_preemptions"`     // per scheduling cycle
	OveruseFactor      float64 `json:"overuse_factor"`      // ratio of reported to declared use above which the scheduler acts
	OverrunFactor      float64 `json:"overrun_factor"`      // ratio of actual to declared run time above which the scheduler acts
}

// QuotaSpec limits the resources that a team may hold at the same time and sets
// its weight in the sharing of idle capacity.
type QuotaSpec struct {
	Team   string    `json:"team"`
	Max    Resources `json:"max"`
	Weight int64     `json:"weight"`
}

// LimitsSpec limits the request rate and concurrency of one caller.
type LimitsSpec struct {
	Caller        string  `json:"caller"` // "*" applies to callers without a record of their own
	RatePerSecond float64 `json:"rate_per_second"`
	Burst         int     `json:"burst"`
	Concurrency   int     `json:"concurrency"`
}
