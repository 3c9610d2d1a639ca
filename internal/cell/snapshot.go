package cell

import (
	"fmt"
	"sort"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/ledger"
)

// snapshotVersion is the version of the snapshot format.
const snapshotVersion = 2

// snapshot is the whole replicated state. It excludes the history for
// explanations, which is not restored.
type snapshot struct {
	_       struct{} `cbor:",toarray"`
	Version uint
	NextJob uint32
	NextVM  uint32
	VMs     []vmSnapshot
	Jobs    []jobSnapshot
	Ended   []uint32

	Published api.Revision

	LastMoveNumber uint32
	MovedOut       []uint32
	MovedIn        []moveSnapshot
}

type moveSnapshot struct {
	_          struct{} `cbor:",toarray"`
	DataCentre api.DataCentre
	MoveNumber uint32
}

type vmSnapshot struct {
	_        struct{} `cbor:",toarray"`
	Number   uint32
	ID       api.VMID
	Rack     string
	Capacity api.Resources
	Removed  bool
}

type jobSnapshot struct {
	_          struct{} `cbor:",toarray"`
	Number     uint32
	Spec       api.JobSpec
	Submitted  int64
	Cancelled  bool
	Ended      bool
	MovedTo    api.DataCentre
	MoveNumber uint32
	Size       uint32
	Replaced   []replacementSnapshot
	Tasks      []taskSnapshot // only tasks that differ from a task that was never started
}

type replacementSnapshot struct {
	_        struct{} `cbor:",toarray"`
	New, Old uint32
}

