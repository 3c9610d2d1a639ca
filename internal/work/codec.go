package work

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Kind says what a record of the cell's partition holds.
type Kind byte

// Kinds of records. A record's key is its kind and the job's ID, as text,
// since the platform's store returns keys inside JSON.
const (
	KindJob          Kind = 'j' // a submission; value: Job
	KindProgress     Kind = 'p' // value: Progress
	KindCancellation Kind = 'c' // a client's cancel; the value holds nothing of meaning
	KindOutcome      Kind = 'e' // value: Outcome; it stands for all other records of the job
)

// Key returns the key of the record of the given kind for a job.
func Key(kind Kind, id ID) string { return string(rune(kind)) + id.String() }

// ParseKey reads a key made by Key.
func ParseKey(key string) (Kind, ID, error) {
	if key == "" {
		return 0, ID{}, errors.New("work: empty record key")
	}
	kind := Kind(key[0])
	switch kind {
	case KindJob, KindProgress, KindCancellation, KindOutcome:
	default:
		return 0, ID{}, errors.Newf("record key %q is of no known kind", key)
	}
	id, err := ParseID(key[1:])
	if err != nil {
		return 0, id, errors.Wrapf(err, "record key %q", key)
	}
	return kind, id, nil
}

// EncodeJob returns the value of a job's record.
func EncodeJob(j *Job) ([]byte, error) { return cbor.Marshal(j) }

// DecodeJob reads the value of a job's record.
func DecodeJob(data []byte) (*Job, error) {
	j := &Job{}
	if err := cbor.Unmarshal(data, j); err != nil {
		return nil, errors.Wrap(err, "work: job record")
	}
	return j, nil
}

// EncodeOutcome returns the value of an outcome's record.
func EncodeOutcome(o *Outcome) ([]byte, error) { return cbor.Marshal(o) }

// DecodeOutcome reads the value of an outcome's record.
func DecodeOutcome(data []byte) (*Outcome, error) {
	o := &Outcome{}
	if err := cbor.Unmarshal(data, o); err != nil {
		return nil, errors.Wrap(err, "work: outcome record")
	}
	if !o.State.Final() || o.State > Cancelled {
		return nil, errors.Newf("work: outcome record with state %d", o.State)
	}
	return o, nil
}

// CancellationValue is the value of a cancel's record: a record without a value
// would delete the key.
var CancellationValue = []byte{1}
