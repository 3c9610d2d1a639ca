package plan

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/fleet"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Timing of a play, which is that of a leader's loops (package dispatch).
const (
	playStep        = 10 * time.Millisecond
	playCycle       = 100 * time.Millisecond // longest time between two cycles
	playHoldWait    = time.Second            // a report waits that long for an end
	playHoldTimeout = 700 * time.Millisecond // for a report, beside its wait
	playHoldRetry   = 200 * time.Millisecond
	playCallTimeout = 250 * time.Millisecond // of a start or stop
	playMaxHold     = 10 * time.Second       // longest lease that an executor takes
)

// fate is what becomes of an order.
type fate struct {
	lost    bool          // it isn't carried out, and has no answer
	refused bool          // the executor is unhealthy and does nothing
	late    time.Duration // it is carried out that much later, and has no answer
	slow    time.Duration // it is carried out and answered that much later
}

// playedExecutor carries out orders. Unless it is strict it judges a late start
// by the lease of the whole executor, so that an order which came without an
// answer may still be carried out long after its own end.
type playedExecutor struct {
	born      int64 // 0: it doesn't tell
	running   map[platform.Run]bool
	ended     []platform.EndedRun
	forgotten uint64 // ends up to here were acknowledged
	highest   map[work.TaskKey]uint32
	lease     platform.ExecutorClock
	token     uint64
	started   int  // runs that have come to be at work
	barred    int  // starts refused since the run was stopped before
	mute      int  // so many of the next holds have no answer and no effect
	cut       bool // no call gets through in either direction
	tickets   bool // it checks tickets
	strict    bool // an order is void after its own end
	clock     func() platform.ExecutorClock
	lapsed    platform.ExecutorClock // when its lease was last over
	listed    []*listedEnd
}

// listedEnd is an end that an executor lists.
type listedEnd struct {
	platform.EndedRun
	clock   platform.ExecutorClock
	acked   bool // while the lease hadn't lapsed in between
	excused bool // the lease lapsed before it was acknowledged
}

// newPlayedExecutor returns an executor whose clock is at 0 where the play's is at origin.
func (p *play) newPlayedExecutor(origin platform.ExecutorClock) *playedExecutor {
	return &playedExecutor{
		running: make(map[platform.Run]bool),
		highest: make(map[work.TaskKey]uint32),
		clock:   func() platform.ExecutorClock { return p.clock - origin },
	}
}

func (e *playedExecutor) start(run platform.Run, lease platform.ExecutorClock) {
	if run.Number <= e.highest[run.Task] {
		e.barred++
		return
	}
	if e.strict && lease <= e.clock() {
		return
	}
	e.extend(lease)
	e.running[run] = true
	e.started++
}

// extend takes in the end of a lease.
func (e *playedExecutor) extend(lease platform.ExecutorClock) {
	e.lease = max(e.lease, min(lease, e.clock().Add(playMaxHold)))
}

func (e *playedExecutor) stop(run platform.Run, how platform.EndReason) {
	e.highest[run.Task] = max(e.highest[run.Task], run.Number)
	if !e.running[run] {
		return
	}
	delete(e.running, run)
	end := platform.EndedRun{Number: uint64(len(e.ended) + 1), Run: run, Reason: how}
	e.ended = append(e.ended, end)
	e.listed = append(e.listed, &listedEnd{EndedRun: end, clock: e.clock()})
}

// takesTicket reports whether a ticket, if there is one, is of this life.
func (e *playedExecutor) takesTicket(ticket string) bool {
	return ticket == "" || !e.tickets || ticket == fmt.Sprint(e.born)
}

// renew takes in what a hold brings.
func (e *playedExecutor) renew(lease platform.ExecutorClock, seen uint64) {
	e.extend(lease)
	e.forgotten = max(e.forgotten, min(seen, uint64(len(e.ended))))
	for _, end := range e.listed {
		switch {
		case end.acked || end.excused || end.Number > seen:
		case e.lapsed > end.clock:
			end.excused = true
		default:
			end.acked = true
		}
	}
}

// news reports whether there are ends that a hold would bring.
func (e *playedExecutor) news() bool { return uint64(len(e.ended)) > e.forgotten }

func (e *playedExecutor) report() platform.ExecutorReport {
	r := platform.ExecutorReport{StartTimeMs: e.born, Clock: e.clock()}
	for run := range e.running {
		r.Running = append(r.Running, platform.RunningTask{Run: run, ProgressPercent: 100})
	}
	for _, end := range e.ended {
		if end.Number > e.forgotten {
			r.Ended = append(r.Ended, end)
		}
	}
	return r
}

// call is a hold that is under way.
type call struct {
	asked time.Time // zero: none is, and the next is due at again
	again time.Time
	to    *playedExecutor // that it reached
	by    *playedExecutor // that has answered on the open connection; nil: none is open
	hold  Hold
	lost  bool
	wait  time.Duration
}

// event is something that happens at a time.
type event struct {
	at time.Time
	do func()
}

