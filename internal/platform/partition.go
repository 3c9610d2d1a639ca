package platform

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Partition names one ordered part of a topic of the platform's store.
type Partition struct {
	Topic  string // without any prefix that the platform's form of the name has
	Number int    // from 0
	Keyed  bool   // each record has a key and the newest of each key is kept for good
}

// Record is one record of a partition. A record of a keyed partition with an
// empty value deletes its key.
type Record struct {
	Offset Offset // set by reads
	Key    string // only in keyed partitions
	Value  []byte
	Err    error // set by reads: wraps ErrMalformed; there is no value, and a key only if it could be read
}

// Size returns the bytes of the record's key and value.
func (r *Record) Size() int { return len(r.Key) + len(r.Value) }

// ErrMalformed says that a record is stored in a form that can't be read. It
// has its place in the partition all the same.
var ErrMalformed = errors.New("partition: malformed record")

// Append is one append. Its records are stored all or none, next to each
// other.
type Append struct {
	Partition   Partition
	Records     []Record
	ExpectedEnd *Offset   // only if the partition ends here; nil: wherever it ends
	Producer    *Producer // nil: no fencing
}

// Producer numbers the appends of one writer, so that a repeat is told from a
// new append and a former writer is turned away.
type Producer struct {
	Name     string
	Epoch    uint64 // an append of a lower epoch is refused from then on
	Sequence uint64 // one more than that of the epoch's last append
}

// RecordBatch is the result of a read.
type RecordBatch struct {
	Records []Record
	Next    Offset // where to read on
	End     Offset // of the partition at the time of the read
}

// NewestPage is some of the newest records of a keyed partition.
type NewestPage struct {
	Records []Record // ordered by key
	More    bool     // go on after the last key
	End     Offset   // of the partition when the page was made
}

// ErrFenced says that a higher epoch of the same producer has appended.
var ErrFenced = errors.New("partition: a higher epoch has written")

// ConflictError says that the partition does not end where the append wanted.
type ConflictError struct {
	End Offset
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("partition ends at %d", e.End)
}

// SequenceError says which sequence number the producer's next append has.
type SequenceError struct {
	Expected uint64
}

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("partition expects sequence %d", e.Expected)
}

// PartitionLog is the platform's store seen as partitions. Its answers are
// linearizable. Besides the errors named here, calls fail with ErrUnavailable
// when nothing was done and appends with ErrUncertain when they may have been
// done or may still be.
type PartitionLog interface {
	// Append returns the offset of the first record; where there is none, that at which
	// the partition ends. It fails with
	// *ConflictError, ErrFenced, *SequenceError or ErrTooLarge.
	Append(ctx context.Context, a Append) (Offset, error)
	// Read returns records from an offset on and waits up to wait when there
	// is none. It fails with *TrimmedError below the oldest kept record.
	Read(ctx context.Context, p Partition, from Offset, wait time.Duration) (RecordBatch, error)
	// Newest returns a page of the newest records whose key is above after.
	Newest(ctx context.Context, p Partition, after string) (NewestPage, error)
}
