package assist

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Limits of the advice calls that machines make.
const (
	// minConcurrentShortCalls is how many calls that are not long a machine may always have
	// in flight: one is answered while the next is on its way.
	minConcurrentShortCalls = 2
	// maxQueuedTime is the expected time of the calls in flight up to which a machine gets
	// further calls, because the leader may be busy when one ends.
	maxQueuedTime = 60 * time.Millisecond
	// attachmentTTL is how long an attachment is valid; machines repeat it every second
	// (node.attachInterval).
	attachmentTTL = 2500 * time.Millisecond
	// adviserSilenceLimit is how long a machine may be silent before advice calls through it are
	// abandoned and it gets no further ones. Otherwise a data centre that is cut off would
	// delay each call there by its whole timeout. The leader hears from each machine at
	// least every 0.2 s.
	adviserSilenceLimit = 700 * time.Millisecond
	// adviserCheckInterval is the time between two checks of adviserSilenceLimit.
	adviserCheckInterval = 100 * time.Millisecond
)

// Peers tracks the machines that make advice calls for the leader, including the leader itself.
type Peers struct {
	self         api.NodeID
	caller       Caller
	localAdviser platform.Adviser

	mu        sync.Mutex
	machines  map[api.NodeID]*machine
	ordered   []*machine                   // the machines by node, this one last, because the leader has the most other work
	lastHeard map[api.DataCentre]time.Time // when a machine of the data centre was last heard from
	demand    demand
}

// machine is what the leader knows about one machine of the cell.
type machine struct {
	node       api.NodeID
	address    string // empty for this machine
	dataCentre api.DataCentre
	fitness    float64   // according to its last attachment
	hasContent bool      // it keeps the content of all records
	lastSeen   time.Time // last sign of life
	// relaySuspendedUntil is the time until which the machine must not relay orders.
	relaySuspendedUntil time.Time
	longCalls           int           // long calls in flight
	shorterCalls        int           // other calls in flight
	queuedTime          time.Duration // expected time of the other calls in flight
	servedStates        []time.Time   // when machines were sent to it for the states of jobs, oldest first
}

// NewPeers returns the peers of a leader, at first only the leader itself.
func NewPeers(self api.NodeID, localAdviser platform.Adviser, caller Caller) *Peers {
	p := &Peers{self: self, caller: caller, localAdviser: localAdviser, machines: make(map[api.NodeID]*machine), lastHeard: make(map[api.DataCentre]time.Time)}
	p.add(&machine{node: self})
	return p
}

// add adds a machine that isn't known yet. The caller holds p.mu.
func (p *Peers) add(m *machine) {
	p.machines[m.node] = m
	at, _ := slices.BinarySearchFunc(p.ordered, m, p.compareMachines)
	p.ordered = slices.Insert(p.ordered, at, m)
}

// compareMachines orders machines as in Peers.ordered.
func (p *Peers) compareMachines(a, b *machine) int {
	if ownA, ownB := a.node == p.self, b.node == p.self; ownA != ownB {
		if ownA {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.node, b.node)
}

// HandleAttachment adds or updates the attached machine.
func (p *Peers) HandleAttachment(a Attachment, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.machines[a.Node]
	if m == nil {
		m = &machine{node: a.Node}
		p.add(m)
	}
	m.address = a.Address
	m.dataCentre = a.DataCentre
	m.fitness = a.Fitness
	m.hasContent = a.HasContent
	p.recordContact(m, now)
}

// recordContact records a sign of life of a machine. The caller holds p.mu.
func (p *Peers) recordContact(m *machine, now time.Time) {
	m.lastSeen = now
	p.lastHeard[m.dataCentre] = now
}

// SinceContactOutside returns the time since a machine outside a data centre was last heard from,
// and whether one ever was.
func (p *Peers) SinceContactOutside(dataCentre api.DataCentre, now time.Time) (sinceContact time.Duration, ever bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var last time.Time
	for other, at := range p.lastHeard {
		if other != dataCentre && at.After(last) {
			last = at
		}
	}
	return now.Sub(last), !last.IsZero()
}

// RecordAnswer records that a machine has answered the leader, which extends its attachment, and
// whether it keeps the content of all records. The machine's fitness is unchanged.
func (p *Peers) RecordAnswer(node api.NodeID, hasContent bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.machines[node]; m != nil {
		p.recordContact(m, now)
		m.hasContent = hasContent
	}
}

// MaxFitness returns the highest fitness among the other attached machines that keep the content
// of all records, or 0 if there are none.
func (p *Peers) MaxFitness(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	highest := 0.0
	for _, m := range p.attached(now) {
		if m.address != "" && m.hasContent {
			highest = max(highest, m.fitness)
		}
	}
	return highest
}

// Successor returns the machine that should succeed this one as leader: the fittest responsive one
// that keeps the content of all records. Its address is empty if there is none.
func (p *Peers) Successor(now time.Time) Attachment {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best Attachment
	for _, m := range p.responsive(now) {
		if m.address != "" && m.hasContent && m.fitness > best.Fitness {
			best = Attachment{Node: m.node, Address: m.address, DataCentre: m.dataCentre, Fitness: m.fitness, HasContent: true}
		}
	}
	return best
}

// AddKnown adds the machines that the leader delivers to. If this machine becomes leader, it
// delivers to them as long as they respond.
func (p *Peers) AddKnown(machines []Attachment) {
	now := time.Now()
	for _, m := range machines {
		if m.Node != p.self {
			p.HandleAttachment(m, now)
		}
	}
}

// Others returns the attached machines other than this one.
func (p *Peers) Others(now time.Time) []Attachment {
	p.mu.Lock()
	defer p.mu.Unlock()
	var others []Attachment
	for _, m := range p.attached(now) {
		if m.address != "" {
			others = append(others, Attachment{Node: m.node, Address: m.address, DataCentre: m.dataCentre, Fitness: m.fitness, HasContent: m.hasContent})
		}
	}
	return others
}

// Take returns a slot for a call, or nil if none is free. Calls of different classes go to different
// machines, so that a short call never waits for a long one; the machines are divided by the total
// duration of the calls of each class.
func (p *Peers) Take(call queue.CallTime, now time.Time) *Slot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.takeFrom(p.responsive(now), call, now)
}

