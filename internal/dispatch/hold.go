package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/internal/pause"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// keepHolds has one loop for each executor that should be called; r.mu is
// held.
func (r *Runner) keepHolds(ctx context.Context) {
	refs := r.cell.Refs()
	for _, ref := range refs {
		if r.holds[ref.ID] != nil {
			continue
		}
		holdCtx, cancel := context.WithCancel(ctx)
		r.holds[ref.ID] = cancel
		r.spawn(func() { r.holdExecutor(holdCtx, ref) })
	}
}

// holdExecutor renews the lease of one executor and takes in its reports,
// until the cell lets it go.
func (r *Runner) holdExecutor(ctx context.Context, ref platform.ExecutorRef) {
	defer r.endHold(ref.ID)
	wait := time.Duration(0) // the first report is wanted at once
	for ctx.Err() == nil {
		r.mu.Lock()
		asked := time.Now()
		order, wanted := r.cell.Hold(ref.ID, r.cfg.MayRenew())
		r.mu.Unlock()
		if !wanted {
			return
		}
		order.Token = uint64(r.cfg.Self.Epoch)
		order.Wait = wait
		report, err := r.hold(ctx, ref, order)
		if err != nil {
			if r.holdFailed(ctx, ref, err) {
				return
			}
			continue
		}
		r.takeReport(ctx, ref.ID, report, asked)
		pause.For(ctx, holdPace-time.Since(asked))
		wait = holdWait
	}
}

func (r *Runner) hold(ctx context.Context, ref platform.ExecutorRef, order platform.HoldOrder) (platform.ExecutorReport, error) {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout+order.Wait)
	defer cancel()
	return r.cfg.Executors.Hold(ctx, ref, order)
}

// holdFailed reports whether the executor's life is over.
func (r *Runner) holdFailed(ctx context.Context, ref platform.ExecutorRef, err error) bool {
	r.noticeFence(err)
	var refused *platform.RefusedError
	if errors.As(err, &refused) && refused.Reason == platform.RefusedGone {
		r.mu.Lock()
		r.cell.Gone(ref.ID)
		r.mu.Unlock()
		r.Wake()
		return true
	}
	r.cfg.Events.WithError(err).WithField("executor", ref.ID).Debug("no report")
	pause.For(ctx, holdRetry)
	return false
}

// takeReport applies a report. Ends are told to the executor as seen only
// after they are durable.
func (r *Runner) takeReport(ctx context.Context, id string, report platform.ExecutorReport, asked time.Time) {
	r.mu.Lock()
	news := r.cell.Report(id, report, asked, time.Now())
	taken := r.cell.Taken(id)
	durable := r.cycle
	r.mu.Unlock()
	if !news {
		return
	}
	r.Wake()
	select {
	case <-durable:
	case <-ctx.Done():
		return
	}
	r.mu.Lock()
	r.cell.Seen(id, taken)
	r.mu.Unlock()
}

func (r *Runner) endHold(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.holds, id)
}
