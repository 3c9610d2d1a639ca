package platform

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Partition identifies one partition of a topic of the platform's store. Its records are
// ordered.
type Partition struct {
	Topic  string // without the prefix that the platform may require
	Number int    // from 0
	Keyed  bool   // records have keys, and the newest record of each key is retained forever
}

// Record is one record of a partition. In a keyed partition, a record with an
// empty value deletes its key.
type Record struct {
	Offset Offset // set by reads
	Key    string // only in keyed partitions
	Value  []byte
	Err    error // set by reads, wraps ErrMalformed: there is no value, and a key only if it could be read
}

// Size returns the size of the record's key and value in bytes.
func (r *Record) Size() int { return len(r.Key) + len(r.Value) }

// ErrMalformed means that a stored record can't be read. The record still occupies
// its offset in the partition.
var ErrMalformed = errors.New("partition: malformed record")

// Append is one append. Its records are stored atomically and next to each
// other.
type Append struct {
	Partition   Partition
	Records     []Record
	ExpectedEnd *Offset   // the append fails if the partition ends elsewhere; nil: no condition
	Producer    *Producer // nil: no fencing
}

// Producer identifies and numbers the appends of one writer, so that the store can
// detect repeated appends and refuse those of a former writer.
type Producer struct {
	Name     string
	Epoch    uint64 // later appends with a lower epoch are refused
	Sequence uint64 // one more than that of the epoch's previous append
}

// RecordBatch is the result of a read.
type RecordBatch struct {
	Records []Record
	Next    Offset // offset at which the next read starts
	End     Offset // end of the partition at the time of the read
}

// NewestPage is a page of the newest records of a keyed partition.
type NewestPage struct {
	Records []Record // in order of their keys
	More    bool     // there are more pages after the last key
	End     Offset   // end of the partition when the page was created
}

// ErrFenced means that the same producer has appended with a higher epoch.
var ErrFenced = errors.New("partition: a higher epoch has written")

// ConflictError reports that the partition does not end at Append.ExpectedEnd.
type ConflictError struct {
	End Offset
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("partition ends at %d", e.End)
}

// SequenceError reports that the producer's next append must have another sequence
// number.
type SequenceError struct {
	Expected uint64
}

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("partition expects sequence %d", e.Expected)
}

// PartitionLog is the platform's store as a set of partitions. Its operations are
// linearizable. Besides the errors listed at its methods, calls fail with
// ErrUnavailable if they had no effect, and appends with ErrUncertain if they may
// have taken effect or may still do so.
type PartitionLog interface {
	// Append returns the offset of the first appended record, or the end of the partition
	// if there are no records. It fails with *ConflictError, ErrFenced, *SequenceError or
	// ErrTooLarge.
	Append(ctx context.Context, a Append) (Offset, error)
	// Read returns records from an offset on. If there is none, it waits up to
	// wait. It fails with *TrimmedError if the offset is no longer retained.
	Read(ctx context.Context, p Partition, from Offset, wait time.Duration) (RecordBatch, error)
	// Newest returns a page of the newest records, starting with the first key
	// after the given one.
	Newest(ctx context.Context, p Partition, after string) (NewestPage, error)
}
