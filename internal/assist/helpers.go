package assist

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Limits of the calls handed to machines.
const (
	// shortAtOnce is how many calls that aren't long a machine has under way
	// at least: one is answered while the next is on its way.
	shortAtOnce = 2
	// queueAhead is the expected time of calls under way up to which a machine
	// is given more, since the leader may be busy when one ends.
	queueAhead = 60 * time.Millisecond
	// attachedFor is how long an offer holds; machines repeat it every
	// second (node.attachEvery).
	attachedFor = 2500 * time.Millisecond
	// adviserSilence is the age of a machine's last sign of life above which calls
	// for advice at it are given up, and it gets none: a data centre that is cut off
	// would keep each call there for its whole timeout. The leader hears of a machine
	// at least every 0.2 s.
	adviserSilence = 700 * time.Millisecond
	// adviserLook is how often that is looked at.
	adviserLook = 100 * time.Millisecond
)

// Peers are the machines that make calls for the leader, itself included.
type Peers struct {
	self   api.NodeID
	caller Caller
	own    platform.Adviser

	mu       sync.Mutex
	machines map[api.NodeID]*helper
	heard    map[api.DataCentre]time.Time // when a machine there was last heard
	demand   demand
}

type helper struct {
	node    api.NodeID
	address string // empty: this machine
	centre  api.DataCentre
	fitness float64   // to lead, by its last offer
	whole   bool      // it keeps the content of all records
	seen    time.Time // last offer
	// distrusted is until when it is no relay of orders.
	distrusted time.Time
	long       int // calls under way
	short      int
	ahead      time.Duration // expected time of the short calls under way
}

// NewPeers returns the helpers of a leader, at first only itself.
func NewPeers(self api.NodeID, own platform.Adviser, caller Caller) *Peers {
	h := &Peers{self: self, caller: caller, own: own, machines: make(map[api.NodeID]*helper), heard: make(map[api.DataCentre]time.Time)}
	h.machines[self] = &helper{node: self}
	return h
}

// HandleAttachment takes in a machine's offer.
func (h *Peers) HandleAttachment(a Attachment, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.machines[a.Node]
	if m == nil {
		m = &helper{node: a.Node}
		h.machines[a.Node] = m
	}
	m.address = a.Address
	m.centre = a.DataCentre
	m.fitness = a.Fitness
	m.whole = a.HasContent
	h.note(m, now)
}

// note takes in a sign of life of a machine; h.mu is held.
func (h *Peers) note(m *helper, now time.Time) {
	m.seen = now
	h.heard[m.centre] = now
}

// SinceContactOutside returns how long ago a machine outside of a data centre was last heard, and
// whether one ever was.
func (h *Peers) SinceContactOutside(centre api.DataCentre, now time.Time) (silence time.Duration, ever bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var last time.Time
	for other, at := range h.heard {
		if other != centre && at.After(last) {
			last = at
		}
	}
	return now.Sub(last), !last.IsZero()
}

// RecordAnswer notes that a machine has answered the leader, which is as good as an
// offer, and whether it keeps the content of all records. It says nothing of the
// machine's fitness.
func (h *Peers) RecordAnswer(node api.NodeID, whole bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if m := h.machines[node]; m != nil {
		h.note(m, now)
		m.whole = whole
	}
}

// MaxFitness returns the highest fitness to lead among the other machines whose
// offer holds and that keep the content of all records; 0: none is known.
func (h *Peers) MaxFitness(now time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	highest := 0.0
	for _, m := range h.present(now) {
		if m.address != "" && m.whole {
			highest = max(highest, m.fitness)
		}
	}
	return highest
}

// Successor returns the machine that should follow this one as leader: the fittest that
// keeps the content of all records and gives signs of life; an empty address: there is none.
func (h *Peers) Successor(now time.Time) Attachment {
	h.mu.Lock()
	defer h.mu.Unlock()
	var best Attachment
	for _, m := range h.answering(now) {
		if m.address != "" && m.whole && m.fitness > best.Fitness {
			best = Attachment{Node: m.node, Address: m.address, DataCentre: m.centre, Fitness: m.fitness, HasContent: true}
		}
	}
	return best
}

// AddKnown takes in machines that the leader delivers to. When this machine comes
// to lead, it delivers to them until they are silent.
func (h *Peers) AddKnown(machines []Attachment) {
	now := time.Now()
	for _, m := range machines {
		if m.Node != h.self {
			h.HandleAttachment(m, now)
		}
	}
}

// Others returns the machines whose offer holds, but for this one.
func (h *Peers) Others(now time.Time) []Attachment {
	h.mu.Lock()
	defer h.mu.Unlock()
	var others []Attachment
	for _, m := range h.present(now) {
		if m.address != "" {
			others = append(others, Attachment{Node: m.node, Address: m.address, DataCentre: m.centre, Fitness: m.fitness, HasContent: m.whole})
		}
	}
	return others
}

// Slot is the right to hand one call to one machine.
type Slot struct {
	helper *helper
	long   bool
	cost   time.Duration
}

