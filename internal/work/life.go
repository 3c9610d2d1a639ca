package work

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Life names one life of an executor. One that starts again may have the id that it had,
// but knows nothing of before and counts anew.
type Life struct {
	ID   string
	Born int64 // when it began, by its own clock: Unix milliseconds; 0: not told
}

// Same reports whether two names may be of one life. One that doesn't tell when the life
// began may be of each under the id.
func (l Life) Same(o Life) bool {
	return l.ID == o.ID && (l.Born == o.Born || l.Born == 0 || o.Born == 0)
}

// Parts of the text of a life: ids hold no spaces.
const (
	lifeSeparator = " "
	lifeBase      = 36
)

// String returns the id, followed by the start if that is told.
func (l Life) String() string {
	if l.Born == 0 {
		return l.ID
	}
	return l.ID + lifeSeparator + strconv.FormatInt(l.Born, lifeBase)
}

// ParseLife reads the text of a life.
func ParseLife(text string) (Life, error) {
	id, start, told := strings.Cut(text, lifeSeparator)
	if !told {
		return Life{ID: id}, nil
	}
	born, err := strconv.ParseInt(start, lifeBase, 64)
	if err != nil || born <= 0 {
		return Life{}, errors.Newf("work: %q is no life of an executor", text)
	}
	return Life{ID: id, Born: born}, nil
}

// MarshalCBOR implements cbor.Marshaler.
func (l Life) MarshalCBOR() ([]byte, error) { return cbor.Marshal(l.String()) }

// UnmarshalCBOR implements cbor.Unmarshaler.
func (l *Life) UnmarshalCBOR(data []byte) error {
	var text string
	if err := cbor.Unmarshal(data, &text); err != nil {
		return err
	}
	var err error
	*l, err = ParseLife(text)
	return err
}
