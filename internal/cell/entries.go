// Package cell holds the jobs and tasks of one data centre as a state
// machine fed by the data centre's stream.
//
// An entry is a proposal. Every start is checked again where it stands in
// the log: against the epoch of the cell shard at that place, the task's
// state and the ledger of the VM. All readers accept and reject the same.
//
// Jobs and VMs get numbers in log order, never used twice, so that entries
// and the state are small.
package cell

import (
	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
)

// Types of entries. The values are part of the stored format.
const (
	TypeSubmit        = journal.TypeCellFirst + iota // Submit
	TypeCancel                                       // Cancel
	TypeVMUpdate                                     // VMs
	TypeStart                                        // StartBatch
	TypeReport                                       // ReportBatch
	TypeStop                                         // StopBatch
	TypeReplace                                      // Replace
	TypeMoveJobs                                     // Move
	TypeConfirmMoves                                 // Moved
	TypePublishedJobs                                // Published
)

// Submit adds a job. The first of an ID that the machine knows wins.
type Submit struct {
	_            struct{} `cbor:",toarray"`
	Spec         api.JobSpec
	ProposedAtMs int64 // proposer's wall clock in Unix milliseconds, for display only
	MovedFrom    *Origin
}

// Origin tells of a job that comes from the cell of another data centre.
// The moves of each data centre are taken in order, each once, however often
// their entries are repeated.
type Origin struct {
	_          struct{} `cbor:",toarray"`
	DataCentre api.DataCentre
	MoveNumber uint32
	EndedTasks []IndexRange // tasks that ended there
}

// IndexRange is a run of task indexes, First included and End not.
type IndexRange struct {
	_          struct{} `cbor:",toarray"`
	First, End uint32
}

// MoveJobs gives jobs of which nothing holds a VM to another data centre. They
// end here, and are kept until Moved.
type MoveJobs struct {
	_     struct{} `cbor:",toarray"`
	Epoch api.Epoch
	To    api.DataCentre
	Jobs  []uint32
}

// ConfirmMoves confirms that the cell of the other data centre has the jobs.
type ConfirmMoves struct {
	_     struct{} `cbor:",toarray"`
	Epoch api.Epoch
	Jobs  []uint32
}

// ReasonMoved is the reason of tasks that another data centre has taken.
const ReasonMoved api.Reason = "moved"

// Cancel cancels whole jobs, each at the cost of one lookup: tasks that hold
// a VM are stopped when their VM is next synced.
type Cancel struct {
	_            struct{} `cbor:",toarray"`
	Jobs         []api.JobID
	ProposedAtMs int64 // as in Submit
}

// ObservedVM is a VM as listed by the platform. Its capacity is what the ledger
// checks starts against.
type ObservedVM struct {
	_        struct{} `cbor:",toarray"`
	ID       api.VMID
	Rack     string
	Capacity api.Resources
}

// VMUpdate adds or changes VMs and drops others. A dropped VM takes no starts; it
// is forgotten when nothing holds it any more.
type VMUpdate struct {
	_        struct{} `cbor:",toarray"`
	Epoch    api.Epoch
	Observed []ObservedVM
	Removed  []api.VMID
}

// StartBatch starts tasks. Each is accepted or rejected on its own, but for
// gang groups.
type StartBatch struct {
	_      struct{} `cbor:",toarray"`
	Epoch  api.Epoch
	Groups []StartGroup
}

// StartGroup holds starts of one job with the same resources. A gang group
// is accepted whole or not at all, and must hold every unfinished task.
type StartGroup struct {
	_         struct{} `cbor:",toarray"`
	Job       uint32   // number of the job
	Gang      bool
	Resources api.Resources
	Starts    []StartItem
}

// StartItem starts one task. Attempt is one more than the last.
type StartItem struct {
	_       struct{} `cbor:",toarray"`
	Index   uint32
	Attempt uint32
	VM      uint32 // number of the VM
}

// AttemptStatus says what became of an attempt. The values are part of the stored
// format.
type AttemptStatus uint8

// Reports on an attempt.
const (
	AttemptRunning      AttemptStatus = iota + 1 // seen running
	AttemptSucceeded                             // ended well
	AttemptFailed                                // ended badly, by itself
	AttemptCheckpointed                          // stopped after a checkpoint
	AttemptKilled                                // stopped without a checkpoint
	AttemptLost                                  // certainly not running any more, nothing else is known
)

// ReportBatch passes on what workers reported, or what is certain without
// them.
type ReportBatch struct {
	_      struct{} `cbor:",toarray"`
	Epoch  api.Epoch
	Groups []ReportGroup
}

// ReportGroup holds reports of one job with the same ending and reason.
type ReportGroup struct {
	_        struct{} `cbor:",toarray"`
	Job      uint32
	Status   AttemptStatus
	Reason   uint8 // code of an api.Reason, zero for none
	Attempts []AttemptRef
}

// AttemptRef names one attempt of a task.
type AttemptRef struct {
	_       struct{} `cbor:",toarray"`
	Index   uint32
	Attempt uint32
}

// StopBatch orders attempts to be stopped. They stay on their VM until a
// report says that they ended.
type StopBatch struct {
	_      struct{} `cbor:",toarray"`
	Epoch  api.Epoch
	Groups []StopGroup
}

// StopGroup holds stops of one job for the same reason.
type StopGroup struct {
	_          struct{} `cbor:",toarray"`
	Job        uint32
	Checkpoint bool  // save before stopping
	Reason     uint8 // code of an api.Reason
	Preemptor  api.JobID
	Attempts   []AttemptRef
}

// Replace adds to a job one task for each named, to run in its stead. When
// the named task ends it is not started again.
type Replace struct {
	_        struct{} `cbor:",toarray"`
	Epoch    api.Epoch
	Job      uint32
	Attempts []AttemptRef
}

// entry wraps a body.
func entry(t journal.EntryType, body any) journal.Entry {
	return journal.Entry{Type: t, Body: journal.Encode(body)}
}

// reasonCodes gives every reason that is stored its code. The order is part
// of the stored format: add at the end only.
var reasonCodes = []api.Reason{
	"",
	api.ReasonPreempted,
	api.ReasonDrained,
	api.ReasonLeaseExpired,
	api.ReasonWorkerLost,
	api.ReasonWorkerRestart,
	api.ReasonTaskFailed,
	api.ReasonFailsEverywhere,
	api.ReasonOveruse,
	api.ReasonOverrun,
	api.ReasonCancelled,
	api.ReasonGangWaiting,
	api.ReasonQuarantine,
	api.ReasonNeverFits,
	ReasonMoved,
}

// reasonCode returns the code of r, zero when it has none.
func reasonCode(r api.Reason) uint8 {
	for i, known := range reasonCodes {
		if known == r {
			return uint8(i)
		}
	}
	return 0
}

// reasonOf returns the reason of a code; an unknown code has none.
func reasonOf(code uint8) api.Reason {
	if int(code) < len(reasonCodes) {
		return reasonCodes[code]
	}
	return ""
}
