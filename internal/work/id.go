package work

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ID identifies a job. Clients choose it; on the wire it is 16 hexadecimal digits.
type ID [8]byte

// ErrInvalidID is returned for a text that is not a job ID.
var ErrInvalidID = errors.New("work: job ID is not 16 hexadecimal digits")

// ParseID parses a job ID of 16 hexadecimal digits.
func ParseID(text string) (ID, error) {
	var id ID
	if len(text) != 2*len(id) {
		return id, ErrInvalidID
	}
	if _, err := hex.Decode(id[:], []byte(text)); err != nil {
		return id, ErrInvalidID
	}
	return id, nil
}

// String returns the ID as 16 hexadecimal digits in lower case.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// StepKey identifies one step of one occurrence of a job.
type StepKey struct {
	Job        ID
	Occurrence int // counted from 0; 0 for a job without a schedule
	Step       int // counted from 0
}

// String returns the step's name as used by executors and the advice service.
func (k StepKey) String() string {
	return fmt.Sprintf("%s.%d.%d", k.Job, k.Occurrence, k.Step)
}

// TaskKey identifies one task of a step.
type TaskKey struct {
	StepKey
	Index int // within the step, counted from 0
}

// String returns the task's name as used by executors.
func (k TaskKey) String() string {
	return k.StepKey.String() + "." + strconv.Itoa(k.Index)
}

// taskKeyParts is the number of dot-separated parts of a task's name.
const taskKeyParts = 4

// ParseTaskKey parses a task's name as returned by TaskKey.String.
func ParseTaskKey(text string) (TaskKey, error) {
	parts := strings.Split(text, ".")
	if len(parts) != taskKeyParts {
		return TaskKey{}, errors.Newf("work: task name %q has %d parts, not %d", text, len(parts), taskKeyParts)
	}
	id, err := ParseID(parts[0])
	if err != nil {
		return TaskKey{}, errors.Wrapf(err, "work: parse task name %q", text)
	}
	var numbers [taskKeyParts - 1]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return TaskKey{}, errors.Newf("work: task name %q: part %q is not a number", text, part)
		}
		numbers[i] = n
	}
	step := StepKey{Job: id, Occurrence: numbers[0], Step: numbers[1]}
	return TaskKey{StepKey: step, Index: numbers[2]}, nil
}
