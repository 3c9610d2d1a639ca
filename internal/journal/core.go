package journal

import (
	"fmt"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// recordKind says what a record turned out to be.
type recordKind uint8

const (
	recordApplied recordKind = iota + 1 // a new batch
	recordRepeat                        // a second copy, dropped
	recordTorn                          // damaged, skipped by every reader
	recordChunk                         // a piece of a snapshot
)

// appliedRecord is what became of one record.
type appliedRecord struct {
	kind     recordKind
	origin   Origin
	sequence uint64
	results  []error // of each entry, as returned by its machine
	unknown  int     // entries whose type no local machine knows
	started  bool    // the first chunk of a snapshot
	snapshot *State  // that the record completed, without its data
}

// core is the deterministic part of a replica: records in, state out. Every
// core that is fed the same records holds the same state. It is not safe for
// concurrent use.
type core struct {
	stream   string
	machines []StateMachine
	byType   map[EntryType]StateMachine
	seen     *sequencer
	snaps    *assembler
	next     platform.Offset // of the first record not yet applied
	damaged  bool            // a restore broke off; nothing may be applied
	foreign  bool            // holds less than the stream says: entries of unknown types were passed over
}

func newCore(cfg Config) *core {
	c := &core{
		stream:   cfg.Stream,
		machines: cfg.StateMachines,
		byType:   make(map[EntryType]StateMachine),
		seen:     newSequencer(),
		snaps:    newAssembler(cfg.Stream, false, cfg.MaxSnapshotBytes),
	}
	for _, m := range cfg.StateMachines {
		for _, t := range m.Types() {
			c.byType[t] = m
		}
	}
	return c
}

// apply applies the record at c.next. It fails, and changes nothing, when
// the record is not the next one, is torn (errTorn) or of a newer format
// (errNewerFormat).
func (c *core) apply(rec platform.LogRecord) (appliedRecord, error) {
	if rec.Offset != c.next || c.damaged {
		return appliedRecord{}, fmt.Errorf("journal: record %d where %d was due", rec.Offset, c.next)
	}
	b, err := decodeRecord(rec.Data)
	if err != nil {
		return appliedRecord{}, err
	}
	var out appliedRecord
	if b.Sequence == unsequenced {
		out = c.followChunks(rec.Offset, b)
	} else {
		out = c.applyBatch(rec.Offset, b)
	}
	c.pass()
	return out, nil
}

// skip passes over the record at c.next, which is torn.
func (c *core) skip() appliedRecord {
	c.pass()
	return appliedRecord{kind: recordTorn}
}

func (c *core) pass() {
	c.seen.passed(c.next)
	c.next++
}

// followChunks notes how far snapshots have come, without keeping their data.
func (c *core) followChunks(offset platform.Offset, b batch) appliedRecord {
	out := appliedRecord{kind: recordChunk, origin: b.Origin}
	for _, part := range chunksOf(b) {
		out.started = out.started || part.Index == 0
		if done := c.snaps.add(b.Origin, offset, part); done != nil {
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
	out := appliedRecord{kind: recordRepeat, origin: b.Origin, sequence: b.Sequence}
	if !c.seen.accept(b.Origin, b.Sequence, offset) {
		return out
	}
	out.kind = recordApplied
	out.results = make([]error, len(b.Entries))
	for i, e := range b.Entries {
		m, ok := c.byType[e.Type]
		if !ok {
			out.unknown++
			c.foreign = true
			out.results[i] = ErrUnknownType
			continue
		}
		out.results[i] = m.Apply(Position{Offset: offset, Index: uint32(i)}, e)
	}
	return out
}
