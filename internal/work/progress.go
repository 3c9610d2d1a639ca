package work

import "slices"

// State is the state of a job.
type State uint8

// States of a job. The last three are final.
const (
	Queued State = iota
	Running
	Completed
	Failed
	Cancelled
)

// Final reports whether the job has ended.
func (s State) Final() bool { return s >= Completed }

// String returns the state's name as used in logs.
func (s State) String() string {
	return [...]string{"queued", "running", "completed", "failed", "cancelled"}[s]
}

// Phase is the phase of a task.
type Phase uint8

// Phases of a task. Started means that a start may have been sent; only the
// executor's reports say whether the task runs.
const (
	Pending Phase = iota
	Started
	Done
)

// Progress is the durable record of a job's progress. The leader of the cell
// writes it before it sends a start and after each end. The newest record of a
// job replaces earlier ones.
type Progress struct {
	_                  struct{} `cbor:",toarray"`
	State              State
	Executors          []ExecutorIncarnation // indexed by TaskProgress.ExecutorIndex
	Occurrences        []Occurrence          // those that have started and not ended, by number
	FinishedBelow      int                   // all occurrences numbered below this have ended
	FinishedOutOfOrder []int                 // further occurrences that have ended
	LostExecutors      []LostExecutor        `cbor:"-"` // executor incarnations with which runs of the job were lost
}

// WithoutLostExecutors returns a copy of the progress that names no lost executors.
func (p *Progress) WithoutLostExecutors() *Progress {
	out := *p
	out.LostExecutors = nil
	return &out
}

// WithoutCheckpoints returns a copy of the progress that lacks all checkpoints.
func (p *Progress) WithoutCheckpoints() *Progress {
	out := *p
	out.Occurrences = nil
	for _, o := range p.Occurrences {
		reduced := Occurrence{Number: o.Number}
		for _, tasks := range o.Steps {
			tasks = slices.Clone(tasks)
			for i := range tasks {
				tasks[i].Checkpoint = ""
			}
			reduced.Steps = append(reduced.Steps, tasks)
		}
		out.Occurrences = append(out.Occurrences, reduced)
	}
	return &out
}

// Outcome is what is kept of a job some time after its end: everything that
// clients may still query.
type Outcome struct {
	State     State       // a final one
	Queue     string      // name of the queue that accepted the job
	Path      PathID      // where it accepted the job
	Workspace WorkspaceID // to which the job belonged
}

// Occurrence is the progress of one run of all steps.
type Occurrence struct {
	_      struct{} `cbor:",toarray"`
	Number int
	Steps  [][]TaskProgress
}

// TaskProgress is the progress of one task.
type TaskProgress struct {
	_             struct{} `cbor:",toarray"`
	Phase         Phase
	Run           uint32 // number of the newest start; 0: none yet
	ExecutorIndex int    // index into Progress.Executors of the newest start
	Failures      uint8  // runs that ended as failed
	Checkpoint    string // newest one known when the record was written
	Crashes       uint8  `cbor:"-"` // executor incarnations known to have ended while they ran the task
	Losses        uint8  `cbor:"-"` // further runs that count beside the crashes
}
