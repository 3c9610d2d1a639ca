package work

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Kind is the type of a record in the cell's partition.
type Kind byte

// Kinds of records. A record's key is its kind followed by the job's ID. It is
// text because the platform's store returns keys inside JSON.
const (
	KindJob          Kind = 'j' // a submission; value: Job
	KindProgress     Kind = 'p' // value: Progress
	KindCancellation Kind = 'c' // a client's cancellation; the value has no meaning
	KindOutcome      Kind = 'e' // value: Outcome; replaces all other records of the job
)

// Key returns the key of the record of the given kind for a job.
func Key(kind Kind, id ID) string { return string(rune(kind)) + id.String() }

// ParseKey parses a key returned by Key.
func ParseKey(key string) (Kind, ID, error) {
	if key == "" {
		return 0, ID{}, errors.New("work: empty record key")
	}
	kind := Kind(key[0])
	switch kind {
	case KindJob, KindProgress, KindCancellation, KindOutcome:
	default:
		return 0, ID{}, errors.Newf("work: record key %q has an unknown kind", key)
	}
	id, err := ParseID(key[1:])
	if err != nil {
		return 0, id, errors.Wrapf(err, "work: parse record key %q", key)
	}
	return kind, id, nil
}

// storedJob is the stored form of Job, in its workspace.
type storedJob struct {
	_             struct{} `cbor:",toarray"`
	ID            ID
	Queue         queueName
	Service       string
	Specification string
	Steps         []Step
	AcceptedMs    int64
	FirstRunMs    int64
	Interval      time.Duration
	Repetitions   int
}

// EncodeJob encodes a job as the value of its record.
func EncodeJob(j *Job) ([]byte, error) {
	return marshalInWorkspace(j.Workspace, &storedJob{
		ID:            j.ID,
		Queue:         queueName{name: j.Queue, path: j.Path, terms: j.Terms},
		Service:       j.Service,
		Specification: j.Specification,
		Steps:         j.Steps,
		AcceptedMs:    j.AcceptedMs,
		FirstRunMs:    j.FirstRunMs,
		Interval:      j.Interval,
		Repetitions:   j.Repetitions,
	})
}

// DecodeJob decodes the value of a job record.
func DecodeJob(data []byte) (*Job, error) {
	var s storedJob
	var workspace WorkspaceID
	if err := unmarshalInWorkspace(data, &s, &workspace); err != nil {
		return nil, errors.Wrap(err, "work: decode job record")
	}
	return &Job{
		ID:            s.ID,
		Queue:         s.Queue.name,
		Path:          s.Queue.path,
		Terms:         s.Queue.terms,
		Workspace:     workspace,
		Service:       s.Service,
		Specification: s.Specification,
		Steps:         s.Steps,
		AcceptedMs:    s.AcceptedMs,
		FirstRunMs:    s.FirstRunMs,
		Interval:      s.Interval,
		Repetitions:   s.Repetitions,
	}, nil
}

// storedOutcome is the stored form of Outcome, in its workspace.
type storedOutcome struct {
	_     struct{} `cbor:",toarray"`
	State State
	Queue queueName
}

// EncodeOutcome encodes an outcome as the value of its record.
func EncodeOutcome(o *Outcome) ([]byte, error) {
	return marshalInWorkspace(o.Workspace, &storedOutcome{State: o.State, Queue: queueName{name: o.Queue, path: o.Path}})
}

// DecodeOutcome decodes the value of an outcome record.
func DecodeOutcome(data []byte) (*Outcome, error) {
	var s storedOutcome
	var workspace WorkspaceID
	if err := unmarshalInWorkspace(data, &s, &workspace); err != nil {
		return nil, errors.Wrap(err, "work: decode outcome record")
	}
	o := &Outcome{State: s.State, Queue: s.Queue.name, Path: s.Queue.path, Workspace: workspace}
	if !o.State.Final() || o.State > Cancelled {
		return nil, errors.Newf("work: outcome record has state %d, which is not a final state", o.State)
	}
	return o, nil
}

// CancellationValue is the value of a cancellation record. It is not empty
// because a record without a value deletes the key.
var CancellationValue = []byte{1}
