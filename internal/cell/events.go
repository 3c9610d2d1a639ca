package cell

import (
	"fmt"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
)

// EventKind is the kind of an Event.
type EventKind uint8

// Event kinds.
const (
	EventJobSubmitted  EventKind = iota + 1
	EventJobCancelled            // pending tasks are cancelled, the others stop at the next exchange
	EventJobEnded                // no task can change any more
	EventTaskStarted             // the start was accepted and the task holds VM
	EventStartRejected           // for Reason; the task is unchanged
	EventTaskRunning             // reported as running
	EventTaskStopping            // ordered to stop, but still holds VM
	EventTaskFreed               // no longer holds VM; State is the new state
	EventTaskAdded               // a pending replacement task was added
	EventVMObserved              // added or changed
	EventVMRemoved               // accepts no more starts
	EventRestored                // the whole state was replaced and must be read again
)

// Event is one change made by an entry. Subscribers receive all events of an
// entry together, in the order in which they were applied.
type Event struct {
	Kind      EventKind
	Epoch     api.Epoch // of the entry, for starts
	Task      api.TaskID
	Attempt   uint32
	VM        api.VMID
	Resources api.Resources // held or requested
	State     api.TaskState
	Reason    api.Reason
}

// Counters counts events by reason. Implementations are safe for concurrent use.
type Counters interface {
	Inc(group string, reason api.Reason)
}

// counterGroup is the counter group of rejections.
const counterGroup = "cell_rejected"

// Rejection is the error of an entry, or of one start in it, that was rejected
// and changed nothing.
type Rejection struct {
	Reason api.Reason
	Task   api.TaskID // zero when the whole entry was rejected
	Detail string
}

// Error implements error.
func (r *Rejection) Error() string {
	return fmt.Sprintf("cell: rejected: %s: task %s/%d: %s", r.Reason, r.Task.Job, r.Task.Index, r.Detail)
}

// historyEntry is a noteworthy event with its position in the log.
type historyEntry struct {
	pos   journal.Position
	event Event
}

// historySize is the maximum number of noteworthy events kept for explanations.
const historySize = 4096

// history is a ring buffer. It holds no ordinary starts and ends, which can be
// read from the state of the task.
type history struct {
	ring []historyEntry
	next int
}

func (h *history) add(pos journal.Position, e Event) {
	if !isNoteworthy(e) {
		return
	}
	if len(h.ring) < historySize {
		h.ring = append(h.ring, historyEntry{pos: pos, event: e})
		return
	}
	h.ring[h.next] = historyEntry{pos: pos, event: e}
	h.next = (h.next + 1) % historySize
}

func isNoteworthy(e Event) bool {
	switch e.Kind {
	case EventTaskFreed:
		return e.State != api.TaskFinished
	case EventTaskStopping, EventJobCancelled, EventStartRejected, EventTaskAdded:
		return true
	}
	return false
}

// each calls f for every event kept, oldest first.
func (h *history) each(f func(historyEntry)) {
	for i := range h.ring {
		f(h.ring[(h.next+i)%len(h.ring)])
	}
}
