package cell

import (
	"fmt"
	"sort"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/ledger"
)

// snapshotVersion is the form of the snapshot that this code writes.
const snapshotVersion = 2

// snapshot is the whole state. The history for explanations is left out:
// after a Restore it starts anew.
type snapshot struct {
	_       struct{} `cbor:",toarray"`
	Version uint
	NextJob uint32
	NextVM  uint32
	VMs     []vmImage
	Jobs    []jobImage
	Ended   []uint32

	Published api.Revision

	LastMoveNumber uint32
	MovedOut       []uint32
	MovedIn        []movedImage
}

type movedImage struct {
	_          struct{} `cbor:",toarray"`
	DataCentre api.DataCentre
	MoveNumber uint32
}

type vmImage struct {
	_        struct{} `cbor:",toarray"`
	Number   uint32
	ID       api.VMID
	Rack     string
	Capacity api.Resources
	Removed  bool
}

type jobImage struct {
	_          struct{} `cbor:",toarray"`
	Number     uint32
	Spec       api.JobSpec
	Submitted  int64
	Cancelled  bool
	Ended      bool
	MovedTo    api.DataCentre
	MoveNumber uint32
	Size       uint32
	Replaced   []replacedImage
	Tasks      []taskImage // only those that were ever started
}

type replacedImage struct {
	_        struct{} `cbor:",toarray"`
	New, Old uint32
}

// taskImage holds the claim of a task with it: nil when it holds no VM.
type taskImage struct {
	_          struct{} `cbor:",toarray"`
	Index      uint32
	VM         uint32
	Attempt    uint32
	Failures   uint16
	State      api.TaskState
	Reason     uint8
	Flags      uint8
	Allocation *api.Resources
}

// Snapshot implements journal.StateMachine. Equal states give equal bytes.
func (m *StateMachine) Snapshot() ([]byte, error) {
	m.applying.Lock()
	defer m.applying.Unlock()
	m.vms.mu.RLock()
	defer m.vms.mu.RUnlock()
	s := snapshot{
		Version: snapshotVersion,
		NextJob: m.nextJob,
		NextVM:  uint32(len(m.vms.rows)),
		Ended:   m.ended,

		Published:      m.PublishedRevision(),
		LastMoveNumber: m.moves,
		MovedOut:       m.movedOut,
	}
	for dc, move := range m.movedIn {
		s.MovedIn = append(s.MovedIn, movedImage{DataCentre: dc, MoveNumber: move})
	}
	sort.Slice(s.MovedIn, func(i, j int) bool { return s.MovedIn[i].DataCentre < s.MovedIn[j].DataCentre })
	for number, row := range m.vms.rows {
		if row != nil {
			s.VMs = append(s.VMs, vmImage{Number: uint32(number), ID: row.id, Rack: row.rack, Capacity: row.capacity, Removed: row.gone})
		}
	}
	for i := range m.shards {
		// Only Apply and Restore change jobs, and they are locked out.
		for _, j := range m.shards[i].jobs {
			s.Jobs = append(s.Jobs, m.imageOf(j))
		}
	}
	sort.Slice(s.Jobs, func(i, j int) bool { return s.Jobs[i].Number < s.Jobs[j].Number })
	return journal.Encode(&s), nil
}

func (m *StateMachine) imageOf(j *job) jobImage {
	image := jobImage{
		Number:     j.number,
		Spec:       j.spec,
		Submitted:  j.submitted,
		Cancelled:  j.cancelled,
		Ended:      j.ended,
		MovedTo:    j.movedTo,
		MoveNumber: j.move,
		Size:       j.size,
	}
	for added, old := range j.replaced {
		image.Replaced = append(image.Replaced, replacedImage{New: added, Old: old})
	}
	sort.Slice(image.Replaced, func(a, b int) bool { return image.Replaced[a].New < image.Replaced[b].New })
	for i := range j.tasks {
		t := j.tasks[i]
		if t == j.untouched() {
			continue
		}
		image.Tasks = append(image.Tasks, m.taskImage(j, uint32(i), t))
	}
	return image
}

func (m *StateMachine) taskImage(j *job, index uint32, t task) taskImage {
	image := taskImage{
		Index:    index,
		VM:       t.vm,
		Attempt:  t.attempt,
		Failures: t.failures,
		State:    t.state,
		Reason:   t.reason,
		Flags:    t.flags,
	}
	if !t.state.HoldsResources() {
		image.VM = 0
		return image
	}
	held, _ := m.vms.ledger.Allocated(t.vm, ledger.Key{Job: j.number, Index: index, Attempt: t.attempt})
	image.Allocation = &held
	return image
}

