package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/internal/pause"
	"github.com/skylarklock/skylarklock/internal/plan"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// startHoldLoops starts a hold loop for each executor of the cell that has none. The caller
// holds r.mu.
func (r *Runner) startHoldLoops(ctx context.Context) {
	for ref := range r.cell.CallableExecutors() {
		if r.holdLoops[ref.ID] != nil {
			continue
		}
		holdCtx, cancel := context.WithCancel(ctx)
		r.holdLoops[ref.ID] = cancel
		r.spawn(func() { r.runHoldLoop(holdCtx, ref.ID) })
	}
}

// runHoldLoop renews the lease of one executor and handles its reports until the cell no
// longer wants the executor to be called.
func (r *Runner) runHoldLoop(ctx context.Context, id string) {
	defer r.removeHoldLoop(id)
	connected := false
	var pending unacknowledgedEnds
	malformed := false
	for ctx.Err() == nil {
		r.mu.Lock()
		sentAt := time.Now()
		h, wanted := r.cell.NextHold(id, plan.HoldTerms{Connected: connected, Renew: r.cfg.CanRenewLeases(), Wait: holdWait})
		r.mu.Unlock()
		if !wanted {
			return
		}
		report, err := r.sendHold(ctx, h)
		connected = err == nil
		if errors.Is(err, platform.ErrNotConnected) {
			continue // the next hold opens a new connection
		}
		if err != nil {
			if r.handleHoldError(ctx, h, err) {
				return
			}
			continue
		}
		if report.StartTimeErr != nil && !malformed {
			r.cfg.Logger.WithError(report.StartTimeErr).Warn("executor's report does not identify its incarnation; its lease is renewed anyway")
		}
		malformed = report.StartTimeErr != nil
		r.handleReport(ctx, h, report, sentAt, &pending)
		pause.For(ctx, minHoldInterval-time.Since(sentAt))
	}
}

func (r *Runner) sendHold(ctx context.Context, h plan.Hold) (platform.ExecutorReport, error) {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout+h.Order.MaxWait)
	defer cancel()
	return r.cfg.Executors.Hold(ctx, h.To, h.Order)
}

// handleHoldError records a failed hold and reports whether the executor incarnation has ended.
func (r *Runner) handleHoldError(ctx context.Context, h plan.Hold, err error) bool {
	r.reportForeignToken(h.To, h.Order.FencingToken, err)
	var refused *platform.RefusedError
	if errors.As(err, &refused) && refused.Reason == platform.RefusedOtherIncarnation {
		r.mu.Lock()
		r.cell.HandleExecutorLoss(h.To, plan.OtherIncarnation, time.Now())
		r.mu.Unlock()
		r.Wake()
		return true
	}
	r.mu.Lock()
	r.cell.HandleNoReport(h, time.Now())
	r.mu.Unlock()
	r.cfg.Logger.WithError(err).WithField("executor", h.To.ID).Debug("no report")
	pause.For(ctx, holdRetryDelay)
	return false
}

// unacknowledgedEnds are ends of runs that were applied but not yet acknowledged to the
// executor, which happens once they are durable.
type unacknowledgedEnds struct {
	hold    plan.Hold       // the hold whose report listed the ends
	upTo    uint64          // number of the last of these ends
	durable <-chan struct{} // closed once the ends are durable; nil if there are none
}

// handleReport applies a report. Ends of runs are acknowledged to the executor only once they
// are durable, because the executor may forget an acknowledged end. handleReport waits for
// that for at most holdWait, so that the lease is renewed in time: nothing becomes durable
// while the store is down.
func (r *Runner) handleReport(ctx context.Context, h plan.Hold, report platform.ExecutorReport, sentAt time.Time, pending *unacknowledgedEnds) {
	r.mu.Lock()
	hasEnds := r.cell.HandleReport(h, report, sentAt, time.Now())
	if hasEnds {
		*pending = unacknowledgedEnds{hold: h, upTo: r.cell.AppliedEnds(h), durable: r.cycleDone}
	}
	r.mu.Unlock()
	if hasEnds {
		r.Wake()
	}
	if pending.durable == nil {
		return
	}
	timer := time.NewTimer(holdWait)
	defer timer.Stop()
	select {
	case <-pending.durable:
		r.mu.Lock()
		r.cell.MarkEndsDurable(pending.hold, pending.upTo)
		r.mu.Unlock()
		*pending = unacknowledgedEnds{}
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (r *Runner) removeHoldLoop(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.holdLoops, id)
}
