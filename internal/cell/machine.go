package cell

import (
	"hash/maphash"
	"sync"
	"sync/atomic"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/ledger"
)

// EpochSource tells the epoch of the cell shard as of the entries applied so
// far. It is fed by the same stream, in the same order, as the machine.
type EpochSource interface {
	CellEpoch() api.Epoch
}

const (
	shardCount = 64
	// Bounds on ended jobs kept for explanations.
	maxEndedJobs  = 2048
	maxEndedTasks = 200_000
)

// shard holds part of the jobs under its own lock.
type shard struct {
	mu   sync.RWMutex
	jobs map[uint32]*job // by number
}

// nameShard holds part of the numbers of jobs by ID.
type nameShard struct {
	mu      sync.RWMutex
	numbers map[api.JobID]uint32
}

// vmRow is a VM that was observed.
type vmRow struct {
	id       api.VMID
	rack     string
	capacity api.Resources
	gone     bool
}

// vmTable holds the VMs and their ledger under one lock: a start changes
// both together.
type vmTable struct {
	mu      sync.RWMutex
	rows    []*vmRow // by number; nil once forgotten
	numbers map[api.VMID]uint32
	ledger  ledger.Ledger
}

// StateMachine is the journal.StateMachine of jobs and tasks.
type StateMachine struct {
	epochs   EpochSource
	counters Counters

	// applying is held through every Apply and Restore, with the calls of
	// the subscribers, so that View sees the state between two entries.
	applying    sync.Mutex
	subscribers []func([]Event)
	pos         journal.Position
	events      []Event  // of the entry being applied
	nextJob     uint32   // number of the next job
	ended       []uint32 // ended jobs, oldest first
	endedTasks  int
	moves       uint32                    // given out so far
	published   atomic.Uint64             // api.Revision of the latest published job taken
	movedOut    []uint32                  // jobs moved and not confirmed, in order
	movedIn     map[api.DataCentre]uint32 // latest move taken from each

	seed   maphash.Seed
	names  [shardCount]nameShard
	shards [shardCount]shard
	vms    vmTable

	historyMu sync.Mutex
	history   history
	waits     waitBoard
}

// New returns an empty machine. counters may be nil.
func New(epochs EpochSource, counters Counters) *StateMachine {
	m := &StateMachine{epochs: epochs, counters: counters, seed: maphash.MakeSeed()}
	m.reset()
	return m
}

func (m *StateMachine) reset() {
	for i := range m.shards {
		m.shards[i].jobs = make(map[uint32]*job)
		m.names[i].numbers = make(map[api.JobID]uint32)
	}
	m.vms.rows = nil
	m.vms.numbers = make(map[api.VMID]uint32)
	m.vms.ledger = ledger.Ledger{}
	m.nextJob = 0
	m.ended = nil
	m.endedTasks = 0
	m.published.Store(0)
	m.moves = 0
	m.movedOut = nil
	m.movedIn = make(map[api.DataCentre]uint32)
}

// Subscribe registers f for the events of every entry from now on. It is
// called in apply order, from the applying goroutine, and must return soon;
// it may read the machine but not call View.
func (m *StateMachine) Subscribe(f func([]Event)) {
	m.applying.Lock()
	defer m.applying.Unlock()
	m.subscribers = append(m.subscribers, f)
}

// View calls f while no entry is being applied.
func (m *StateMachine) View(f func()) {
	m.applying.Lock()
	defer m.applying.Unlock()
	f()
}

// Types implements journal.StateMachine.
func (m *StateMachine) Types() []journal.EntryType {
	return []journal.EntryType{TypeSubmit, TypeCancel, TypeVMUpdate, TypeStart, TypeReport, TypeStop, TypeReplace, TypeMoveJobs, TypeConfirmMoves, TypePublishedJobs}
}

// Apply implements journal.StateMachine. Its errors are of type *Rejection. A
// batch of which anything was accepted returns nil; the events tell of each.
func (m *StateMachine) Apply(pos journal.Position, e journal.Entry) error {
	m.applying.Lock()
	defer m.applying.Unlock()
	m.pos = pos
	m.events = m.events[:0]
	err := m.dispatch(e)
	if err != nil {
		m.count(err.Reason)
	}
	m.publish()
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
		return decoded(e, m.applyVMs)
	case TypeStart:
		return decoded(e, m.applyStarts)
	case TypeReport:
		return decoded(e, m.applyReports)
	case TypeStop:
		return decoded(e, m.applyStops)
	case TypeReplace:
		return decoded(e, m.applyReplace)
	case TypeMoveJobs:
		return decoded(e, m.applyMove)
	case TypeConfirmMoves:
		return decoded(e, m.applyMoved)
	case TypePublishedJobs:
		return decoded(e, m.applyPublished)
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

// publish keeps what is noteworthy and calls the subscribers.
func (m *StateMachine) publish() {
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

// checkEpoch rejects entries of a holder that has been superseded, or that
// the log does not know yet.
func (m *StateMachine) checkEpoch(epoch api.Epoch) *Rejection {
	if current := m.epochs.CellEpoch(); epoch == 0 || epoch != current {
		return &Rejection{Reason: api.ReasonStaleEpoch, Detail: "the cell shard has another epoch"}
	}
	return nil
}

func (m *StateMachine) shardOf(number uint32) *shard {
	return &m.shards[number%shardCount]
}

func (m *StateMachine) nameShardOf(id api.JobID) *nameShard {
	return &m.names[maphash.String(m.seed, string(id))%shardCount]
}

func (m *StateMachine) numberOf(id api.JobID) (uint32, bool) {
	s := m.nameShardOf(id)
	s.mu.RLock()
	defer s.mu.RUnlock()
	n, ok := s.numbers[id]
	return n, ok
}

// withJob calls f with the job locked for writing, if it is known.
func (m *StateMachine) withJob(number uint32, f func(*job)) bool {
	s := m.shardOf(number)
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[number]
	if j == nil {
		return false
	}
	f(j)
	return true
}

// readJob calls f with the job locked for reading, if it is known.
func (m *StateMachine) readJob(id api.JobID, f func(*job)) bool {
	number, ok := m.numberOf(id)
	if !ok {
		return false
	}
	s := m.shardOf(number)
	s.mu.RLock()
	defer s.mu.RUnlock()
	j := s.jobs[number]
	if j == nil {
		return false
	}
	f(j)
	return true
}