// taskSnapshot is the state of a task. Allocation is nil if the task holds no VM.
type taskSnapshot struct {
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

// Snapshot encodes the state for the journal. Equal states give equal bytes.
func (m *StateMachine) Snapshot() ([]byte, error) {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	m.vms.mu.RLock()
	defer m.vms.mu.RUnlock()
	s := snapshot{
		Version: snapshotVersion,
		NextJob: m.nextJob,
		NextVM:  uint32(len(m.vms.rows)),
		Ended:   m.ended,

		Published:      m.PublishedRevision(),
		LastMoveNumber: m.lastMoveNumber,
		MovedOut:       m.movedOut,
	}
	for dc, move := range m.movedIn {
		s.MovedIn = append(s.MovedIn, moveSnapshot{DataCentre: dc, MoveNumber: move})
	}
	sort.Slice(s.MovedIn, func(i, j int) bool { return s.MovedIn[i].DataCentre < s.MovedIn[j].DataCentre })
	for number, row := range m.vms.rows {
		if row != nil {
			s.VMs = append(s.VMs, vmSnapshot{Number: uint32(number), ID: row.id, Rack: row.rack, Capacity: row.capacity, Removed: row.removed})
		}
	}
	for i := range m.jobShards {
		// Jobs need no lock: only Apply and Restore change them, and applyMu
		// keeps both out.
		for _, j := range m.jobShards[i].jobs {
			s.Jobs = append(s.Jobs, m.snapshotJob(j))
		}
	}
	sort.Slice(s.Jobs, func(i, j int) bool { return s.Jobs[i].Number < s.Jobs[j].Number })
	return journal.Encode(&s), nil
}

func (m *StateMachine) snapshotJob(j *job) jobSnapshot {
	snap := jobSnapshot{
		Number:     j.number,
		Spec:       j.spec,
		Submitted:  j.submitted,
		Cancelled:  j.cancelled,
		Ended:      j.ended,
		MovedTo:    j.movedTo,
		MoveNumber: j.moveNumber,
		Size:       j.size,
	}
	for replacement, old := range j.replaced {
		snap.Replaced = append(snap.Replaced, replacementSnapshot{New: replacement, Old: old})
	}
	sort.Slice(snap.Replaced, func(a, b int) bool { return snap.Replaced[a].New < snap.Replaced[b].New })
	for i := range j.tasks {
		t := j.tasks[i]
		if t == j.initialTask() {
			continue
		}
		snap.Tasks = append(snap.Tasks, m.snapshotTask(j, uint32(i), t))
	}
	return snap
}

func (m *StateMachine) snapshotTask(j *job, index uint32, t task) taskSnapshot {
	snap := taskSnapshot{
		Index:    index,
		VM:       t.vm,
		Attempt:  t.attempt,
		Failures: t.failures,
		State:    t.state,
		Reason:   t.reason,
		Flags:    t.flags,
	}
	if !t.state.HoldsResources() {
		snap.VM = 0
		return snap
	}
	allocated, _ := m.vms.ledger.Allocated(t.vm, ledger.Key{Job: j.number, Index: index, Attempt: t.attempt})
	snap.Allocation = &allocated
	return snap
}

// Restore replaces the state by a snapshot. After an error, for instance for an
// inconsistent snapshot, the state must not be used.
func (m *StateMachine) Restore(data []byte) error {
	var s snapshot
	if err := journal.Decode(data, &s); err != nil {
		return fmt.Errorf("cell: snapshot: %w", err)
	}
	if s.Version != snapshotVersion {
		return fmt.Errorf("cell: unsupported snapshot version %d, expected %d", s.Version, snapshotVersion)
	}
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	if err := m.load(&s); err != nil {
		return err
	}
	m.events = []Event{{Kind: EventRestored}}
	m.notifySubscribers()
	return nil
}

func (m *StateMachine) load(s *snapshot) error {
	m.vms.mu.Lock()
	defer m.vms.mu.Unlock()
	for i := range m.jobShards {
		m.jobShards[i].mu.Lock()
		defer m.jobShards[i].mu.Unlock()
		m.idShards[i].mu.Lock()
		defer m.idShards[i].mu.Unlock()
	}
	m.reset()
	m.nextJob = s.NextJob
	m.ended = s.Ended
	m.publishedRevision.Store(uint64(s.Published))
	m.lastMoveNumber = s.LastMoveNumber
	m.movedOut = s.MovedOut
	for _, in := range s.MovedIn {
		m.movedIn[in.DataCentre] = in.MoveNumber
	}
	m.vms.rows = make([]*vmRow, s.NextVM)
	for _, v := range s.VMs {
		if v.Number >= s.NextVM {
			return fmt.Errorf("cell: snapshot: VM number %d out of range (%d numbers given)", v.Number, s.NextVM)
		}
		m.vms.rows[v.Number] = &vmRow{id: v.ID, rack: v.Rack, capacity: v.Capacity, removed: v.Removed}
		m.vms.numbers[v.ID] = v.Number
		m.vms.ledger.SetCapacity(v.Number, v.Capacity)
	}
	for i := range s.Jobs {
		if err := m.loadJob(&s.Jobs[i]); err != nil {
			return err
		}
	}
	for _, number := range m.ended {
		j := m.jobShardOf(number).jobs[number]
		if j == nil {
			return fmt.Errorf("cell: snapshot: ended job %d is missing", number)
		}
		m.endedTasks += len(j.tasks)
	}
	return nil
}

func (m *StateMachine) loadJob(snap *jobSnapshot) error {
	j := newJob(snap.Number, snap.Spec, snap.Submitted)
	j.size = snap.Size
	j.counts[api.TaskPending] = snap.Size
	for _, r := range snap.Replaced {
		if j.replaced == nil {
			j.replaced = make(map[uint32]uint32)
		}
		j.replaced[r.New] = r.Old
	}
	for _, t := range snap.Tasks {
		if err := m.loadTask(j, t); err != nil {
			return err
		}
	}
	if snap.Cancelled {
		j.cancel()
	}
	j.movedTo = snap.MovedTo
	j.moveNumber = snap.MoveNumber
	if j.movedTo != "" && !snap.Cancelled {
		j.cancelPending()
	}
	j.ended = snap.Ended
	m.jobShardOf(j.number).jobs[j.number] = j
	m.idShardOf(j.spec.ID).numbers[j.spec.ID] = j.number
	return nil
}

func (m *StateMachine) loadTask(j *job, snap taskSnapshot) error {
	if snap.Index >= j.size || int(snap.State) >= stateCount {
		return fmt.Errorf("cell: snapshot: task %s/%d out of range", j.spec.ID, snap.Index)
	}
	j.allocateTasks()
	t := &j.tasks[snap.Index]
	j.setState(t, snap.State)
	t.vm = noVMNumber
	t.attempt = snap.Attempt
	t.failures = snap.Failures
	t.reason = snap.Reason
	t.flags = snap.Flags
	if !snap.State.HoldsResources() {
		return nil
	}
	t.vm = snap.VM
	key := ledger.Key{Job: j.number, Index: snap.Index, Attempt: snap.Attempt}
	if snap.Allocation == nil || !m.vms.ledger.Restore(snap.VM, key, *snap.Allocation) {
		return fmt.Errorf("cell: snapshot: task %s/%d has no allocation", j.spec.ID, snap.Index)
	}
	return nil
}
