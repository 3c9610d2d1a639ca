// Package history records what callers, operators and external systems observe
// while several entry VMs run, and checks the complete record against invariants.
// The checkers have no side effects, and each returns all violations that it finds.
package history

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/standin/executor"
	"github.com/skylarklock/skylarklock/internal/standin/worker"
)

// Violation is a violated invariant.
type Violation struct {
	Rule    string // name of the invariant
	Subject string // the request, endpoint, task, VM, key or job
	Detail  string
}

// String formats the violation for a report.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s: %s", v.Rule, v.Subject, v.Detail)
}

// Request is one copy of a request and the answer that its caller got.
type Request struct {
	ID         string
	Idempotent bool
	Body       []byte        // as sent
	Start, End time.Duration // since the start of the recorder
	Outcome    api.Outcome   // empty if no complete answer arrived
	Reason     api.Reason
	Status     int
	Answer     []byte
	Checksum   string // from the answer's trailer
}

// Publication is one publication of a configuration record.
type Publication struct {
	Entry      string
	Key        string
	Value      string // the spec, as published
	BasedOn    api.Revision
	Start, End time.Duration
	Answer     api.PublishAnswer // without an outcome if the answer was lost
}

// Reading is the record in force for a key, as read once at one entry VM.
type Reading struct {
	Entry    string
	Key      string
	At       time.Duration
	Revision api.Revision // 0: no record in force
	Value    string
	Final    bool // read long after the last publication
}

// LeavingNotice is the announcement that a VM, or an endpoint on it, is leaving.
type LeavingNotice struct {
	Endpoint api.EndpointID // empty: the notice applies to the VM's tasks
	VM       api.VMID
	At       time.Time
}

// Job is a submitted job and its outcome.
type Job struct {
	Spec      api.JobSpec
	Submitted api.Outcome       // empty if the answer was lost
	Cancelled bool              // a cancellation was accepted
	Tasks     map[string]uint32 // number of tasks by state
}

// Endpoint is an endpoint as announced, with what its executor recorded.
type Endpoint struct {
	Spec api.Endpoint
	executor.Record
}

// History is the complete record of a test run.
type History struct {
	Requests       []Request
	Publications   []Publication
	Readings       []Reading
	LeavingNotices []LeavingNotice
	Jobs           []Job
	Endpoints      []Endpoint
	Workers        []worker.Record
	End            time.Time // when the records in Endpoints and Workers were read
}

// Recorder records a history. It is safe for concurrent use.
type Recorder struct {
	start time.Time

	mu      sync.Mutex
	history History
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{start: time.Now()}
}

// Now returns the monotonic time since the recorder was created.
func (r *Recorder) Now() time.Duration {
	return time.Since(r.start)
}

// AddRequest adds one copy of a request.
func (r *Recorder) AddRequest(x Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Requests = append(r.history.Requests, x)
}

// AddPublication adds one publication.
func (r *Recorder) AddPublication(p Publication) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Publications = append(r.history.Publications, p)
}

// AddReading adds a reading. Readings at one entry VM must be added in the order in
// which they were made.
func (r *Recorder) AddReading(x Reading) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Readings = append(r.history.Readings, x)
}

// AddLeavingNotice adds a leaving notice.
func (r *Recorder) AddLeavingNotice(l LeavingNotice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.LeavingNotices = append(r.history.LeavingNotices, l)
}

// AddJob adds a job and its outcome.
func (r *Recorder) AddJob(j Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Jobs = append(r.history.Jobs, j)
}

// History returns what was recorded so far. It lacks the records of external systems:
// Endpoints, Workers and End.
func (r *Recorder) History() History {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.history
	h.Requests = slices.Clone(h.Requests)
	h.Publications = slices.Clone(h.Publications)
	h.Readings = slices.Clone(h.Readings)
	h.LeavingNotices = slices.Clone(h.LeavingNotices)
	h.Jobs = slices.Clone(h.Jobs)
	return h
}

// Limits are the bounds that the checkers apply.
type Limits struct {
	MaxConnections     int           // maximum of connections to one endpoint
	LeavingGracePeriod time.Duration // how long new work may start after a leaving notice
	MaxAttempts        int           // maximum of runs per copy of an idempotent request
}

// Check runs all checkers.
func Check(h History, l Limits) []Violation {
	return slices.Concat(
		CheckAtMostOnce(h.Requests, h.Endpoints),
		CheckNotRun(h.Requests, h.Endpoints, l.MaxAttempts),
		CheckAnswers(h.Requests, h.Endpoints),
		CheckEndpointLimits(h.Endpoints, l.MaxConnections),
		CheckExclusiveRuns(h.Workers, h.End),
		CheckCapacity(h.Workers),
		CheckNoNewWork(h.LeavingNotices, h.Endpoints, h.Workers, l.LeavingGracePeriod),
		CheckRegister(h.Publications),
		CheckNoReverts(h.Publications, h.Readings),
		CheckJobs(h.Jobs, h.Workers),
	)
}
