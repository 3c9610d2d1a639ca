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

// notRunDetail tells the caller of a request that was not run how to have it
// run.
const notRunDetail = "it was not run and never will be under this request id; to have it run, send it with a new one"

// conclude ends the request under x.Mark and returns the answer or refusal for
// the caller.
func (c *Chain) conclude(x *Exchange, answer *api.Answer, err error) (*api.Answer, error) {
	if err == nil && answer != nil {
		c.journalOutcome(*x.Mark, answer, nil)
		return answer, nil
	}
	refusal := asRefusal(err)
	switch {
	case refusal.Outcome != api.OutcomeNotRun:
		c.journalOutcome(*x.Mark, nil, refusal)
		return nil, refusal
	case isTransient(refusal.Reason):
		c.withdraw(*x.Mark)
		x.Mark = nil
		return nil, c.refuseUnmarked(x, refusal)
	default:
		return nil, c.confirmNotRun(x, refusal)
	}
}

// isTransient reports whether the cause of a refusal ends without
// intervention, so that the same ID may be tried again.
func isTransient(reason api.Reason) bool {
	switch reason {
	case api.ReasonNoSlot, api.ReasonQueueFull, api.ReasonNoEndpoint, api.ReasonHoldUnconfirmed,
		api.ReasonDeadlineUnmeetable, api.ReasonClassLimit, api.ReasonDraining, api.ReasonNotReady:
		return true
	}
	return false
}

// journalOutcome starts to journal the outcome of a marked request. No caller
// waits for it. The returned channel receives the result; an error has been
// logged already. The channel is nil when nothing was started.
func (c *Chain) journalOutcome(mark reqkey.Mark, answer *api.Answer, refusal *api.Refusal) <-chan error {
	journaled := make(chan error, 1)
	started := c.journal.start(func(ctx context.Context) {
		err := c.deps.Keys.RecordOutcome(ctx, mark, answer, refusal)
		if err != nil {
			c.reportNotJournaled(mark, api.ReasonJournalUnsettled, err)
		}
		journaled <- err
	})
	if !started {
		c.reportNotJournaled(mark, api.ReasonQueueFull, errBacklog)
		return nil
	}
	return journaled
}

// confirmNotRun returns not-run for the ID of x once that outcome has been
// read back from the log, and unknown when this takes longer than the
// remaining time of x. In both cases nothing more is sent under the mark.
func (c *Chain) confirmNotRun(x *Exchange, refusal *api.Refusal) *api.Refusal {
	final := api.NotRun(refusal.Reason, 0, refusal.Detail+"; "+notRunDetail)
	timer := time.NewTimer(max(x.remaining(c.deps.Now()), c.settings.AnswerGrace))
	defer timer.Stop()
	select {
	case err := <-c.journalOutcome(*x.Mark, nil, final):
		if err == nil {
			return final
		}
	case <-timer.C:
	}
	detail := refusal.Detail + "; that it is not run was not confirmed by the log in time"
	return api.UnknownWithRetry(refusal.Reason, c.settings.RetryAfter, detail)
}

// errBacklog is logged when MaxJournalAppends appends are in progress.
var errBacklog = errors.New("filter: too many outcomes are being journaled")

// reportNotJournaled counts and logs that an outcome is not in the log. A
// repeat of mark's ID may then be answered unknown after this process has
// ended.
func (c *Chain) reportNotJournaled(mark reqkey.Mark, reason api.Reason, err error) {
	c.deps.Counters.Inc(GroupJournal, reason)
	c.deps.Log.WithFields(logrus.Fields{
		"event":   "outcome_not_journaled",
		"request": mark.ID,
		"reason":  reason,
		"cause":   err,
	}).Warn("the outcome of a request is not in the log")
}

// withdraw records that mark was not used and never will be, and frees its ID
// in the log.
func (c *Chain) withdraw(mark reqkey.Mark) {
	c.requests.withdraw(mark.ID, mark.Serial)
	started := c.journal.start(func(ctx context.Context) { c.release(ctx, mark) })
	if !started {
		c.deps.Counters.Inc(GroupJournal, api.ReasonQueueFull)
	}
}

// release frees the ID of a withdrawn mark. After a failure the ID remains
// marked and withdrawn, and the next repeat releases it again.
func (c *Chain) release(ctx context.Context, mark reqkey.Mark) {
	err := c.deps.Keys.Release(ctx, mark)
	var none *reqkey.NoMarkError
	if err != nil && !errors.As(err, &none) {
		c.deps.Counters.Inc(GroupJournal, api.ReasonJournalUnsettled)
	}
}

// backgroundAppends runs a bounded number of appends that no caller waits for.
type backgroundAppends struct {
	slots   chan struct{}
	timeout time.Duration
	running sync.WaitGroup
}

func newBackgroundAppends(slots int, timeout time.Duration) *backgroundAppends {
	return &backgroundAppends{slots: make(chan struct{}, slots), timeout: timeout}
}

// start runs f in the background and returns true, unless all slots are in
// use.
func (b *backgroundAppends) start(f func(ctx context.Context)) bool {
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

func (b *backgroundAppends) wait(ctx context.Context) error {
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
