package speed

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Steps of recorded values of the logarithm of a speed. They are well below the standard
// deviations that estimates reach.
const (
	meanStep      = 0.05
	deviationStep = 0.0125
)

// Record is the estimated speed of an executor incarnation relative to the typical executor,
// in the form in which a leader hands it to the next one.
type Record struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	StartTimeMs int64 // start time of the incarnation, in milliseconds since 1970
	Mean        int8  // of the logarithm, in steps of meanStep
	Deviation   uint8 // standard deviation, in steps of deviationStep
}

// Snapshot is the estimated speeds of a fleet at a time.
type Snapshot struct {
	_         struct{} `cbor:",toarray"`
	WrittenMs int64    // in milliseconds since 1970
	Executors []Record
}

// Encode encodes a snapshot as the value of a stored record.
func (s *Snapshot) Encode() ([]byte, error) {
	data, err := cbor.Marshal(s)
	return data, errors.Wrap(err, "speed: encode snapshot")
}

// DecodeSnapshot decodes the value of a stored record. It fails if the value has another form,
// for example that of a later build.
func DecodeSnapshot(data []byte) (*Snapshot, error) {
	s := &Snapshot{}
	if err := cbor.Unmarshal(data, s); err != nil {
		return nil, errors.Wrap(err, "speed: decode snapshot")
	}
	return s, nil
}

// Record returns the record of an executor. It returns false if the executor has no
// observations or there is no typical executor.
func (f *Fleet) Record(e *Executor, id string, startTimeMs int64, now time.Time) (Record, bool) {
	mean, sd, known := f.Relative(e, now)
	if !known || !e.Observed() {
		return Record{}, false
	}
	return Record{
		ID:          id,
		StartTimeMs: startTimeMs,
		Mean:        int8(math.Round(max(math.MinInt8, min(math.MaxInt8, mean/meanStep)))),
		Deviation:   uint8(math.Ceil(min(math.MaxUint8, sd/deviationStep))),
	}, true
}

// Executor returns the executor of a record that was written at a time on the reader's clock.
func (r *Record) Executor(at time.Time) Executor {
	sd := float64(max(1, r.Deviation)) * deviationStep
	return Executor{mean: float64(r.Mean) * meanStep, reduced: max(0, priorVariance-sd*sd), at: at}
}

// Observed reports whether anything is known of the executor.
func (e *Executor) Observed() bool { return !e.at.IsZero() }

// Changed reports whether records differ by more than maxUnrecorded steps from those written before, or
// are of other incarnations.
func Changed(before, after []Record) bool {
	if len(before) != len(after) {
		return true
	}
	for i := range after {
		b, a := before[i], after[i]
		if a.ID != b.ID || a.StartTimeMs != b.StartTimeMs || differs(int(a.Mean), int(b.Mean)) || differs(int(a.Deviation), int(b.Deviation)) {
			return true
		}
	}
	return false
}

// maxUnrecorded is the largest change, in steps, that isn't worth a record.
const maxUnrecorded = 2

func differs(a, b int) bool { return a-b > maxUnrecorded || b-a > maxUnrecorded }
