package cell

import (
	"hash/maphash"
	"sync"
	"sync/atomic"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/ledger"
)

// EpochSource returns the epoch of the cell shard after the entries applied so
// far. It is fed from the same stream in the same order as the state machine.
type EpochSource interface {
	CellEpoch() api.Epoch
}

const (
	shardCount = 64
	// Limits on the ended jobs that are kept for explanations.
	maxEndedJobs  = 2048
	maxEndedTasks = 200_000
)

// jobShard holds a part of the jobs under its own lock.
type jobShard struct {
	mu   sync.RWMutex
	jobs map[uint32]*job // by job number
}

// idShard maps a part of the job IDs to job numbers under its own lock.
type idShard struct {
	mu      sync.RWMutex
	numbers map[api.JobID]uint32
}

// vmRow is the state of a known VM.
type vmRow struct {
	id       api.VMID
	rack     string
	capacity api.Resources
	removed  bool
}

// vmTable holds the VMs and their ledger under one lock, because a start
// changes both together.
type vmTable struct {
	mu      sync.RWMutex
	rows    []*vmRow // by VM number; nil after the VM was forgotten
	numbers map[api.VMID]uint32
	ledger  ledger.Ledger
}

// StateMachine is the replicated state machine of jobs and tasks, fed by the journal.
type StateMachine struct {
	epochs   EpochSource
	counters Counters

	// applyMu is held during every Apply and Restore, including the calls
	// of the subscribers, so that View sees the state between two entries.
	applyMu           sync.Mutex
	subscribers       []func([]Event)
	pos               journal.Position
	events            []Event  // of the entry being applied
	nextJob           uint32   // number given to the next job
	ended             []uint32 // ended jobs, oldest first
	endedTasks        int
	lastMoveNumber    uint32                    // number of the latest outgoing move
	publishedRevision atomic.Uint64             // highest api.Revision of the published jobs applied so far
	movedOut          []uint32                  // jobs moved out and not confirmed, in order
	movedIn           map[api.DataCentre]uint32 // number of the latest move applied from each data centre

	seed      maphash.Seed
	idShards  [shardCount]idShard
	jobShards [shardCount]jobShard
	vms       vmTable

	historyMu   sync.Mutex
	history     history
	waitReasons waitReasonTable
}

// New returns an empty state machine. counters may be nil.
func New(epochs EpochSource, counters Counters) *StateMachine {
	m := &StateMachine{epochs: epochs, counters: counters, seed: maphash.MakeSeed()}
	m.reset()
	return m
}

func (m *StateMachine) reset() {
	for i := range m.jobShards {
		m.jobShards[i].jobs = make(map[uint32]*job)
		m.idShards[i].numbers = make(map[api.JobID]uint32)
	}
	m.vms.rows = nil
	m.vms.numbers = make(map[api.VMID]uint32)
	m.vms.ledger = ledger.Ledger{}
	m.nextJob = 0
	m.ended = nil
	m.endedTasks = 0
	m.publishedRevision.Store(0)
	m.lastMoveNumber = 0
	m.movedOut = nil
	m.movedIn = make(map[api.DataCentre]uint32)
}

// Subscribe registers f for the events of all later entries. f is called in
// apply order by the goroutine that applies the entry, and must return quickly.
// It may read the state machine but must not call View.
func (m *StateMachine) Subscribe(f func([]Event)) {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	m.subscribers = append(m.subscribers, f)
}

// View calls f while no entry is being applied.
func (m *StateMachine) View(f func()) {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	f()
}

// Types returns the entry types that the journal passes to this state machine.
func (m *StateMachine) Types() []journal.EntryType {
	return []journal.EntryType{TypeSubmit, TypeCancel, TypeVMUpdate, TypeStart, TypeReport, TypeStop, TypeReplace, TypeMoveJobs, TypeConfirmMoves, TypePublishedJobs}
}

