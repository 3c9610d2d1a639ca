package work

import (
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// packedProgress is the stored form of Progress. The tasks of a step are stored by
// column, and columns that are all zero are omitted: a record is written at each
// start and each end of a job's tasks, so its size matters.
type packedProgress struct {
	_                  struct{} `cbor:",toarray"`
	State              State
	Executors          []ExecutorIncarnation // those that tasks refer to by index, then lost ones (lost.go)
	Occurrences        []packedOccurrence
	FinishedBelow      int
	FinishedOutOfOrder []int
}

type packedOccurrence struct {
	_      struct{} `cbor:",toarray"`
	Number int
	Steps  []packedStep
}

// packedStep holds the tasks of a step by column.
type packedStep struct {
	_               struct{} `cbor:",toarray"`
	Phases          []byte   // one for each task
	Runs            []uint32 // one for each task; empty: 0 for all
	ExecutorIndexes []int    // one for each task; empty: 0 for all
	Failures        []byte   // one for each task, then crashes and further losses of each task if there are any; empty: 0 for all
	Checkpoints     []string // one for each task; empty: no task has a checkpoint
}

// pack returns the stored form.
func (p *Progress) pack() (*packedProgress, error) {
	lost, err := marshalLost(p.LostExecutors)
	if err != nil {
		return nil, err
	}
	out := &packedProgress{State: p.State, Executors: slices.Concat(p.Executors, lost), FinishedBelow: p.FinishedBelow, FinishedOutOfOrder: p.FinishedOutOfOrder}
	for _, o := range p.Occurrences {
		po := packedOccurrence{Number: o.Number}
		for _, tasks := range o.Steps {
			po.Steps = append(po.Steps, packStep(tasks))
		}
		out.Occurrences = append(out.Occurrences, po)
	}
	return out, nil
}

func packStep(tasks []TaskProgress) packedStep {
	s := packedStep{
		Phases:          make([]byte, len(tasks)),
		Runs:            make([]uint32, len(tasks)),
		ExecutorIndexes: make([]int, len(tasks)),
		Failures:        make([]byte, 3*len(tasks)),
		Checkpoints:     make([]string, len(tasks)),
	}
	var runs, executors, failures, lost, checkpoints bool
	crashes, losses := s.Failures[len(tasks):2*len(tasks)], s.Failures[2*len(tasks):]
	for i, t := range tasks {
		s.Phases[i], s.Runs[i], s.ExecutorIndexes[i], s.Failures[i], s.Checkpoints[i] = byte(t.Phase), t.Run, t.ExecutorIndex, t.Failures, t.Checkpoint
		crashes[i], losses[i] = t.Crashes, t.Losses
		runs = runs || t.Run != 0
		executors = executors || t.ExecutorIndex != 0
		failures = failures || t.Failures != 0
		lost = lost || t.Crashes != 0 || t.Losses != 0
		checkpoints = checkpoints || t.Checkpoint != ""
	}
	if !runs {
		s.Runs = nil
	}
	if !executors {
		s.ExecutorIndexes = nil
	}
	switch {
	case lost:
	case failures:
		s.Failures = s.Failures[:len(tasks)]
	default:
		s.Failures = nil
	}
	if !checkpoints {
		s.Checkpoints = nil
	}
	return s
}

// unpack returns the progress, or an error if columns differ in length or a lost executor can't be decoded.
func (p *packedProgress) unpack() (*Progress, error) {
	executors, lost, err := unmarshalLost(p.Executors)
	if err != nil {
		return nil, err
	}
	out := &Progress{State: p.State, Executors: executors, FinishedBelow: p.FinishedBelow, FinishedOutOfOrder: p.FinishedOutOfOrder, LostExecutors: lost}
	for _, po := range p.Occurrences {
		o := Occurrence{Number: po.Number}
		for _, s := range po.Steps {
			tasks, err := s.unpack()
			if err != nil {
				return nil, err
			}
			o.Steps = append(o.Steps, tasks)
		}
		out.Occurrences = append(out.Occurrences, o)
	}
	return out, nil
}

func (s *packedStep) unpack() ([]TaskProgress, error) {
	n := len(s.Phases)
	failures, crashes, losses := s.Failures, []byte(nil), []byte(nil)
	if n > 0 && len(s.Failures) == 3*n {
		failures, crashes, losses = s.Failures[:n], s.Failures[n:2*n], s.Failures[2*n:]
	}
	for _, column := range []int{len(s.Runs), len(s.ExecutorIndexes), len(failures), len(s.Checkpoints)} {
		if column != 0 && column != n {
			return nil, errors.Newf("work: progress record has columns of %d and %d tasks", n, column)
		}
	}
	tasks := make([]TaskProgress, n)
	for i := range tasks {
		t := &tasks[i]
		t.Phase = Phase(s.Phases[i])
		if len(s.Runs) > 0 {
			t.Run = s.Runs[i]
		}
		if len(s.ExecutorIndexes) > 0 {
			t.ExecutorIndex = s.ExecutorIndexes[i]
		}
		if len(failures) > 0 {
			t.Failures = failures[i]
		}
		if len(crashes) > 0 {
			t.Crashes, t.Losses = crashes[i], losses[i]
		}
		if len(s.Checkpoints) > 0 {
			t.Checkpoint = s.Checkpoints[i]
		}
	}
	return tasks, nil
}

// EncodeProgress encodes progress as the value of a progress record.
func EncodeProgress(p *Progress) ([]byte, error) {
	packed, err := p.pack()
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(packed)
}

// DecodeProgress decodes the value of a progress record. It also accepts the older
// encoding with one list for each task, which processes of the version before
// the column encoding have written.
func DecodeProgress(data []byte) (*Progress, error) {
	var packed packedProgress
	err := cbor.Unmarshal(data, &packed)
	if err == nil {
		return packed.unpack()
	}
	var listed Progress
	if cbor.Unmarshal(data, &listed) == nil {
		return &listed, nil
	}
	return nil, errors.Wrap(err, "work: decode progress record")
}
