package filter

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/reqkey"
)

// maxMarkTries bounds the marks proposed for one request, each after an
// unused one was released.
const maxMarkTries = 3

// mark puts a non-idempotent request's mark in the log before anything is
// sent, and says in the log afterwards what became of it.
func (c *Chain) mark(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) (*api.Answer, error) {
		if x.Request.Idempotent {
			return next(ctx, x)
		}
		for try := 1; ; try++ {
			answer, err := c.markOnce(ctx, x)
			if x.Mark != nil {
				break
			}
			if !errors.Is(err, errNotSent) {
				return answer, err
			}
			if try == maxMarkTries {
				return nil, c.notMarked(api.ReasonJournalUnsettled, "an unused mark of the id is still in the log")
			}
		}
		answer, err := next(ctx, x)
		c.conclude(x, answer, err)
		return answer, err
	}
}

// markOnce sets x.Mark when this VM's mark is the first. Else it returns what
// to tell the caller, or errNotSent when another try may succeed.
func (c *Chain) markOnce(ctx context.Context, x *Exchange) (*api.Answer, error) {
	mark, err := c.deps.Keys.Mark(ctx, x.Request.ID, x.Digest)
	if err == nil {
		x.Mark = &mark
		return nil, nil
	}
	var marked *reqkey.MarkedError
	var other *reqkey.ReusedError
	var full *reqkey.FullError
	switch {
	case errors.As(err, &marked):
		return c.markedBefore(ctx, x, mark, marked.Mark)
	case errors.As(err, &other):
		return nil, reused(x.Request.ID)
	case errors.As(err, &full):
		return nil, c.notMarked(api.ReasonJournalUnavailable, full.Error())
	case errors.Is(err, journal.ErrNotWritten):
		return nil, c.notMarked(api.ReasonJournalUnavailable, "the request can't be marked in the log")
	}
	// The mark may come to stand; nothing was or will be sent under it.
	c.withdraw(mark)
	return nil, c.notMarked(api.ReasonJournalUnsettled, "the mark in the log was not confirmed in time")
}

// markedBefore handles the rejection of own because before stands.
func (c *Chain) markedBefore(ctx context.Context, x *Exchange, own, before reqkey.Mark) (*api.Answer, error) {
	if before.Writer == own.Writer && before.Serial == own.Serial {
		x.Mark = &own // a second copy of the same append was rejected
		return nil, nil
	}
	state, ok := c.deps.Keys.Lookup(x.Request.ID)
	if !ok {
		return nil, errNotSent // released since
	}
	answer, err := c.repeat(ctx, x, state)
	if errors.Is(err, errNotSent) && state.Mark.Writer == own.Writer {
		c.release(ctx, state.Mark)
	}
	return answer, err
}

func (c *Chain) notMarked(reason api.Reason, detail string) *api.Refusal {
	return api.NotRun(reason, c.settings.RetryAfter, detail)
}

// conclude journals the end of a marked request. No caller waits for it.
func (c *Chain) conclude(x *Exchange, answer *api.Answer, err error) {
	mark := *x.Mark
	var refusal *api.Refusal
	if answer == nil || err != nil {
		refusal = asRefusal(err)
		answer = nil
	}
	if refusal != nil && refusal.Outcome == api.OutcomeNotRun {
		c.withdraw(mark)
		return
	}
	var reason api.Reason
	if refusal != nil {
		reason = refusal.Reason
	}
	started := c.journal.start(func(ctx context.Context) {
		if err := c.deps.Keys.Settle(ctx, mark, answer, reason); err != nil {
			c.notJournaled(mark, api.ReasonJournalUnsettled, err)
		}
	})
	if !started {
		c.notJournaled(mark, api.ReasonQueueFull, errBacklog)
	}
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
