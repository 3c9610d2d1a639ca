// Package cell holds the jobs and tasks of one data centre in a state machine
// that is fed by the data centre's stream.
//
// An entry is a proposal. Every start is checked again when it is applied,
// against the state at its position in the log: the epoch of the cell shard,
// the state of the task and the ledger of the VM. All replicas therefore
// accept and reject the same starts.
//
// Jobs and VMs are numbered in log order, and numbers are never reused.
// Entries and state refer to them by number to stay small.
package cell

import (
	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
)

// Entry types. The values are part of the stored format.
const (
	TypeSubmit        = journal.TypeCellFirst + iota // Submit
	TypeCancel                                       // Cancel
	TypeVMUpdate                                     // VMUpdate
	TypeStart                                        // StartBatch
	TypeReport                                       // ReportBatch
	TypeStop                                         // StopBatch
	TypeReplace                                      // Replace
	TypeMoveJobs                                     // MoveJobs
	TypeConfirmMoves                                 // ConfirmMoves
	TypePublishedJobs                                // PublishedJobs
)

// Submit adds a job. It is rejected if a job with the same ID is known.
type Submit struct {
	_            struct{} `cbor:",toarray"`
	Spec         api.JobSpec
	ProposedAtMs int64 // Unix time on the proposer's clock, for display only
	MovedFrom    *Origin
}

// Origin describes where a job moved from another data centre comes from. The
// moves of each data centre are applied in order and exactly once, even if
// their entries are repeated.
type Origin struct {
	_          struct{} `cbor:",toarray"`
	DataCentre api.DataCentre
	MoveNumber uint32
	EndedTasks []IndexRange // tasks that ended in that data centre
}

// IndexRange is a range of task indexes that includes First and excludes End.
type IndexRange struct {
	_          struct{} `cbor:",toarray"`
	First, End uint32
}

// MoveJobs moves jobs that hold no VM to another data centre. They end in this
// cell and are kept until ConfirmMoves.
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

// ReasonMoved is the reason of tasks that were moved to another data centre.
const ReasonMoved api.Reason = "moved"

// Cancel cancels whole jobs at the cost of one lookup each. Tasks that hold a
// VM are stopped at the next exchange with their VM.
type Cancel struct {
	_            struct{} `cbor:",toarray"`
	Jobs         []api.JobID
	ProposedAtMs int64 // see Submit
}

// ObservedVM is a VM from the platform's list. Starts are checked against its
// capacity in the ledger.
type ObservedVM struct {
	_        struct{} `cbor:",toarray"`
	ID       api.VMID
	Rack     string
	Capacity api.Resources
}

// VMUpdate adds or changes VMs and removes others. A removed VM accepts no
// starts and is forgotten as soon as no task holds it.
type VMUpdate struct {
	_        struct{} `cbor:",toarray"`
	Epoch    api.Epoch
	Observed []ObservedVM
	Removed  []api.VMID
}

// StartBatch starts tasks. Each start is accepted or rejected on its own,
// except for those of a gang group.
type StartBatch struct {
	_      struct{} `cbor:",toarray"`
	Epoch  api.Epoch
	Groups []StartGroup
}

// StartGroup holds starts of one job with the same resources. A gang group is
// accepted or rejected as a whole and must contain every pending task.
type StartGroup struct {
	_         struct{} `cbor:",toarray"`
	Job       uint32   // job number
	Gang      bool
	Resources api.Resources
	Starts    []StartItem
}

// StartItem starts one task. Attempt is the task's previous attempt plus one.
type StartItem struct {
	_       struct{} `cbor:",toarray"`
	Index   uint32
	Attempt uint32
	VM      uint32 // VM number
}

// AttemptStatus is the reported status of an attempt. The values are part of the
// stored format.
type AttemptStatus uint8

// Statuses of an attempt.
const (
	AttemptRunning      AttemptStatus = iota + 1 // reported as running
	AttemptSucceeded                             // ended successfully
	AttemptFailed                                // failed by itself
	AttemptCheckpointed                          // stopped after saving a checkpoint
	AttemptKilled                                // stopped without a checkpoint
	AttemptLost                                  // certainly no longer running; nothing else is known
)

// ReportBatch holds statuses that workers reported, and losses that are certain
// without a report.
type ReportBatch struct {
	_      struct{} `cbor:",toarray"`
	Epoch  api.Epoch
	Groups []ReportGroup
}

// ReportGroup holds reports of one job with the same status and reason.
type ReportGroup struct {
	_        struct{} `cbor:",toarray"`
	Job      uint32
	Status   AttemptStatus
	Reason   uint8 // code of an api.Reason, zero for none
	Attempts []AttemptRef
}

// AttemptRef identifies one attempt of a task of a known job.
type AttemptRef struct {
	_       struct{} `cbor:",toarray"`
	Index   uint32
	Attempt uint32
}

// StopBatch orders the stop of attempts. They hold their VM until a report
// confirms that they have ended.
type StopBatch struct {
	_      struct{} `cbor:",toarray"`
	Epoch  api.Epoch
	Groups []StopGroup
}

// StopGroup holds stops of one job for the same reason.
type StopGroup struct {
	_          struct{} `cbor:",toarray"`
	Job        uint32
	Checkpoint bool  // save a checkpoint before stopping
	Reason     uint8 // code of an api.Reason
	Preemptor  api.JobID
	Attempts   []AttemptRef
}

// Replace adds a replacement task to a job for each named task. The named tasks
// are not started again after they end.
type Replace struct {
	_        struct{} `cbor:",toarray"`
	Epoch    api.Epoch
	Job      uint32
	Attempts []AttemptRef
}

// entry encodes body into a journal entry of type t.
func entry(t journal.EntryType, body any) journal.Entry {
	return journal.Entry{Type: t, Body: journal.Encode(body)}
}

// reasonCodes lists the stored reasons; the index of a reason is its code. The
// order is part of the stored format, so new reasons go at the end.
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

// reasonCode returns the code of r, or zero if r has none.
func reasonCode(r api.Reason) uint8 {
	for i, known := range reasonCodes {
		if known == r {
			return uint8(i)
		}
	}
	return 0
}

// reasonOf returns the reason with the given code, or "" for an unknown code.
func reasonOf(code uint8) api.Reason {
	if int(code) < len(reasonCodes) {
		return reasonCodes[code]
	}
	return ""
}
