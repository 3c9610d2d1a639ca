package work

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// ExecutorIncarnation names one life of an executor. One that starts again may have the id that it had,
// but knows nothing of before and counts anew.
type ExecutorIncarnation struct {
	ID          string
	StartTimeMs int64 // when it began, by its own clock: Unix milliseconds; 0: not told
}

// Matches reports whether two names may be of one life. One that doesn't tell when the life
// began may be of each under the id.
func (l ExecutorIncarnation) Matches(o ExecutorIncarnation) bool {
	return l.ID == o.ID && (l.StartTimeMs == o.StartTimeMs || l.StartTimeMs == 0 || o.StartTimeMs == 0)
}

// Parts of the text of a life: ids hold no spaces.
const (
	lifeSeparator = " "
	lifeBase      = 36
)

// String returns the id, followed by the start if that is told.
func (l ExecutorIncarnation) String() string {
	if l.StartTimeMs == 0 {
		return l.ID
	}
	return l.ID + lifeSeparator + strconv.FormatInt(l.StartTimeMs, lifeBase)
}

// ParseExecutorIncarnation reads the text of a life.
func ParseExecutorIncarnation(text string) (ExecutorIncarnation, error) {
	id, start, told := strings.Cut(text, lifeSeparator)
	if !told {
		return ExecutorIncarnation{ID: id}, nil
	}
	born, err := strconv.ParseInt(start, lifeBase, 64)
	if err != nil || born <= 0 {
		return ExecutorIncarnation{}, errors.Newf("work: %q is no life of an executor", text)
	}
	return ExecutorIncarnation{ID: id, StartTimeMs: born}, nil
}

// MarshalCBOR implements cbor.Marshaler.
func (l ExecutorIncarnation) MarshalCBOR() ([]byte, error) { return cbor.Marshal(l.String()) }

// UnmarshalCBOR implements cbor.Unmarshaler.
func (l *ExecutorIncarnation) UnmarshalCBOR(data []byte) error {
	var text string
	if err := cbor.Unmarshal(data, &text); err != nil {
		return err
	}
	var err error
	*l, err = ParseExecutorIncarnation(text)
	return err
}
