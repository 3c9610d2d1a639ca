package cell

import (
	"fmt"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
)

// EventKind says what an Event tells.
type EventKind uint8

// Kinds of events.
const (
	EventJobSubmitted  EventKind = iota + 1
	EventJobCancelled            // pending tasks are cancelled, the rest stop when synced
	EventJobEnded                // no task can change any more
	EventTaskStarted             // accepted: the task holds VM
	EventStartRejected           // Reason says why; the task did not change
	EventTaskRunning             // seen running
	EventTaskStopping            // ordered to stop; still holds VM
	EventTaskFreed               // holds VM no longer; State is the new state
	EventTaskAdded               // a replacement, pending
	EventVMObserved              // added or changed
	EventVMRemoved               // takes no more starts
	EventRestored                // the whole state was replaced: read it anew
)

// Event is one change made by an entry. Subscribers get all events of an
// entry together, in the order in which they were applied.
type Event struct {
	Kind      EventKind
	Epoch     api.Epoch // of the entry, for starts
	Task      api.TaskID
	Attempt   uint32
	VM        api.VMID
	Resources api.Resources // held, or asked for
	State     api.TaskState
	Reason    api.Reason
}

// Counters counts by reason. Implementations are safe for concurrent use.
type Counters interface {
	Inc(group string, reason api.Reason)
}

// counterGroup is the group of the machine's rejections.
const counterGroup = "cell_rejected"

// Rejection is the typed error of an entry, or of one start in it, that was
// rejected and changed nothing.
type Rejection struct {
	Reason api.Reason
	Task   api.TaskID // zero when the whole entry was rejected
	Detail string
}

// Error implements error.
func (r *Rejection) Error() string {
	return fmt.Sprintf("cell: rejected: %s: task %s/%d: %s", r.Reason, r.Task.Job, r.Task.Index, r.Detail)
}

// logged is a noteworthy event with its place, for explanations.
type logged struct {
	pos   journal.Position
	event Event
}

// historySize bounds the noteworthy events kept for explanations.
const historySize = 4096

// history is a bounded ring. Ordinary starts and ends are not kept in it;
// the task's own state tells those.
type history struct {
	ring []logged
	next int
}

func (h *history) add(pos journal.Position, e Event) {
	if !noteworthy(e) {
		return
	}
	if len(h.ring) < historySize {
		h.ring = append(h.ring, logged{pos: pos, event: e})
		return
	}
	h.ring[h.next] = logged{pos: pos, event: e}
	h.next = (h.next + 1) % historySize
}

func noteworthy(e Event) bool {
	switch e.Kind {
	case EventTaskFreed:
		return e.State != api.TaskFinished
	case EventTaskStopping, EventJobCancelled, EventStartRejected, EventTaskAdded:
		return true
	}
	return false
}

// each calls f for every kept event, oldest first.
func (h *history) each(f func(logged)) {
	for i := range h.ring {
		f(h.ring[(h.next+i)%len(h.ring)])
	}
}
