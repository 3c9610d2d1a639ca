package assist

import (
	"time"

	"github.com/skylarklock/skylarklock/internal/queue"
)

// Slot is the right to make one advice call through one machine.
type Slot struct {
	machine *machine
	address string // of the machine; empty for this one
	long    bool
	cost    time.Duration
}

// Address returns the address of the slot's machine. It is empty for this machine.
func (s *Slot) Address() string { return s.address }

// reserve counts one more call in flight at the machine.
func (m *machine) reserve(class callClass, cost time.Duration) *Slot {
	if class == longCalls {
		m.longCalls++
		return &Slot{machine: m, address: m.address, long: true}
	}
	m.shorterCalls++
	m.queuedTime += cost
	return &Slot{machine: m, address: m.address, cost: cost}
}

// EstimateWait returns how long a new call would wait for a machine, given the calls that are
// already waiting. The machines are divided among the classes as they will be once these calls are
// made: the recent demand of a new leader, or before a wave, says little about that.
func (p *Peers) EstimateWait(call queue.CallTime, waiting []queue.CallTime, now time.Time) time.Duration {
	if call.Total == 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	class := classOf(call)
	expected := p.demand
	expected.recordRequest(class, now)
	expected.waiting = [numCallClasses]float64{} // these calls are among the waiting ones
	total := time.Duration(0)
	for _, w := range waiting {
		if w.Total == 0 {
			continue
		}
		expected.recordRequest(classOf(w), now)
		expected.addCost(classOf(w), w.Total)
		if classOf(w) == class {
			total += w.Total
		}
	}
	attached := p.countAttached(now)
	part := expected.assignRanges(attached)[class]
	return total / time.Duration(max(1, part.to-part.from))
}

// release frees the slot.
func (p *Peers) release(s *Slot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.long {
		s.machine.longCalls--
		return
	}
	s.machine.shorterCalls--
	s.machine.queuedTime -= s.cost
}
