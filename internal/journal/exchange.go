package journal

import (
	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// maxTornRecords is the maximum number of torn records that are listed.
const maxTornRecords = 32

// TornRecord is a record that was skipped because it is torn or corrupted.
type TornRecord struct {
	Offset platform.Offset `json:"offset"`
	Bytes  int             `json:"bytes"`
	Cause  string          `json:"cause"`
}

// Export returns the local state for a peer. It fails with ErrIncompleteState
// if the state is incomplete, or lacks entries of types that only a newer
// version knows.
func (r *Replica) Export() (State, error) {
	r.applying.Lock()
	defer r.applying.Unlock()
	if !r.Ready() {
		return State{}, ErrIncompleteState
	}
	return r.core.snapshot()
}

// Import replaces the local state with a peer's state. It is used to start
// while the log is unavailable, and to get past a gap in the log. A caller with
// several states tries them in order of decreasing position. Import fails with
// ErrStaleState if the local state is more recent, and with ErrInvalidState. A
// state at the local position changes nothing unless the replica wasn't ready.
func (r *Replica) Import(st State) error {
	r.applying.Lock()
	defer r.applying.Unlock()
	if r.Ready() && st.Position == r.core.next {
		return nil
	}
	if err := r.restoreLocked(st); err != nil {
		if r.core.damaged {
			r.markIncomplete(err)
		}
		return err
	}
	r.logBehind = false
	r.counters.imports.Add(1)
	r.markReady("peer")
	return nil
}

// restoreLocked replaces the state. The caller holds r.applying. Batches of
// this replica that the new state includes end with ErrUnsettled, because
// their results are not part of the state.
func (r *Replica) restoreLocked(st State) error {
	if err := r.core.restore(st); err != nil {
		return err
	}
	r.generation++
	r.applied.Store(uint64(r.core.next))
	now := r.cfg.Now()
	applied := r.core.dedup.lastSequence(r.cfg.Origin)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.schedule.completed(st.Position, now)
	for sequence, b := range r.inFlight {
		if sequence <= applied {
			r.finishLocked(b, r.repeatError(b, ErrUnsettled))
		}
	}
	r.broadcastLocked()
	return nil
}

// addTornRecord logs a record that is skipped and adds it to the list.
func (r *Replica) addTornRecord(rec platform.LogRecord, cause error) {
	r.log.WithFields(logrus.Fields{"event": "torn_record", "offset": rec.Offset, "error": cause}).Error("record passed over")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tornRecords = append(r.tornRecords, TornRecord{Offset: rec.Offset, Bytes: len(rec.Data), Cause: cause.Error()})
	if len(r.tornRecords) > maxTornRecords {
		r.tornRecords = r.tornRecords[1:]
	}
}

// TornRecords returns the latest records that were skipped as unreadable.
func (r *Replica) TornRecords() []TornRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]TornRecord(nil), r.tornRecords...)
}