// takeFrom is Take among the given responsive machines. The caller holds p.mu.
func (p *Peers) takeFrom(machines []*machine, call queue.CallTime, now time.Time) *Slot {
	class := classOf(call)
	m := p.findFree(machines, class, now)
	if m == nil {
		return nil
	}
	p.demand.addCost(class, call.Total)
	return m.reserve(class, call.Total)
}

// Free reports whether Take would return a slot.
func (p *Peers) Free(call queue.CallTime, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.findFree(p.responsive(now), classOf(call), now) != nil
}

// findFree returns the least loaded of the machines that can make a call of the class, or nil. The
// caller holds p.mu.
func (p *Peers) findFree(machines []*machine, class callClass, now time.Time) *machine {
	p.demand.recordRequest(class, now)
	ranges := p.demand.assignRanges(len(machines))
	for try := class; try < numCallClasses; try++ {
		if m := leastLoaded(machines[ranges[try].from:ranges[try].to], class); m != nil {
			return m
		}
		if class != shortCalls {
			break // only short calls may use machines of longer classes
		}
	}
	return nil
}

// leastLoaded returns the machine that could make one more call soonest, or nil if none has
// capacity. Choosing the first one with capacity would give it a second call while others have none.
func leastLoaded(machines []*machine, class callClass) *machine {
	var best *machine
	for _, m := range machines {
		if m.hasCapacity(class) && (best == nil || m.queuedTime < best.queuedTime) {
			best = m
		}
	}
	return best
}

// hasCapacity reports whether the machine could make one more call of the class.
func (m *machine) hasCapacity(class callClass) bool {
	if class == longCalls {
		return m.longCalls == 0
	}
	return m.longCalls == 0 && (m.shorterCalls < minConcurrentShortCalls || m.queuedTime < maxQueuedTime)
}

// isAttached reports whether the machine's attachment is valid.
func (m *machine) isAttached(now time.Time) bool {
	return m.address == "" || now.Sub(m.lastSeen) <= attachmentTTL
}

// attached returns the machines with a valid attachment, in the order of Peers.ordered, and forgets
// those whose attachment has expired and that have no call in flight. The caller holds p.mu.
func (p *Peers) attached(now time.Time) []*machine {
	machines := make([]*machine, 0, len(p.ordered))
	expired := false
	for _, m := range p.ordered {
		if m.isAttached(now) {
			machines = append(machines, m)
		} else {
			expired = true
		}
	}
	if expired {
		p.forgetExpired(now)
	}
	return machines
}

// countAttached returns the number of machines with a valid attachment. The caller holds p.mu.
func (p *Peers) countAttached(now time.Time) int {
	n := 0
	for _, m := range p.ordered {
		if m.isAttached(now) {
			n++
		}
	}
	return n
}

// forgetExpired removes the machines whose attachment has expired and that have no call in flight. The
// caller holds p.mu.
func (p *Peers) forgetExpired(now time.Time) {
	p.ordered = slices.DeleteFunc(p.ordered, func(m *machine) bool {
		if m.isAttached(now) || m.longCalls > 0 || m.shorterCalls > 0 {
			return false
		}
		delete(p.machines, m.node)
		return true
	})
}

// responsive returns the attached machines that have recently been heard from, in the same order.
func (p *Peers) responsive(now time.Time) []*machine {
	return slices.DeleteFunc(p.attached(now), func(m *machine) bool { return m.unresponsive(now) })
}

// unresponsive reports whether another machine has not been heard from for a while.
func (m *machine) unresponsive(now time.Time) bool {
	return m.address != "" && now.Sub(m.lastSeen) > adviserSilenceLimit
}

// Advise makes the slot's call and releases the slot. It fails early if the machine that makes the
// call becomes unresponsive, so that another can be called.
func (p *Peers) Advise(ctx context.Context, s *Slot, step work.StepKey, executors []string) ([]platform.Grant, time.Duration, error) {
	defer p.release(s)
	if s.address == "" {
		return p.localAdviser.Advise(ctx, step, executors)
	}
	ctx, cancel := p.contextWhileResponsive(ctx, s.machine)
	defer cancel()
	var answer AdviceAnswer
	err := p.caller.Call(ctx, s.address, methodAdvise, &AdviceRequest{Step: step, Executors: executors}, &answer)
	return answer.Grants, answer.ValidFor, err
}

// contextWhileResponsive returns a context that ends with ctx or when the machine becomes unresponsive.
func (p *Peers) contextWhileResponsive(ctx context.Context, m *machine) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	var check func()
	check = func() {
		p.mu.Lock()
		unresponsive := m.unresponsive(time.Now())
		p.mu.Unlock()
		switch {
		case ctx.Err() != nil:
		case unresponsive:
			cancel()
		default:
			time.AfterFunc(adviserCheckInterval, check)
		}
	}
	time.AfterFunc(adviserCheckInterval, check)
	return ctx, cancel
}