// play has a leader's loops run against executors, on the world's clock.
type play struct {
	*world
	executors map[string]*playedExecutor
	holds     map[string]*call
	events    []event
	cycleAt   time.Time
	stopFates []fate      // of the next stops; later ones are carried out and answered
	startFate fate        // of all starts
	loseStops bool        // no stop is carried out or answered
	drawFate  func() fate // of each start and hold; nil: startFate, and holds are carried out
	anyLife   bool        // starts that are carried out late are by whichever life is there then
	stops     int         // that were sent
	paused    bool        // nobody leads
	noStore   bool        // nothing becomes durable, and no lease is extended
}

func newPlay(t *testing.T, executors int) *play {
	p := &play{world: newWorld(t, executors), executors: make(map[string]*playedExecutor), holds: make(map[string]*call)}
	for id := range p.listed {
		p.executors[id] = p.newPlayedExecutor(0)
	}
	return p
}

// after has something happen at a time to come.
func (p *play) after(d time.Duration, do func()) {
	p.events = append(p.events, event{at: p.now.Add(d), do: do})
}

// lead has a new leader take over, with a higher token.
func (p *play) lead() {
	p.takeOver()
	p.holds = make(map[string]*call)
}

// cutOff keeps calls from an executor for a time.
func (p *play) cutOff(e *playedExecutor, d time.Duration) {
	e.cut = true
	p.after(d, func() { e.cut = false })
}

// replaceLeader has a new leader take over after a time in which nobody leads.
func (p *play) replaceLeader(d time.Duration) {
	if p.paused {
		return
	}
	p.paused = true
	p.after(d, func() {
		p.paused = false
		p.lead()
	})
}

// ids returns the executors that are there.
func (p *play) ids() []string { return slices.Sorted(maps.Keys(p.executors)) }

// twice returns a task that is at work on two executors, if any.
func (p *play) twice() string {
	at := make(map[work.TaskKey]string)
	for _, id := range p.ids() {
		for run := range p.executors[id].running {
			if other := at[run.Task]; other != "" {
				return fmt.Sprintf("task %v is at work on %s and %s", run.Task, other, id)
			}
			at[run.Task] = id
		}
	}
	return ""
}

// failStore keeps the store away for a time.
func (p *play) failStore(d time.Duration) {
	if p.noStore {
		return
	}
	p.noStore = true
	p.after(d, func() { p.noStore = false })
}

// cancel makes a cancel durable and tells the leader of it.
func (p *play) cancel(id work.ID) {
	p.cell.Cancel(id)
	p.cell.TakeDirtyRecords()
	p.saved[id] = &work.Progress{State: work.Cancelled}
}

// register has the registry list exactly these executors.
func (p *play) register(ids ...string) {
	listed := make(map[string]*fleet.Executor)
	for _, id := range ids {
		listed[id] = &fleet.Executor{Ref: platform.ExecutorRef{ID: id, Address: "10.0.0.1:" + id}, Service: testService, Capacity: cpus(32)}
	}
	p.listed = listed
	p.cell.UpdateExecutors(listed, p.now)
}

// atWork reports whether any run is at work anywhere.
func (p *play) atWork() bool {
	for _, e := range p.executors {
		if len(e.running) > 0 {
			return true
		}
	}
	return false
}

// until lets time go by until done holds, d at most, and returns how long that
// took.
func (p *play) until(d time.Duration, done func() bool) time.Duration {
	began := p.now
	for p.now.Sub(began) < d && !done() {
		p.step()
	}
	return p.now.Sub(began)
}

func (p *play) run(d time.Duration) { p.until(d, func() bool { return false }) }

func (p *play) step() {
	p.pass(playStep)
	events := p.events
	p.events = nil
	for _, e := range events {
		if p.now.Before(e.at) {
			p.events = append(p.events, e)
			continue
		}
		e.do()
	}
	for _, id := range slices.Sorted(maps.Keys(p.executors)) {
		e := p.executors[id]
		p.lapse(e)
		if h := p.holds[id]; h != nil && !p.paused {
			p.hold(id, e, h)
		}
	}
	p.holdCrashed()
	if !p.paused && !p.now.Before(p.cycleAt) {
		p.cycleAt = p.now.Add(playCycle)
		p.cycleOnce()
	}
}

func (p *play) lapse(e *playedExecutor) {
	if e.lease == 0 || e.clock() < e.lease {
		return
	}
	e.lapsed = e.clock()
	for run := range e.running {
		e.stop(run, platform.EndLeaseExpired)
	}
}

// hold plays the loop that renews the lease of one executor.
func (p *play) hold(id string, e *playedExecutor, h *call) {
	switch {
	case h.asked.IsZero():
		if !p.now.Before(h.again) {
			p.ask(id, e, h)
		}
	case e.cut || h.lost || h.to != e:
		p.awaitNoReport(h)
	case p.now.Sub(h.asked) >= h.wait || e.news():
		p.cell.HandleReport(h.hold, e.report(), h.asked, p.now)
		if !p.noStore {
			p.save()
			p.cell.MarkEndsDurable(h.hold, p.cell.AppliedEnds(h.hold))
		}
		*h = call{again: p.now, by: e}
	}
}