// Restore implements journal.StateMachine. A snapshot that contradicts itself is
// an error; the state is then not to be used.
func (m *StateMachine) Restore(data []byte) error {
	var s snapshot
	if err := journal.Decode(data, &s); err != nil {
		return fmt.Errorf("cell: snapshot: %w", err)
	}
	if s.Version != snapshotVersion {
		return fmt.Errorf("cell: snapshot of version %d, known is %d", s.Version, snapshotVersion)
	}
	m.applying.Lock()
	defer m.applying.Unlock()
	if err := m.load(&s); err != nil {
		return err
	}
	m.events = []Event{{Kind: EventRestored}}
	m.publish()
	return nil
}

func (m *StateMachine) load(s *snapshot) error {
	m.vms.mu.Lock()
	defer m.vms.mu.Unlock()
	for i := range m.shards {
		m.shards[i].mu.Lock()
		defer m.shards[i].mu.Unlock()
		m.names[i].mu.Lock()
		defer m.names[i].mu.Unlock()
	}
	m.reset()
	m.nextJob = s.NextJob
	m.ended = s.Ended
	m.published.Store(uint64(s.Published))
	m.moves = s.LastMoveNumber
	m.movedOut = s.MovedOut
	for _, in := range s.MovedIn {
		m.movedIn[in.DataCentre] = in.MoveNumber
	}
	m.vms.rows = make([]*vmRow, s.NextVM)
	for _, v := range s.VMs {
		if v.Number >= s.NextVM {
			return fmt.Errorf("cell: snapshot: VM number %d of %d", v.Number, s.NextVM)
		}
		m.vms.rows[v.Number] = &vmRow{id: v.ID, rack: v.Rack, capacity: v.Capacity, gone: v.Removed}
		m.vms.numbers[v.ID] = v.Number
		m.vms.ledger.SetCapacity(v.Number, v.Capacity)
	}
	for i := range s.Jobs {
		if err := m.loadJob(&s.Jobs[i]); err != nil {
			return err
		}
	}
	for _, number := range m.ended {
		j := m.shardOf(number).jobs[number]
		if j == nil {
			return fmt.Errorf("cell: snapshot: ended job %d is missing", number)
		}
		m.endedTasks += len(j.tasks)
	}
	return nil
}

func (m *StateMachine) loadJob(image *jobImage) error {
	j := newJob(image.Number, image.Spec, image.Submitted)
	j.size = image.Size
	j.counts[api.TaskPending] = image.Size
	for _, r := range image.Replaced {
		if j.replaced == nil {
			j.replaced = make(map[uint32]uint32)
		}
		j.replaced[r.New] = r.Old
	}
	for _, t := range image.Tasks {
		if err := m.loadTask(j, t); err != nil {
			return err
		}
	}
	if image.Cancelled {
		j.cancel()
	}
	j.movedTo = image.MovedTo
	j.move = image.MoveNumber
	if j.movedTo != "" && !image.Cancelled {
		j.dropPending()
	}
	j.ended = image.Ended
	m.shardOf(j.number).jobs[j.number] = j
	m.nameShardOf(j.spec.ID).numbers[j.spec.ID] = j.number
	return nil
}

func (m *StateMachine) loadTask(j *job, image taskImage) error {
	if image.Index >= j.size || int(image.State) >= stateCount {
		return fmt.Errorf("cell: snapshot: task %s/%d out of range", j.spec.ID, image.Index)
	}
	j.allocate()
	t := &j.tasks[image.Index]
	j.shift(t, image.State)
	t.vm = noVM
	t.attempt = image.Attempt
	t.failures = image.Failures
	t.reason = image.Reason
	t.flags = image.Flags
	if !image.State.HoldsResources() {
		return nil
	}
	t.vm = image.VM
	key := ledger.Key{Job: j.number, Index: image.Index, Attempt: image.Attempt}
	if image.Allocation == nil || !m.vms.ledger.Restore(image.VM, key, *image.Allocation) {
		return fmt.Errorf("cell: snapshot: task %s/%d has no claim", j.spec.ID, image.Index)
	}
	return nil
}
