package journal

import (
	"errors"
	"fmt"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// recordKind says what a record turned out to be.
type recordKind uint8

const (
	recordApplied recordKind = iota + 1 // a new batch
	recordRepeat                        // a second copy, dropped
	recordTorn                          // damaged, skipped by every reader
)

// appliedRecord is what became of one record.
type appliedRecord struct {
	kind     recordKind
	origin   Origin
	sequence uint64
	results  []error // of each entry, as returned by its machine
	unknown  int     // entries whose type no local machine knows
}

// core is the deterministic part of a replica: records in, state out. Every
// core that is fed the same records holds the same state. It is not safe for
// concurrent use.
type core struct {
	machines []Machine
	byType   map[EntryType]Machine
	seen     *sequencer
	next     platform.Offset // of the first record not yet applied
}

func newCore(machines []Machine) *core {
	c := &core{machines: machines, byType: make(map[EntryType]Machine), seen: newSequencer()}
	for _, m := range machines {
		for _, t := range m.Types() {
			c.byType[t] = m
		}
	}
	return c
}

// apply applies the record at c.next. It fails, and changes nothing, when
// the record is not the next one or is of a newer format.
func (c *core) apply(rec platform.LogRecord) (appliedRecord, error) {
	if rec.Offset != c.next {
		return appliedRecord{}, fmt.Errorf("journal: record %d where %d was due", rec.Offset, c.next)
	}
	b, err := decodeRecord(rec.Data)
	if errors.Is(err, errNewerFormat) {
		return appliedRecord{}, err
	}
	out := appliedRecord{kind: recordTorn}
	if err == nil {
		out = c.applyBatch(rec.Offset, b)
	}
	c.seen.passed(rec.Offset)
	c.next++
	return out, nil
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
			out.results[i] = ErrNoMachine
			continue
		}
		out.results[i] = m.Apply(Position{Offset: offset, Index: uint32(i)}, e)
	}
	return out
}
