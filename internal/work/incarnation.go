package work

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// ExecutorIncarnation identifies one run of an executor process from its start to
// its end. A restarted executor may reuse its ID, but has no memory of earlier
// incarnations and restarts its counters.
type ExecutorIncarnation struct {
	ID          string
	StartTimeMs int64 // by the executor's clock, milliseconds since 1970; 0: unknown
}

// Matches reports whether i and o may be the same incarnation. One without a start
// time matches every incarnation with the same ID.
func (i ExecutorIncarnation) Matches(o ExecutorIncarnation) bool {
	return i.ID == o.ID && (i.StartTimeMs == o.StartTimeMs || i.StartTimeMs == 0 || o.StartTimeMs == 0)
}

// Text form of an incarnation: the ID, a separator and the start time. IDs
// contain no spaces.
const (
	incarnationSeparator = " "
	startTimeBase        = 36
)

// String returns the ID, followed by the start time if it is known.
func (i ExecutorIncarnation) String() string {
	if i.StartTimeMs == 0 {
		return i.ID
	}
	return i.ID + incarnationSeparator + strconv.FormatInt(i.StartTimeMs, startTimeBase)
}

// ParseExecutorIncarnation parses the text returned by ExecutorIncarnation.String.
func ParseExecutorIncarnation(text string) (ExecutorIncarnation, error) {
	id, start, found := strings.Cut(text, incarnationSeparator)
	if !found {
		return ExecutorIncarnation{ID: id}, nil
	}
	startMs, err := strconv.ParseInt(start, startTimeBase, 64)
	if err != nil || startMs <= 0 {
		return ExecutorIncarnation{}, errors.Newf("work: executor incarnation %q has an invalid start time", text)
	}
	return ExecutorIncarnation{ID: id, StartTimeMs: startMs}, nil
}

// MarshalCBOR implements cbor.Marshaler.
func (i ExecutorIncarnation) MarshalCBOR() ([]byte, error) { return cbor.Marshal(i.String()) }

// UnmarshalCBOR implements cbor.Unmarshaler.
func (i *ExecutorIncarnation) UnmarshalCBOR(data []byte) error {
	var text string
	if err := cbor.Unmarshal(data, &text); err != nil {
		return err
	}
	var err error
	*i, err = ParseExecutorIncarnation(text)
	return err
}
