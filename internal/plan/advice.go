package plan

import (
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

// advice is what is known of the executors that may run a step. Whether one
// may never changes in its life; the permission itself lapses.
type advice struct {
	tickets  map[*vm]ticket      // of executors that may
	denied   map[*vm]struct{}    // executors that may not
	asking   int                 // calls under way
	over     map[string]struct{} // ids of executors whose lives have ended since those were made
	unused   bool                // an answer has come since the step was last planned
	expected float64             // tasks that were to find room on each executor that these name
	asked    time.Time           // when the newest call was made
	again    time.Time           // no call before this, after one that failed
	look     time.Time           // not before this is it worked out again whether a call is due
	expects  time.Time           // until when room is waited for where tickets hold; zero: it is not
	until    time.Time           // when the last ticket lapses
	promises []promise           // room that the newest call expects
	vms      []*vm               // those with tickets, in order; nil: to be made up
}

// ticket is the permission to start a step's tasks on one executor.
type ticket struct {
	text  string
	until time.Time
}

// AdviceCall is a call for advice that should be made.
type AdviceCall struct {
	Step      work.StepKey
	Executors []string
	Cost      time.Duration // expected time of the call
}

// grant takes in the answer to a call about the named executors, of which those
// whose lives are over are passed over: a ticket is of use during one life only.
func (a *advice) grant(vms map[string]*vm, asked []string, grants []platform.Grant, until time.Time) {
	if a.tickets == nil {
		a.tickets = make(map[*vm]ticket)
		a.denied = make(map[*vm]struct{})
	}
	a.vms = nil
	if len(grants) > 0 {
		a.until = until
	}
	texts := make(map[string]string, len(grants))
	for _, g := range grants {
		texts[g.Executor] = g.Ticket
	}
	for _, id := range asked {
		v := vms[id]
		if _, over := a.over[id]; over || v == nil {
			continue
		}
		if text, granted := texts[id]; granted {
			a.tickets[v] = ticket{text: text, until: until}
		} else if _, before := a.tickets[v]; !before {
			a.denied[v] = struct{}{}
		}
	}
}

// forget drops what is known of an executor whose life is over.
func (a *advice) forget(v *vm) {
	if _, granted := a.tickets[v]; granted {
		delete(a.tickets, v)
		a.vms = nil
	}
	delete(a.denied, v)
	if a.asking == 0 {
		return
	}
	if a.over == nil {
		a.over = make(map[string]struct{})
	}
	a.over[v.Ref.ID] = struct{}{}
}

// answered takes in that a call has ended.
func (a *advice) answered() {
	a.asking--
	if a.asking == 0 {
		a.over = nil
	}
}

// valid returns the ticket for an executor if it is valid at now.
func (a *advice) valid(v *vm, now time.Time) (ticket, bool) {
	t, ok := a.tickets[v]
	return t, ok && now.Before(t.until)
}

// anyValid reports whether some ticket is valid at now.
func (a *advice) anyValid(now time.Time) bool { return now.Before(a.until) }

// AdviceDispatcher says who could make calls for advice.
type AdviceDispatcher interface {
	// Free reports whether about such a call could be made now.
	Free(call queue.Call) bool
	// Take gives a call to somebody, or returns false.
	Take(call queue.Call) bool
}

// AdviceCalls returns the calls for advice that are due and that somebody takes, in
// the order in which the steps are to start, and counts them as under way.
func (c *Cell) AdviceCalls(now time.Time, askers AdviceDispatcher) []AdviceCall {
	if c.unordered {
		c.order(now)
	}
	view := c.outlook(now)
	var asks []AdviceCall
	for _, s := range c.inTurn {
		q := c.queue(s.job)
		if q == nil || q.Advice == nil || s.advice.unused || s.advice.asking > 0 || now.Before(s.advice.again) || now.Before(s.advice.look) || !s.ready {
			continue
		}
		if !askers.Free(q.Advice.Call(c.advised(s))) {
			continue
		}
		named := c.toAsk(s, q, view, now)
		if len(named) == 0 {
			s.advice.look = now.Add(s.lookPause())
			continue
		}
		asks = append(asks, c.askAbout(s, q, named, askers, now)...)
	}
	return asks
}

// askAbout returns the calls about a step that name the candidates and that somebody
// takes, and counts them as under way. What one call can't name goes to others at the
// same time.
func (c *Cell) askAbout(s *step, q *queue.Queue, named []candidate, askers AdviceDispatcher, now time.Time) []AdviceCall {
	var asks []AdviceCall
	var taken []candidate
	calls := (len(named) + c.cfg.MaxExecutorsPerCall - 1) / c.cfg.MaxExecutorsPerCall
	for part := range slices.Chunk(named, (len(named)+calls-1)/calls) {
		call := q.Advice.Call(len(part))
		if !askers.Take(call) {
			break
		}
		c.countAsk(s, part, call.Cost)
		taken = append(taken, part...)
		asks = append(asks, AdviceCall{Step: s.key(), Executors: idsOf(part), Cost: call.Cost})
	}
	if len(asks) > 0 {
		c.promise(s, taken, len(s.unplaced()))
		s.advice.expects = time.Time{}
		s.advice.asking = len(asks)
		s.advice.asked = now
		s.advice.expected = float64(roomOf(taken)) / float64(len(taken))
	}
	return asks
}

// toAsk returns the executors that a call about the step should name, or none
// if no call is due. The first call names those with room, since what it tells
// stays true. Later ones renew lapsed tickets when room for the step is near,
// and ask about further executors where those that may run it are too full or
// too few.
func (c *Cell) toAsk(s *step, q *queue.Queue, view *outlook, now time.Time) []candidate {
	c.unpromise(s)
	tasks := len(s.unplaced())
	if tasks == 0 {
		return nil
	}
	if c.gathers(s, now) {
		return nil // it starts as soon as what is in its way has stopped
	}
	soon := now.Add(q.Advice.Call(c.advised(s)).Cost + askAhead)
	may := view.candidates(s, q, soon)
	most := c.cfg.MaxExecutorsPerCall
	if s.spec.Gang && s.stands == inTime {
		most *= gangCalls
	}
	if len(s.advice.tickets) == 0 {
		return c.worthAsking(c.choose(may.fresh, s, q, tasks, most), s, q, now)
	}
	need := 1
	if s.spec.Gang {
		need = tasks
	}
	valid, lapsed := roomOf(may.valid), roomOf(may.lapsed)
	share := c.shareOf(q)
	if now.Sub(s.advice.asked) > hopeAfter {
		share = 1 // each of a few executors may be granted after all
	}
	if float64(valid+lapsed)+share*float64(roomOf(may.fresh)) < float64(need) {
		// It couldn't start, whatever is granted. Gangs that ask about the scraps which
		// the calls of others leave never have tickets for all of their tasks at once,
		// and take the machines' time from those that could start.
		return nil
	}
	if valid < need {
		s.advice.expects = time.Time{}
	}
	switch {
	case valid >= need && c.patient(s, soon, now):
		return nil
	case valid < need && valid+lapsed >= need:
		return withRoom(may.lapsed, most)
	}
	more := c.further(may.fresh, s, q, max(1, tasks-valid-lapsed), most)
	if len(more) == 0 {
		return nil
	}
	return append(more, withRoom(may.lapsed, most-len(more))...)
}

// patient reports whether a step should go on waiting for room that is
// expected soon where its tickets hold. Expectations can fail again and again,
// so each counts only until its time has passed.
func (c *Cell) patient(s *step, soon, now time.Time) bool {
	if s.advice.expects.IsZero() {
		s.advice.expects = soon
	}
	return now.Before(s.advice.expects)
}

// further returns executors that are not known yet and promise room for a
// number of tasks; none if they have no room either.
func (c *Cell) further(fresh []candidate, s *step, q *queue.Queue, tasks, limit int) []candidate {
	if roomOf(fresh) == 0 {
		return nil
	}
	return c.choose(fresh, s, q, tasks, limit)
}

// worthAsking returns the executors for a step's first call unless this leader has
// heard of few executors yet: after a takeover the reports come in within
// moments.
func (c *Cell) worthAsking(named []candidate, s *step, q *queue.Queue, now time.Time) []candidate {
	if now.Sub(c.began) > gatherFor {
		return named
	}
	if 2*len(named) < min(c.pools[c.service(s.job)], cheapToName(q.Advice)) {
		return nil
	}
	return named
}

// gatherFor is how long after a takeover first reports are waited for before
// advice is asked about few executors, and executors without one count as lost.
const gatherFor = time.Second

// gangCalls is how many calls may be made at a time about a gang that can be in time: it
// starts whole or not at all, and calls in turn would take all the time that it has.
const gangCalls = 3

// hopeAfter is the time after a gang's newest call from which it is asked about room that would
// do only if all of it were granted.
const hopeAfter = 2 * time.Second

// askAhead is how much earlier than needed a ticket may be renewed: run times
// are only estimated.
const askAhead = 150 * time.Millisecond

// HandleGrants takes in the answer to a call for advice, which arrived at now.
func (c *Cell) HandleGrants(a AdviceCall, grants []platform.Grant, valid time.Duration, now time.Time) {
	s := c.step(a.Step)
	if s == nil {
		return
	}
	s.advice.unused = true
	s.gathered.look = time.Time{}
	if s.job.advised.IsZero() {
		s.job.advised = now
	}
	q := c.queue(s.job)
	c.learnShare(q, len(a.Executors), len(grants))
	s.advice.grant(c.vms, a.Executors, grants, now.Add(valid-c.cfg.TicketMargin))
	s.advice.answered()
	c.learnKept(s, q, grants, now)
}

// HandleAdviceFailure takes in that a call for advice failed.
func (c *Cell) HandleAdviceFailure(a AdviceCall, now time.Time) {
	s := c.step(a.Step)
	if s == nil {
		return
	}
	s.advice.answered()
	c.unpromise(s)
	s.advice.again = now.Add(adviceRetry)
}

// Times between two looks whether a step needs a call, which go through all
// executors.
const (
	lookEvery = 40 * time.Millisecond
	// lookLate is that of steps that can't be in time any more: when more comes than
	// there is room for, hundreds of them wait.
	lookLate = 320 * time.Millisecond
)

// lookPause returns the time until the step's next look.
func (s *step) lookPause() time.Duration {
	if s.stands == inTime {
		return lookEvery
	}
	return lookLate
}

// lookAgain has every waiting step look at once whether it needs a call.
func (c *Cell) lookAgain() {
	for _, s := range c.waiting {
		s.advice.look = time.Time{}
	}
}

// adviceRetry is the pause after a call for advice that failed.
const adviceRetry = 50 * time.Millisecond