// awaitNoReport ends a hold whose answer hasn't come in time.
func (p *play) awaitNoReport(h *call) {
	if p.now.Sub(h.asked) >= h.wait+playHoldTimeout {
		p.cell.HandleNoReport(h.hold, p.now)
		*h = call{again: p.now.Add(playHoldRetry)}
	}
}

// carryOut has an order carried out by the executor that is there then, late ones as their
// fate says.
func (p *play) carryOut(there func() *playedExecutor, token uint64, f fate, do func(*playedExecutor)) {
	order := func() {
		if e := there(); e != nil && token >= e.token {
			e.token = token
			do(e)
		}
	}
	switch {
	case f.lost:
	case f.late+f.slow > 0:
		p.after(f.late+f.slow, order)
	default:
		order()
	}
}

func (p *play) ask(id string, e *playedExecutor, h *call) {
	hold, wanted := p.cell.NextHold(id, HoldTerms{Connected: h.by != nil, Renew: !p.noStore, Wait: playHoldWait})
	if !wanted {
		delete(p.holds, id)
		return
	}
	order := hold.Order
	if order.ReuseConnection && h.by != e {
		h.by = nil
		return
	}
	h.asked, h.to, h.hold, h.wait = p.now, e, hold, order.MaxWait
	if e.mute > 0 {
		e.mute--
		h.lost = true
		return
	}
	if e.cut {
		return
	}
	var f fate
	if p.drawFate != nil {
		f = p.drawFate()
	}
	h.lost = f != fate{} || order.FencingToken < e.token
	here := func() *playedExecutor { return e } // a connection ends with the life that has accepted it
	p.carryOut(here, order.FencingToken, f, func(e *playedExecutor) { e.renew(order.LeaseExpiry, order.Acknowledged) })
}

func (p *play) cycleOnce() {
	var orders []ConfirmedStart
	if !p.noStore {
		orders = p.cycle()
	}
	for _, s := range p.cell.TakeStops(p.now) {
		p.sendStop(s)
	}
	for _, ref := range p.cell.CallableExecutors() {
		if p.holds[ref.ID] == nil {
			p.holds[ref.ID] = &call{again: p.now}
		}
	}
	for _, o := range orders {
		p.sendStart(o)
	}
	p.checkClaims()
}

func (p *play) sendStart(o ConfirmedStart) {
	e, token, cell := p.executors[o.Start.To.ID], o.Order.FencingToken, p.cell
	if e == nil {
		cell.HandleStartAnswer(o.Start, p.answerOfCrashed(o.Start.To), p.now)
		return
	}
	f := p.startFate
	if p.drawFate != nil {
		f = p.drawFate()
	}
	if !e.cut || f.late > 0 {
		there := func() *playedExecutor {
			if p.anyLife {
				return p.executors[o.Start.To.ID]
			}
			return e
		}
		p.carryOut(there, token, f, func(e *playedExecutor) {
			if e.takesTicket(o.Order.Ticket) {
				e.start(o.Start.Run, o.Order.LeaseExpiry)
			}
		})
	}
	switch {
	case e.cut, f.lost, f.late > 0:
	case f.slow > 0:
		p.after(f.slow, func() { cell.HandleStartAnswer(o.Start, nil, p.now) })
		return
	case !e.takesTicket(o.Order.Ticket):
		cell.HandleStartAnswer(o.Start, &platform.RefusedError{Reason: platform.RefusedTicket}, p.now)
		return
	default:
		cell.HandleStartAnswer(o.Start, nil, p.now)
		return
	}
	p.after(playCallTimeout, func() { cell.HandleStartAnswer(o.Start, platform.ErrNoAnswer, p.now) })
}

func (p *play) sendStop(s Stop) {
	p.stops++
	e, token, cell := p.executors[s.To.ID], s.Token, p.cell
	if e == nil {
		cell.HandleStopAnswer(s, p.answerOfCrashed(s.To), p.now)
		return
	}
	f := fate{lost: p.loseStops}
	if len(p.stopFates) > 0 {
		f, p.stopFates = p.stopFates[0], p.stopFates[1:]
	}
	do := func() {
		if token >= e.token {
			e.stop(s.Run, platform.EndStopped)
		}
	}
	switch {
	case s.To.Address == "":
		cell.HandleStopAnswer(s, platform.ErrNotReached, p.now)
		return
	case f.refused:
		cell.HandleStopAnswer(s, &platform.RefusedError{Reason: platform.RefusedUnhealthy}, p.now)
		return
	case f.late > 0:
		p.after(f.late, do)
	case !f.lost && !e.cut:
		do()
		cell.HandleStopAnswer(s, nil, p.now)
		return
	}
	p.after(playCallTimeout, func() { cell.HandleStopAnswer(s, platform.ErrNoAnswer, p.now) })
}
