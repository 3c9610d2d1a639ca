package work

import (
	"encoding/base64"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// LostExecutor is an executor incarnation with which runs of a job were lost.
type LostExecutor struct {
	Executor ExecutorIncarnation `cbor:"1,keyasint"`
	Address  string              `cbor:"2,keyasint,omitempty"` // "" if it isn't known
	Evidence uint8               `cbor:"3,keyasint,omitempty"` // how its end is known; 0: it may be alive
	Epoch    uint64              `cbor:"4,keyasint,omitempty"` // of the leader that counted the loss
	AtMs     int64               `cbor:"5,keyasint,omitempty"` // when it fell silent, milliseconds since 1970
	Tasks    []LostTask          `cbor:"6,keyasint"`           // the tasks of the lost runs
	Late     bool                `cbor:"7,keyasint,omitempty"` // its end became known so late that it may have crashed after the runs' lease was over
}

// LostTask is a task of which a run was lost with an executor.
type LostTask struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
	Certain    bool // the run was there when the executor fell silent
	Restart    bool // the loss counts among the runs without a result since restarts are bounded
}

// lostExecutorPrefix marks an entry of a record's list of executors that describes a lost one. Earlier versions take the entry
// for an executor to which no task refers. They would refuse a further field, since records are encoded by position.
const lostExecutorPrefix = "\x1f"

// marshalLost returns lost executors as entries of a record's list of executors.
func marshalLost(lost []LostExecutor) ([]ExecutorIncarnation, error) {
	var entries []ExecutorIncarnation
	for i := range lost {
		data, err := cbor.Marshal(&lost[i])
		if err != nil {
			return nil, errors.Wrap(err, "work: encode lost executor")
		}
		entries = append(entries, ExecutorIncarnation{ID: lostExecutorPrefix + base64.RawStdEncoding.EncodeToString(data)})
	}
	return entries, nil
}

// unmarshalLost splits a record's list of executors into those that tasks refer to and the lost ones.
func unmarshalLost(entries []ExecutorIncarnation) (executors []ExecutorIncarnation, lost []LostExecutor, err error) {
	for i, e := range entries {
		text, found := strings.CutPrefix(e.ID, lostExecutorPrefix)
		if !found {
			if len(lost) > 0 {
				return nil, nil, errors.New("work: progress record names an executor after a lost one")
			}
			executors = entries[:i+1]
			continue
		}
		data, err := base64.RawStdEncoding.DecodeString(text)
		if err != nil {
			return nil, nil, errors.Wrap(err, "work: decode lost executor")
		}
		var l LostExecutor
		if err := cbor.Unmarshal(data, &l); err != nil {
			return nil, nil, errors.Wrap(err, "work: decode lost executor")
		}
		lost = append(lost, l)
	}
	return executors, lost, nil
}
