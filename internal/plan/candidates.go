package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
)

// Bounds of how many executors a call for advice names.
const (
	// namingShare is the part of a call's fixed time that naming executors
	// may take before it matters how many are named.
	namingShare = 0.5
	// roomMargin is how many times the room that a step needs the executors
	// named should hold, by the share granted so far: others take some of it
	// while the call is under way.
	roomMargin = 1.5
	// firstShare is the share granted that is expected of a queue that was not asked
	// about yet. Too small a share makes the first calls a little too long, too large
	// a one useless.
	firstShare = 0.3
	// grantedWeight is the weight of a new call in the moving mean of shares.
	grantedWeight = 0.1
)

// candidate is an executor that a call for advice could name.
type candidate struct {
	vm    *vm
	slots int     // tasks of the step that should fit when the answer is there
	left  float64 // room beside one task, as place.go scores it
}

// candidates are the executors on which a step may run, with their expected
// room.
type candidates struct {
	valid  []candidate // with a ticket that holds
	lapsed []candidate // with a ticket that has lapsed
	fresh  []candidate // of which it isn't known whether it may
}

// outlook is how executors stand in one pass over the steps that wait: hundreds of
// steps look at hundreds of executors, 25 times a second.
type outlook struct {
	cell *Cell
	now  time.Time
	vms  []*vm                         // that may be given work
	room map[time.Time][]api.Resources // of these at a time, in the same order
	give map[int][]api.Resources       // of runs that would yield, by the priority of the queue
}

// roomSteps is the accuracy with which room is foreseen: run times are estimates.
const roomSteps = 50 * time.Millisecond

// outlook returns how executors stand now.
func (c *Cell) outlook(now time.Time) *outlook {
	o := &outlook{cell: c, now: now, room: make(map[time.Time][]api.Resources), give: make(map[int][]api.Resources)}
	for _, v := range c.sorted {
		if c.serves(v) && v.usable(now, &c.cfg) {
			o.vms = append(o.vms, v)
		}
	}
	return o
}

// roomAt returns the room that is expected on each executor at a time, what is
// promised to steps included.
func (o *outlook) roomAt(at time.Time) []api.Resources {
	at = at.Round(0).Truncate(roomSteps)
	room, known := o.room[at]
	if !known {
		room = make([]api.Resources, len(o.vms))
		for i, v := range o.vms {
			room[i] = v.roomAt(at, o.now)
		}
		o.room[at] = room
	}
	return room
}

// yieldable returns the room on each executor of runs that would yield to a gang of the
// queue.
func (o *outlook) yieldable(q *queue.Queue) []api.Resources {
	room, known := o.give[q.Priority]
	if !known {
		room = make([]api.Resources, len(o.vms))
		for i, v := range o.vms {
			room[i] = o.cell.yieldable(v, q, o.now)
		}
		o.give[q.Priority] = room
	}
	return room
}

// candidates returns the executors on which the step may run.
func (o *outlook) candidates(s *step, q *queue.Queue, at time.Time) candidates {
	var out candidates
	room := o.roomAt(at)
	first := len(s.advice.tickets) == 0
	var yields []api.Resources
	if s.spec.Gang && s.stands == inTime {
		yields = o.yieldable(q)
	}
	for i, v := range o.vms {
		if v.closedTo(s, o.now) || v.Service != q.Service || (s.spec.Label != "" && !v.HasLabel(s.spec.Label)) {
			continue
		}
		there := room[i].Sub(v.promised).Sub(v.kept)
		if yields != nil {
			there = there.Add(yields[i])
		}
		one := candidate{vm: v, slots: v.slotsIn(s, there)}
		if one.slots == 0 && !first {
			continue // what is known of it is of no use now
		}
		if _, denied := s.advice.denied[v]; denied {
			continue
		}
		switch ticket, ok := s.advice.tickets[v]; {
		case !ok:
			out.fresh = append(out.fresh, one)
		case at.Before(ticket.until):
			out.valid = append(out.valid, one)
		default:
			out.lapsed = append(out.lapsed, one)
		}
	}
	return out
}

