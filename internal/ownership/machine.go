package ownership

import (
	"sync"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
)

// StateMachine applies the entries of one data centre's stream to a Table. It
// implements journal.StateMachine.
type StateMachine struct {
	mu      sync.RWMutex
	table   *Table
	changed chan struct{}
}

var _ journal.StateMachine = (*StateMachine)(nil)

// NewStateMachine returns a state machine with an empty table.
func NewStateMachine() *StateMachine {
	return &StateMachine{table: NewTable(), changed: make(chan struct{}, 1)}
}

// Types implements journal.StateMachine.
func (m *StateMachine) Types() []journal.EntryType {
	return []journal.EntryType{TypeJoin, TypeAcknowledge, TypeLeave, TypeExpel, TypeClaim, TypeRelease, TypeChallenge}
}

// Apply implements journal.StateMachine. It returns one of the package's errors
// for a rejected entry.
func (m *StateMachine) Apply(_ journal.Position, e journal.Entry) error {
	action, err := decodeEntry(e)
	if err != nil {
		return err
	}
	m.mu.Lock()
	err = m.table.Apply(action)
	m.mu.Unlock()
	if err == nil {
		m.notify()
	}
	return err
}

// notify signals the controller that the table has changed.
func (m *StateMachine) notify() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// Changed returns a channel that receives a value after the table has changed.
func (m *StateMachine) Changed() <-chan struct{} { return m.changed }

// View calls read with the table. read must not keep or change it.
func (m *StateMachine) View(read func(*Table)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	read(m.table)
}

// Holder returns the hold of s according to the log.
func (m *StateMachine) Holder(s Shard) Hold {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.table.Holds[s]
}

// Roster returns the members sorted by node, and the table's version.
func (m *StateMachine) Roster() ([]Member, uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.table.Roster(), m.table.Version
}

// Member returns the member on node.
func (m *StateMachine) Member(node api.NodeID) (Member, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	member, ok := m.table.Members[node]
	return member, ok
}

// snapshot is the content of a snapshot.
type snapshot struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Members []Member
	Shards  []Shard
	Holds   []Hold // of Shards, in the same order
}

// Snapshot implements journal.StateMachine.
func (m *StateMachine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	img := snapshot{Version: m.table.Version, Members: m.table.Roster()}
	for _, s := range Shards() {
		if h, ok := m.table.Holds[s]; ok {
			img.Shards = append(img.Shards, s)
			img.Holds = append(img.Holds, h)
		}
	}
	return journal.Encode(img), nil
}

// Restore implements journal.StateMachine.
func (m *StateMachine) Restore(data []byte) error {
	var img snapshot
	if err := journal.Decode(data, &img); err != nil {
		return err
	}
	if len(img.Shards) != len(img.Holds) {
		return ErrMalformed
	}
	table := NewTable()
	table.Version = img.Version
	for _, member := range img.Members {
		table.Members[member.Process.Node] = member
	}
	table.sortMembers()
	for i, s := range img.Shards {
		table.Holds[s] = img.Holds[i]
	}
	m.mu.Lock()
	m.table = table
	m.mu.Unlock()
	m.notify()
	return nil
}
