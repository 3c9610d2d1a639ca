package journal

import (
	"fmt"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// recordKind classifies a record that has been read.
type recordKind uint8

const (
	recordApplied   recordKind = iota + 1 // a new batch
	recordDuplicate                       // a second copy of a batch, dropped
	recordTorn                            // corrupted, skipped by every reader
	recordChunk                           // a snapshot chunk
)

// appliedRecord is the result of applying one record.
type appliedRecord struct {
	kind           recordKind
	origin         Origin
	sequence       uint64
	results        []error // of each entry, as returned by its state machine
	unknown        int     // number of entries that no local state machine applies
	startsSnapshot bool    // the record holds the first chunk of a snapshot
	snapshot       *State  // the snapshot that the record completes, without its data
}

// core is the deterministic part of a replica. Every core that is fed the same
// records holds the same state. It is not safe for concurrent use.
type core struct {
	stream         string
	machines       []StateMachine
	byType         map[EntryType]StateMachine
	dedup          *sequencer
	snapshots      *assembler
	next           platform.Offset // of the first record not yet applied
	damaged        bool            // a restore failed halfway; nothing may be applied
	skippedUnknown bool            // entries of unknown types were skipped, so the state lacks their effects
}

func newCore(cfg Config) *core {
	c := &core{
		stream:    cfg.Stream,
		machines:  cfg.StateMachines,
		byType:    make(map[EntryType]StateMachine),
		dedup:     newSequencer(),
		snapshots: newAssembler(cfg.Stream, false, cfg.MaxSnapshotBytes),
	}
	for _, m := range cfg.StateMachines {
		for _, t := range m.Types() {
			c.byType[t] = m
		}
	}
	return c
}

// apply applies the record at c.next. It fails and changes nothing if the
// record is not the next one, is torn (errTorn) or has a newer format
// (errNewerFormat).
func (c *core) apply(rec platform.LogRecord) (appliedRecord, error) {
	if rec.Offset != c.next || c.damaged {
		return appliedRecord{}, fmt.Errorf("journal: got record %d, expected %d", rec.Offset, c.next)
	}
	b, err := decodeRecord(rec.Data)
	if err != nil {
		return appliedRecord{}, err
	}
	var out appliedRecord
	if b.Sequence == unsequenced {
		out = c.trackChunks(rec.Offset, b)
	} else {
		out = c.applyBatch(rec.Offset, b)
	}
	c.advance()
	return out, nil
}

// skip skips the record at c.next, which is torn.
func (c *core) skip() appliedRecord {
	c.advance()
	return appliedRecord{kind: recordTorn}
}

func (c *core) advance() {
	c.dedup.expireOrigins(c.next)
	c.next++
}

// trackChunks tracks the progress of snapshots without keeping their data.
func (c *core) trackChunks(offset platform.Offset, b batch) appliedRecord {
	out := appliedRecord{kind: recordChunk, origin: b.Origin}
	for _, part := range chunksOf(b) {
		out.startsSnapshot = out.startsSnapshot || part.Index == 0
		if done := c.snapshots.add(b.Origin, offset, part); done != nil {
			out.snapshot = done
		}
	}
	return out
}

// chunksOf returns the readable chunks of an unsequenced batch.
func chunksOf(b batch) []chunk {
	var parts []chunk
	for _, e := range b.Entries {
		var part chunk
		if e.Type == typeChunk && Decode(e.Body, &part) == nil {
			parts = append(parts, part)
		}
	}
	return parts
}

func (c *core) applyBatch(offset platform.Offset, b batch) appliedRecord {
	out := appliedRecord{kind: recordDuplicate, origin: b.Origin, sequence: b.Sequence}
	if !c.dedup.accept(b.Origin, b.Sequence, offset) {
		return out
	}
	out.kind = recordApplied
	out.results = make([]error, len(b.Entries))
	for i, e := range b.Entries {
		m, ok := c.byType[e.Type]
		if !ok {
			out.unknown++
			c.skippedUnknown = true
			out.results[i] = ErrUnknownType
			continue
		}
		out.results[i] = m.Apply(Position{Offset: offset, Index: uint32(i)}, e)
	}
	return out
}