// choose returns those of the candidates that a call should name so that a
// number of tasks finds room: at least as many as cost little, at most limit.
// A gang looks for the most room in few places, other work for places that it
// fills, as it is placed.
func (c *Cell) choose(from []candidate, s *step, q *queue.Queue, tasks, limit int) []candidate {
	for i := range from {
		from[i].left = c.score(s, from[i].vm, from[i].vm.free().Sub(s.spec.Need))
	}
	slices.SortStableFunc(from, func(x, y candidate) int {
		switch {
		case s.spec.Gang && x.slots != y.slots:
			return y.slots - x.slots
		case (x.slots > 0) != (y.slots > 0):
			return y.slots - x.slots
		default:
			return cmp.Compare(x.left, y.left)
		}
	})
	least := cheapToName(q.Advice)
	wanted := roomMargin * float64(tasks) / (c.shareOf(q) * c.keptOf(q))
	room := 0
	for i, one := range from {
		if i >= limit || (i >= least && float64(room) >= wanted) || (i >= c.cfg.MaxExecutorsPerCall && one.slots == 0) {
			return from[:i]
		}
		room += one.slots
	}
	return from
}

// cheapToName returns how many executors a call may name at little cost.
func cheapToName(a *queue.Advice) int {
	if a.PerVM <= 0 {
		return 1 << 20
	}
	return max(1, int(namingShare*float64(a.Decision)/float64(a.PerVM)))
}

// roomOf returns how many tasks should fit on the candidates.
func roomOf(from []candidate) int {
	room := 0
	for _, one := range from {
		room += one.slots
	}
	return room
}

// withRoom returns up to limit of the candidates, those with most room first.
func withRoom(from []candidate, limit int) []candidate {
	slices.SortStableFunc(from, func(x, y candidate) int { return y.slots - x.slots })
	return from[:min(len(from), limit)]
}

func idsOf(from []candidate) []string {
	ids := make([]string, len(from))
	for i, one := range from {
		ids[i] = one.vm.Ref.ID
	}
	return ids
}

// shareOf returns the share of the executors named that a queue's steps may
// run on, by what was granted so far.
func (c *Cell) shareOf(q *queue.Queue) float64 {
	if share, ok := c.granted[q.Name]; ok {
		return max(share, leastShare)
	}
	return firstShare
}

// keptOf returns which part of the room that a queue's calls count on is still there
// when they are answered.
func (c *Cell) keptOf(q *queue.Queue) float64 {
	if part, ok := c.kept[q.Name]; ok {
		return max(part, leastKept)
	}
	return 1
}

// leastKept bounds what crowded moments do to that.
const leastKept = 0.25

// learnKept takes in how much of the room that was counted on the executors granted to a
// gang have. What others have taken meanwhile has a gang ask again, for the whole time
// that it has.
func (c *Cell) learnKept(s *step, q *queue.Queue, grants []platform.Grant, now time.Time) {
	if q == nil || !s.spec.Gang || len(grants) == 0 || s.advice.expected == 0 {
		return
	}
	slots := 0
	for _, g := range grants {
		if v := c.vms[g.Executor]; v != nil && c.suits(s, q, v, now) {
			slots += v.slotsIn(s, v.freeFor(s).Add(c.yieldable(v, q, now)))
		}
	}
	part := min(1, float64(slots)/(float64(len(grants))*s.advice.expected))
	old, ok := c.kept[q.Name]
	if !ok {
		old = 1
	}
	c.kept[q.Name] = old + grantedWeight*(part-old)
}

// leastShare bounds what a run of refusals does to the expected share.
const leastShare = 0.05

// learnShare takes in which share of the executors named was granted.
func (c *Cell) learnShare(q *queue.Queue, asked, granted int) {
	if q == nil || asked == 0 {
		return
	}
	share := float64(granted) / float64(asked)
	old, ok := c.granted[q.Name]
	if !ok {
		old = firstShare
	}
	c.granted[q.Name] = old + grantedWeight*(share-old)
}
