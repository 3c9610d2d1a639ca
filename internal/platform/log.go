package platform

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Offset is the position of a record in a stream or partition. Offsets start at
// zero, increase by one with each record and are never reused.
type Offset uint64

// LogRecord is a record read from a stream.
type LogRecord struct {
	Offset Offset
	Data   []byte
}

// LogBatch is the result of one read.
type LogBatch struct {
	Records []LogRecord
	First   Offset // oldest retained offset
	Next    Offset // offset of the next append, at the time of the read
}

// Errors of Log and PartitionLog. ErrUnavailable means that the operation
// certainly had no effect, ErrUncertain that an append may have taken effect.
var (
	ErrUnavailable = errors.New("log unavailable")
	ErrUncertain   = errors.New("log answer lost: append may have taken effect")
	ErrTooLarge    = errors.New("log record too large")
)

// TrimmedError reports a read from an offset that is no longer retained.
type TrimmedError struct {
	From, First Offset
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("log offset %d is gone, oldest kept is %d", e.From, e.First)
}

// Log is the platform's append-only log service. The total order of each stream
// is the only thing on which entry VMs agree.
type Log interface {
	// Append adds one record to stream and returns its offset.
	// It fails with ErrUnavailable, ErrUncertain or ErrTooLarge.
	Append(ctx context.Context, stream string, data []byte) (Offset, error)
	// Read returns at most max records from an offset on. If there is none
	// yet, it waits up to wait and then returns an empty batch. It fails with
	// ErrUnavailable or *TrimmedError. A successful read reflects every append
	// that completed before the read was sent.
	Read(ctx context.Context, stream string, from Offset, max int, wait time.Duration) (LogBatch, error)
}