// Apply applies one entry of the journal. Its errors are of type *Rejection. A
// batch of which at least one item was accepted returns nil; the events report
// each item.
func (m *StateMachine) Apply(pos journal.Position, e journal.Entry) error {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	m.pos = pos
	m.events = m.events[:0]
	err := m.dispatch(e)
	if err != nil {
		m.count(err.Reason)
	}
	m.notifySubscribers()
	if err != nil {
		return err
	}
	return nil
}

func (m *StateMachine) dispatch(e journal.Entry) *Rejection {
	switch e.Type {
	case TypeSubmit:
		return decoded(e, m.applySubmit)
	case TypeCancel:
		return decoded(e, m.applyCancel)
	case TypeVMUpdate:
		return decoded(e, m.applyVMUpdate)
	case TypeStart:
		return decoded(e, m.applyStarts)
	case TypeReport:
		return decoded(e, m.applyReports)
	case TypeStop:
		return decoded(e, m.applyStops)
	case TypeReplace:
		return decoded(e, m.applyReplace)
	case TypeMoveJobs:
		return decoded(e, m.applyMoveJobs)
	case TypeConfirmMoves:
		return decoded(e, m.applyConfirmMoves)
	case TypePublishedJobs:
		return decoded(e, m.applyPublishedJobs)
	}
	return &Rejection{Reason: api.ReasonMalformed, Detail: "unknown entry type"}
}

func decoded[T any](e journal.Entry, apply func(*T) *Rejection) *Rejection {
	var body T
	if err := journal.Decode(e.Body, &body); err != nil {
		return &Rejection{Reason: api.ReasonMalformed, Detail: err.Error()}
	}
	return apply(&body)
}

// notifySubscribers adds noteworthy events to the history and calls the
// subscribers.
func (m *StateMachine) notifySubscribers() {
	if len(m.events) == 0 {
		return
	}
	m.historyMu.Lock()
	for _, e := range m.events {
		m.history.add(m.pos, e)
	}
	m.historyMu.Unlock()
	events := m.events
	m.events = nil // subscribers may keep the slice
	for _, f := range m.subscribers {
		f(events)
	}
}

func (m *StateMachine) emit(e Event) {
	m.events = append(m.events, e)
}

func (m *StateMachine) count(reason api.Reason) {
	if m.counters != nil {
		m.counters.Inc(counterGroup, reason)
	}
}

// checkEpoch rejects entries of a holder that has been superseded, or whose
// epoch has not appeared in the log yet.
func (m *StateMachine) checkEpoch(epoch api.Epoch) *Rejection {
	if current := m.epochs.CellEpoch(); epoch == 0 || epoch != current {
		return &Rejection{Reason: api.ReasonStaleEpoch, Detail: "the cell shard has another epoch"}
	}
	return nil
}

func (m *StateMachine) jobShardOf(number uint32) *jobShard {
	return &m.jobShards[number%shardCount]
}

func (m *StateMachine) idShardOf(id api.JobID) *idShard {
	return &m.idShards[maphash.String(m.seed, string(id))%shardCount]
}

func (m *StateMachine) numberOf(id api.JobID) (uint32, bool) {
	s := m.idShardOf(id)
	s.mu.RLock()
	defer s.mu.RUnlock()
	n, ok := s.numbers[id]
	return n, ok
}

// withJob calls f with the job locked for writing and returns false if it is unknown.
func (m *StateMachine) withJob(number uint32, f func(*job)) bool {
	s := m.jobShardOf(number)
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[number]
	if j == nil {
		return false
	}
	f(j)
	return true
}

// readJob calls f with the job locked for reading and returns false if it is unknown.
func (m *StateMachine) readJob(id api.JobID, f func(*job)) bool {
	number, ok := m.numberOf(id)
	if !ok {
		return false
	}
	s := m.jobShardOf(number)
	s.mu.RLock()
	defer s.mu.RUnlock()
	j := s.jobs[number]
	if j == nil {
		return false
	}
	f(j)
	return true
}
