// Package history records what callers, operators and the outside systems saw
// of a run of several entry VMs, and checks the complete record against what
// must always hold. The checkers are pure; each returns every violation that
// it finds.
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

// Violation is one breach of what must hold.
type Violation struct {
	Rule    string // the checker's name
	Subject string // the request, endpoint, task, VM, key or job
	Detail  string
}

// String formats v for a report.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s: %s", v.Rule, v.Subject, v.Detail)
}

// Request is one copy of a request and what its caller was told.
type Request struct {
	ID         string
	Idempotent bool
	Body       []byte        // as sent
	Start, End time.Duration // since the start of the recorder
	Outcome    api.Outcome   // empty when no whole answer came
	Reason     api.Reason
	Status     int
	Answer     []byte
	Checksum   string // from the answer's trailer
}

// Publication is one publication of a record.
type Publication struct {
	Entry      string
	Key        string
	Value      string // the spec, as published
	BasedOn    api.Revision
	Start, End time.Duration
	Answer     api.PublishAnswer // no outcome: the answer was lost
}

// Reading is one look at a record in force at one entry VM.
type Reading struct {
	Entry    string
	Key      string
	At       time.Duration
	Revision api.Revision // zero: there is none
	Value    string
	Final    bool // read when all publications were long over
}

// LeavingNotice says when a VM or an endpoint on it was announced to be leaving.
type LeavingNotice struct {
	Endpoint api.EndpointID // empty: the VM's tasks are meant
	VM       api.VMID
	At       time.Time
}

// Job is a job whose submission was answered, and what became of it.
type Job struct {
	Spec      api.JobSpec
	Submitted api.Outcome // empty when the answer was lost
	Cancelled bool        // a cancellation was accepted
	Tasks     map[string]uint32
}

// Endpoint is an endpoint as announced, with its record.
type Endpoint struct {
	Spec api.Endpoint
	executor.Record
}

// History is the complete record of a run.
type History struct {
	Requests       []Request
	Publications   []Publication
	Readings       []Reading
	LeavingNotices []LeavingNotice
	Jobs           []Job
	Endpoints      []Endpoint
	Workers        []worker.Record
	End            time.Time // when Endpoints and Workers were read
}

// Recorder gathers a history. It is safe for concurrent use.
type Recorder struct {
	start time.Time

	mu      sync.Mutex
	history History
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{start: time.Now()}
}

// Now returns the monotonic time since the start of the recorder.
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

// AddReading adds one look at a record. Those of one entry VM are added in the
// order in which they were made.
func (r *Recorder) AddReading(x Reading) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Readings = append(r.history.Readings, x)
}

// AddLeavingNotice adds the announcement that a VM or endpoint is leaving.
func (r *Recorder) AddLeavingNotice(l LeavingNotice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.LeavingNotices = append(r.history.LeavingNotices, l)
}

// AddJob adds what became of a job.
func (r *Recorder) AddJob(j Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Jobs = append(r.history.Jobs, j)
}

// History returns what was recorded, without the records of the outside
// systems.
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

// Limits are the bounds that the checkers hold a run against.
type Limits struct {
	MaxConnections     int           // most at one endpoint
	LeavingGracePeriod time.Duration // longest time of new work after a leaving was announced
	MaxAttempts        int           // most runs that one copy of an idempotent request may cause
}

// Check runs every checker.
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
