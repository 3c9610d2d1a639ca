package journal

import (
	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// maxTornKept bounds the torn records that are listed.
const maxTornKept = 32

// TornRecord is a record that no replica could read.
type TornRecord struct {
	Offset platform.Offset `json:"offset"`
	Bytes  int             `json:"bytes"`
	Cause  string          `json:"cause"`
}

// Export returns the local state for a peer. It fails with ErrIncomplete
// when the state isn't complete, or lacks what a newer version has written.
func (r *Replica) Export() (State, error) {
	r.applying.Lock()
	defer r.applying.Unlock()
	if !r.Ready() {
		return State{}, ErrIncompleteState
	}
	return r.core.snapshot()
}

// Import takes in a peer's state, for a start while the log is down or past
// a gap. A caller that has several tries them from the highest position
// down. It fails with ErrOlderState when the local state is further, and
// with ErrBadState. A state at the local position changes nothing unless the
// replica wasn't ready.
func (r *Replica) Import(st State) error {
	r.applying.Lock()
	defer r.applying.Unlock()
	if r.Ready() && st.Position == r.core.next {
		return nil
	}
	if err := r.restoreLocked(st); err != nil {
		if r.core.damaged {
			r.breakDown(err)
		}
		return err
	}
	r.logBehind = false
	r.counters.imports.Add(1)
	r.becomeReady("peer")
	return nil
}

// restoreLocked replaces the state. The caller holds r.applying. Batches of
// this replica that the new state covers have been applied somewhere with an
// unknown result.
func (r *Replica) restoreLocked(st State) error {
	if err := r.core.restore(st); err != nil {
		return err
	}
	r.generation++
	r.applied.Store(uint64(r.core.next))
	now := r.cfg.Now()
	applied := r.core.seen.last(r.cfg.Origin)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.schedule.completed(st.Position, now)
	for sequence, o := range r.unread {
		if sequence <= applied {
			r.finishLocked(o, r.sameForAll(o, ErrUnsettled))
		}
	}
	r.broadcastLocked()
	return nil
}

// noteTorn lists a record that is passed over.
func (r *Replica) noteTorn(rec platform.LogRecord, cause error) {
	r.log.WithFields(logrus.Fields{"event": "torn_record", "offset": rec.Offset, "error": cause}).Error("record passed over")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.torn = append(r.torn, TornRecord{Offset: rec.Offset, Bytes: len(rec.Data), Cause: cause.Error()})
	if len(r.torn) > maxTornKept {
		r.torn = r.torn[1:]
	}
}

// TornRecords lists the latest records that were passed over as unreadable.
func (r *Replica) TornRecords() []TornRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]TornRecord(nil), r.torn...)
}
