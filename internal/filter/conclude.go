package filter

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/reqkey"
)

// notRunDetail tells the caller of a request that was not run what to do.
const notRunDetail = "it was not run and never will be under this request id; to have it run, send it with a new one"

// conclude ends the request under x.Mark and returns what to tell its caller.
func (c *Chain) conclude(x *Exchange, answer *api.Answer, err error) (*api.Answer, error) {
	if err == nil && answer != nil {
		c.settle(*x.Mark, answer, nil)
		return answer, nil
	}
	refusal := asRefusal(err)
	switch {
	case refusal.Outcome != api.OutcomeNotRun:
		c.settle(*x.Mark, nil, refusal)
		return nil, refusal
	case passes(refusal.Reason):
		c.withdraw(*x.Mark)
		x.Mark = nil
		return nil, c.turnedAway(x, refusal)
	default:
		return nil, c.neverRun(x, refusal)
	}
}

// passes reports whether reason is a cause that passes by itself, so that the
// same id may be tried again.
func passes(reason api.Reason) bool {
	switch reason {
	case api.ReasonNoSlot, api.ReasonQueueFull, api.ReasonNoEndpoint, api.ReasonHoldUnconfirmed,
		api.ReasonDeadlineUnmeetable, api.ReasonClassLimit, api.ReasonDraining, api.ReasonNotReady:
		return true
	}
	return false
}

// settle journals the end of a marked request. No caller waits for it. The
// channel gets the error of journaling it, which is logged already; it is nil
// when nothing was started.
func (c *Chain) settle(mark reqkey.Mark, answer *api.Answer, refusal *api.Refusal) <-chan error {
	settled := make(chan error, 1)
	started := c.journal.start(func(ctx context.Context) {
		err := c.deps.Keys.RecordOutcome(ctx, mark, answer, refusal)
		if err != nil {
			c.notJournaled(mark, api.ReasonJournalUnsettled, err)
		}
		settled <- err
	})
	if !started {
		c.notJournaled(mark, api.ReasonQueueFull, errBacklog)
		return nil
	}
	return settled
}

// neverRun says not-run of the id of x once that was read back from the log,
// and unknown when it was not in the time that x has left. Nothing is sent
// under the mark any more, whichever it says.
func (c *Chain) neverRun(x *Exchange, refusal *api.Refusal) *api.Refusal {
	final := api.NotRun(refusal.Reason, 0, refusal.Detail+"; "+notRunDetail)
	timer := time.NewTimer(max(x.remaining(c.deps.Now()), c.settings.AnswerGrace))
	defer timer.Stop()
	select {
	case err := <-c.settle(*x.Mark, nil, final):
		if err == nil {
			return final
		}
	case <-timer.C:
	}
	detail := refusal.Detail + "; that it is not run was not confirmed by the log in time"
	return api.UnknownWithRetry(refusal.Reason, c.settings.RetryAfter, detail)
}

// errBacklog says that JournalBacklog appends are under way.
var errBacklog = errors.New("filter: too many outcomes under way")

// notJournaled tells operators that a repeat of mark's id may be answered
// unknown once this process is gone.
func (c *Chain) notJournaled(mark reqkey.Mark, reason api.Reason, err error) {
	c.deps.Counters.Inc(GroupJournal, reason)
	c.deps.Log.WithFields(logrus.Fields{
		"event":   "outcome_not_journaled",
		"request": mark.ID,
		"reason":  reason,
		"cause":   err,
	}).Warn("the outcome of a request is not in the log")
}

// withdraw remembers that mark is unused for good and frees its id in the log.
func (c *Chain) withdraw(mark reqkey.Mark) {
	c.runs.withdraw(mark.ID, mark.Serial)
	started := c.journal.start(func(ctx context.Context) { c.release(ctx, mark) })
	if !started {
		c.deps.Counters.Inc(GroupJournal, api.ReasonQueueFull)
	}
}

// release frees the id of a withdrawn mark. A failure leaves the id marked
// and withdrawn; the next repeat tries again.
func (c *Chain) release(ctx context.Context, mark reqkey.Mark) {
	err := c.deps.Keys.Release(ctx, mark)
	var none *reqkey.NoMarkError
	if err != nil && !errors.As(err, &none) {
		c.deps.Counters.Inc(GroupJournal, api.ReasonJournalUnsettled)
	}
}

// background runs appends that no caller waits for, a bounded number at once.
type background struct {
	slots   chan struct{}
	timeout time.Duration
	running sync.WaitGroup
}

func newBackground(slots int, timeout time.Duration) *background {
	return &background{slots: make(chan struct{}, slots), timeout: timeout}
}

// start runs f unless all slots are taken.
func (b *background) start(f func(ctx context.Context)) bool {
	select {
	case b.slots <- struct{}{}:
	default:
		return false
	}
	b.running.Go(func() {
		defer func() { <-b.slots }()
		ctx, cancel := context.WithTimeout(context.Background(), b.timeout)
		defer cancel()
		f(ctx)
	})
	return true
}

func (b *background) wait(ctx context.Context) error {
	idle := make(chan struct{})
	go func() {
		b.running.Wait()
		close(idle)
	}()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("filter: %d outcomes not journaled: %w", len(b.slots), ctx.Err())
	}
}
