package api

import "encoding/json"

// Kind is the kind of an operator's record.
type Kind string

// Kinds of records.
const (
	KindService  Kind = "service"  // ServiceSpec
	KindBatchJob Kind = "batchjob" // JobSpec with ClassBatch
	KindGangJob  Kind = "gangjob"  // JobSpec with ClassGang
	KindPolicy   Kind = "policy"   // PolicySpec
	KindQuota    Kind = "quota"    // QuotaSpec
	KindLimits   Kind = "limits"   // LimitsSpec
)

// Record is one versioned record published by an operator. The name and
// kind together are its key; BasedOn is compared with the key's revision
// in force, and the first record in log order wins.
type Record struct {
	Kind          Kind            `json:"kind"`
	Name          string          `json:"name"`
	SchemaVersion int             `json:"schema_version"`
	BasedOn       Revision        `json:"based_on"` // 0: the key must not exist
	Deleted       bool            `json:"deleted,omitempty"`
	Spec          json.RawMessage `json:"spec,omitempty"`
}

// ServiceSpec says how requests of a service are routed, in schema version 2.
type ServiceSpec struct {
	Service        string       `json:"service"`
	RoutingPolicy  string       `json:"routing_policy"` // "least-loaded" or "baseline"
	TimeoutMs      int64        `json:"timeout_ms"`     // when the caller names none
	MaxAttempts    int          `json:"max_attempts"`
	RetryBudget    float64      `json:"retry_budget"` // retries per request, 0 to 1
	QueueLength    int          `json:"queue_length"` // per entry VM
	QueueTimeoutMs int64        `json:"queue_ms"`     // longest wait in the queue
	MaxBodyBytes   int64        `json:"max_body_bytes"`
	MaxAnswerBytes int64        `json:"max_answer_bytes"`
	CallerShare    float64      `json:"caller_share"` // share of the slots one caller may use under contention
	DataCentres    []DataCentre `json:"data_centres,omitempty"`
	Job            *JobSpec     `json:"job,omitempty"` // tasks of the service, when the cell runs them
}

// PolicySpec tunes placement.
type PolicySpec struct {
	SampleSize         int     `json:"sample_size"`         // VMs scored for each placement
	QuarantineShare    float64 `json:"quarantine_share"`    // most of the fleet in quarantine
	QuarantineFailures int     `json:"quarantine_failures"` // failed starts before a VM is judged
	MaxPreemptions     int     `json:"max_preemptions"`     // in one cycle
	OveruseFactor      float64 `json:"overuse_factor"`      // reported over declared use that is acted on
	OverrunFactor      float64 `json:"overrun_factor"`      // run time over declared that is acted on
}

// QuotaSpec is what one team may hold at once and its weight in sharing
// what is idle.
type QuotaSpec struct {
	Team   string    `json:"team"`
	Max    Resources `json:"max"`
	Weight int64     `json:"weight"`
}

// LimitsSpec bounds one caller.
type LimitsSpec struct {
	Caller        string  `json:"caller"` // "*" for callers without a record
	RatePerSecond float64 `json:"rate_per_second"`
	Burst         int     `json:"burst"`
	Concurrency   int     `json:"concurrency"`
}