// Take returns a slot for a call, or nil if none is free.
// Calls of unlike length go to unlike machines, so that a short one never
// waits behind a long one; the machines are divided by what the calls of each
// length take in all.
func (h *Peers) Take(call queue.CallTime, now time.Time) *Slot {
	h.mu.Lock()
	defer h.mu.Unlock()
	of := lengthOf(call)
	m := h.find(of, now)
	if m == nil {
		return nil
	}
	h.demand.add(of, call.Total)
	return m.take(of, call.Total)
}

// Free reports whether Take would return a slot.
func (h *Peers) Free(call queue.CallTime, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.find(lengthOf(call), now) != nil
}

// find returns a machine that has time for a call, or nil.
func (h *Peers) find(of length, now time.Time) *helper {
	h.demand.note(of, now)
	machines := h.answering(now)
	ranges := h.demand.divide(len(machines))
	for try := of; try < lengths; try++ {
		if m := idlest(machines[ranges[try].from:ranges[try].to], of); m != nil {
			return m
		}
		if of != shortest {
			break // only the shortest calls may slip in among the longer ones
		}
	}
	return nil
}

// idlest returns the machine that could make one more call soonest, or nil if none
// has time. The first that has time would get a second call while others have none.
func idlest(machines []*helper, of length) *helper {
	var best *helper
	for _, m := range machines {
		if m.hasTime(of) && (best == nil || m.ahead < best.ahead) {
			best = m
		}
	}
	return best
}

// hasTime reports whether the machine could make one more call.
func (m *helper) hasTime(of length) bool {
	if of == long {
		return m.long == 0
	}
	return m.long == 0 && (m.short < shortAtOnce || m.ahead < queueAhead)
}

// EstimateWait returns how long a new call would wait for its turn, given those that wait
// already.
func (h *Peers) EstimateWait(call queue.CallTime, waiting []queue.CallTime, now time.Time) time.Duration {
	if call.Total == 0 {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	of := lengthOf(call)
	present := len(h.present(now))
	part := h.demand.divide(present)[of]
	machines := part.to - part.from
	if machines == 0 { // none was asked for yet: any may make these calls
		machines = max(1, present)
	}
	total := time.Duration(0)
	for _, w := range waiting {
		if lengthOf(w) == of {
			total += w.Total
		}
	}
	return total / time.Duration(machines)
}

// take counts one more call of the machine.
func (m *helper) take(of length, cost time.Duration) *Slot {
	if of == long {
		m.long++
		return &Slot{helper: m, long: true}
	}
	m.short++
	m.ahead += cost
	return &Slot{helper: m, cost: cost}
}

// present returns the machines whose offer holds, in a fixed order but with
// this machine last: it has most to do.
func (h *Peers) present(now time.Time) []*helper {
	var machines []*helper
	for node, m := range h.machines {
		if m.address != "" && now.Sub(m.seen) > attachedFor {
			if m.long == 0 && m.short == 0 {
				delete(h.machines, node)
			}
			continue
		}
		machines = append(machines, m)
	}
	sort.Slice(machines, func(a, b int) bool {
		own, other := machines[a].address == "", machines[b].address == ""
		if own != other {
			return other
		}
		return machines[a].node < machines[b].node
	})
	return machines
}

// answering returns the machines present that have lately given a sign of life, in
// the same order.
func (h *Peers) answering(now time.Time) []*helper {
	return slices.DeleteFunc(h.present(now), func(m *helper) bool { return m.silent(now) })
}

// silent reports whether nothing was heard of another machine for a while.
func (m *helper) silent(now time.Time) bool {
	return m.address != "" && now.Sub(m.seen) > adviserSilence
}

// Advise makes the slot's call and gives the slot back. It fails early when the machine
// that makes the call falls silent: another can be asked.
func (h *Peers) Advise(ctx context.Context, s *Slot, step work.StepKey, executors []string) ([]platform.Grant, time.Duration, error) {
	defer h.giveBack(s)
	if s.helper.address == "" {
		return h.own.Advise(ctx, step, executors)
	}
	ctx, cancel := h.whileAnswering(ctx, s.helper)
	defer cancel()
	var answer AdviceAnswer
	err := h.caller.Call(ctx, s.helper.address, methodAdvise, &AdviceRequest{Step: step, Executors: executors}, &answer)
	return answer.Grants, answer.ValidFor, err
}

// whileAnswering returns a context that ends with ctx or when the machine falls silent.
func (h *Peers) whileAnswering(ctx context.Context, m *helper) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	var look func()
	look = func() {
		h.mu.Lock()
		silent := m.silent(time.Now())
		h.mu.Unlock()
		switch {
		case ctx.Err() != nil:
		case silent:
			cancel()
		default:
			time.AfterFunc(adviserLook, look)
		}
	}
	time.AfterFunc(adviserLook, look)
	return ctx, cancel
}

func (h *Peers) giveBack(s *Slot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.long {
		s.helper.long--
		return
	}
	s.helper.short--
	s.helper.ahead -= s.cost
}
