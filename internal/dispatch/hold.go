package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/internal/pause"
	"github.com/skylarklock/skylarklock/internal/plan"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// keepHolds has one loop for each executor that should be called; r.mu is
// held.
func (r *Runner) keepHolds(ctx context.Context) {
	refs := r.cell.CallableExecutors()
	for _, ref := range refs {
		if r.holds[ref.ID] != nil {
			continue
		}
		holdCtx, cancel := context.WithCancel(ctx)
		r.holds[ref.ID] = cancel
		r.spawn(func() { r.holdExecutor(holdCtx, ref.ID) })
	}
}

// holdExecutor renews the lease of one executor and takes in its reports,
// until the cell doesn't want it called any more.
func (r *Runner) holdExecutor(ctx context.Context, id string) {
	defer r.endHold(id)
	connected := false
	var ends unseen
	faulty := false
	for ctx.Err() == nil {
		r.mu.Lock()
		asked := time.Now()
		h, wanted := r.cell.NextHold(id, plan.HoldTerms{Connected: connected, Renew: r.cfg.CanRenewLeases(), Wait: holdWait})
		r.mu.Unlock()
		if !wanted {
			return
		}
		report, err := r.hold(ctx, h)
		connected = err == nil
		if errors.Is(err, platform.ErrNotConnected) {
			continue // the next one opens a connection
		}
		if err != nil {
			if r.holdFailed(ctx, h, err) {
				return
			}
			continue
		}
		if report.StartTimeErr != nil && !faulty {
			r.cfg.Logger.WithError(report.StartTimeErr).Warn("executor's answer doesn't tell which life of it answers; it is held all the same")
		}
		faulty = report.StartTimeErr != nil
		r.takeReport(ctx, h, report, asked, &ends)
		pause.For(ctx, holdPace-time.Since(asked))
	}
}

func (r *Runner) hold(ctx context.Context, h plan.Hold) (platform.ExecutorReport, error) {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout+h.Order.MaxWait)
	defer cancel()
	return r.cfg.Executors.Hold(ctx, h.To, h.Order)
}

// holdFailed reports whether the executor's life is over.
func (r *Runner) holdFailed(ctx context.Context, h plan.Hold, err error) bool {
	r.noticeFence(h.To, h.Order.FencingToken, err)
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
	pause.For(ctx, holdRetry)
	return false
}

// unseen are ends that were applied and that the executor may be told of as seen
// once they are durable.
type unseen struct {
	of      plan.Hold // whose answer brought them
	upTo    uint64
	durable <-chan struct{} // closed when they are; nil: there are none
}

// takeReport applies a report. Ends are told to the executor as seen only
// after they are durable. That is waited for, but no longer than a lease can
// do without renewal: while the store is down nothing becomes durable.
func (r *Runner) takeReport(ctx context.Context, h plan.Hold, report platform.ExecutorReport, asked time.Time, ends *unseen) {
	r.mu.Lock()
	news := r.cell.HandleReport(h, report, asked, time.Now())
	if news {
		*ends = unseen{of: h, upTo: r.cell.AppliedEnds(h), durable: r.cycle}
	}
	r.mu.Unlock()
	if news {
		r.Wake()
	}
	if ends.durable == nil {
		return
	}
	renew := time.NewTimer(holdWait)
	defer renew.Stop()
	select {
	case <-ends.durable:
		r.mu.Lock()
		r.cell.MarkEndsDurable(ends.of, ends.upTo)
		r.mu.Unlock()
		*ends = unseen{}
	case <-renew.C:
	case <-ctx.Done():
	}
}

func (r *Runner) endHold(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.holds, id)
}
