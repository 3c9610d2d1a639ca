package work

// State is where a job stands.
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

// String returns the state's name in logs.
func (s State) String() string {
	return [...]string{"queued", "running", "completed", "failed", "cancelled"}[s]
}

// Phase is where a task stands.
type Phase uint8

// Phases of a task. Started means that a start may have been sent; whether
// the task runs is known from the executor alone.
const (
	Pending Phase = iota
	Started
	Done
)

// Progress is the durable record of how far a job has come. The scheduler
// that holds the cell writes it before it sends a start and after each end;
// the newest record of a job replaces the earlier ones.
type Progress struct {
	_                  struct{}              `cbor:",toarray"`
	State              State                 //
	Executors          []ExecutorIncarnation // of executors, named by the tasks below
	Occurrences        []Occurrence          // that have started and not ended, by number
	FinishedBelow      int                   // occurrences numbered below this have ended
	FinishedOutOfOrder []int                 // further occurrences that have ended
}

// Outcome is what stays of a job some time after its end: all that clients may
// still ask for.
type Outcome struct {
	_     struct{} `cbor:",toarray"`
	State State    // a final one
	Queue string   // name of the queue that took the job
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
	Phase         Phase    //
	Run           uint32   // number of the newest start; 0: none yet
	ExecutorIndex int      // index into Progress.Executors of the newest start
	Failures      uint8    // runs that ended as failed
	Checkpoint    string   // newest known when the record was written
	Crashes       uint8    `cbor:"-"` // executors whose lives are known to have ended under the task
	Losses        uint8    `cbor:"-"` // runs lost with an executor of which that isn't known
}
