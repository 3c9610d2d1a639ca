package journal

import (
	"sync/atomic"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// Stats is a copy of a replica's counters, published through expvar.Func.
type Stats struct {
	Applied           platform.Offset `json:"applied"`
	FirstKept         platform.Offset `json:"first_kept"`        // oldest offset in the log at the latest read
	SnapshotPosition  platform.Offset `json:"snapshot_position"` // of the newest complete snapshot
	Ready             bool            `json:"ready"`
	BacklogBytes      int             `json:"backlog_bytes"`
	Proposed          uint64          `json:"proposed"`
	BacklogFull       uint64          `json:"backlog_full"`
	Withdrawn         uint64          `json:"withdrawn"`
	Unsettled         uint64          `json:"unsettled"`
	Appends           uint64          `json:"appends"`
	AppendBytes       uint64          `json:"append_bytes"`
	AppendUnavailable uint64          `json:"append_unavailable"`
	AppendUncertain   uint64          `json:"append_uncertain"`
	AppendTooLarge    uint64          `json:"append_too_large"`
	AppendRepeated    uint64          `json:"append_repeated"`
	BatchesAbandoned  uint64          `json:"batches_abandoned"`
	Reads             uint64          `json:"reads"`
	ReadFailed        uint64          `json:"read_failed"`
	Records           uint64          `json:"records"`
	Entries           uint64          `json:"entries"`
	EntriesRejected   uint64          `json:"entries_rejected"`
	EntriesUnknown    uint64          `json:"entries_unknown"`
	RecordsRepeated   uint64          `json:"records_repeated"`
	RecordsTorn       uint64          `json:"records_torn"`
	Gaps              uint64          `json:"gaps"`
	Scans             uint64          `json:"scans"`
	Imports           uint64          `json:"imports"`
	SnapshotsWritten  uint64          `json:"snapshots_written"`
	SnapshotsFailed   uint64          `json:"snapshots_failed"`
	SnapshotsSeen     uint64          `json:"snapshots_seen"`
	SnapshotsRestored uint64          `json:"snapshots_restored"`
}

// counters holds a replica's counters.
type counters struct {
	proposed, backlogFull, withdrawn, unsettled        atomic.Uint64
	appends, appendBytes                               atomic.Uint64
	appendUnavailable, appendUncertain, appendTooLarge atomic.Uint64
	appendRepeated, batchesAbandoned                   atomic.Uint64
	reads, readFailed                                  atomic.Uint64
	records, entries, entriesRejected, entriesUnknown  atomic.Uint64
	recordsRepeated, recordsTorn, gaps, scans, imports atomic.Uint64
	snapshotsWritten, snapshotsFailed                  atomic.Uint64
	snapshotsSeen, snapshotsRestored                   atomic.Uint64
}

// Stats returns the current counters.
func (r *Replica) Stats() Stats {
	c := &r.counters
	return Stats{
		Applied:           r.Applied(),
		FirstKept:         platform.Offset(r.firstKept.Load()),
		SnapshotPosition:  r.snapshotPosition(),
		Ready:             r.Ready(),
		BacklogBytes:      r.backlogBytes(),
		Proposed:          c.proposed.Load(),
		BacklogFull:       c.backlogFull.Load(),
		Withdrawn:         c.withdrawn.Load(),
		Unsettled:         c.unsettled.Load(),
		Appends:           c.appends.Load(),
		AppendBytes:       c.appendBytes.Load(),
		AppendUnavailable: c.appendUnavailable.Load(),
		AppendUncertain:   c.appendUncertain.Load(),
		AppendTooLarge:    c.appendTooLarge.Load(),
		AppendRepeated:    c.appendRepeated.Load(),
		BatchesAbandoned:  c.batchesAbandoned.Load(),
		Reads:             c.reads.Load(),
		ReadFailed:        c.readFailed.Load(),
		Records:           c.records.Load(),
		Entries:           c.entries.Load(),
		EntriesRejected:   c.entriesRejected.Load(),
		EntriesUnknown:    c.entriesUnknown.Load(),
		RecordsRepeated:   c.recordsRepeated.Load(),
		RecordsTorn:       c.recordsTorn.Load(),
		Gaps:              c.gaps.Load(),
		Scans:             c.scans.Load(),
		Imports:           c.imports.Load(),
		SnapshotsWritten:  c.snapshotsWritten.Load(),
		SnapshotsFailed:   c.snapshotsFailed.Load(),
		SnapshotsSeen:     c.snapshotsSeen.Load(),
		SnapshotsRestored: c.snapshotsRestored.Load(),
	}
}

// countRecord counts one record and its entries.
func (c *counters) countRecord(rec appliedRecord) {
	c.records.Add(1)
	switch rec.kind {
	case recordDuplicate:
		c.recordsRepeated.Add(1)
	case recordTorn:
		c.recordsTorn.Add(1)
	}
	c.entries.Add(uint64(len(rec.results)))
	c.entriesUnknown.Add(uint64(rec.unknown))
	for _, err := range rec.results {
		if err != nil {
			c.entriesRejected.Add(1)
		}
	}
}

// ReadError returns why the latest read failed or its records could not be applied, or nil.
func (r *Replica) ReadError() error {
	if err := r.readError.Load(); err != nil {
		return *err
	}
	return nil
}
