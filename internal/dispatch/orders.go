package dispatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/plan"
)

// orderBatch holds the orders to the executors of one data centre.
type orderBatch struct {
	starts []plan.ConfirmedStart
	stops  []plan.Stop
}

// groupByDataCentre groups orders by the data centre of their executors.
func groupByDataCentre(starts []plan.ConfirmedStart, stops []plan.Stop) map[string]*orderBatch {
	batches := make(map[string]*orderBatch)
	batchOf := func(dataCentre string) *orderBatch {
		b := batches[dataCentre]
		if b == nil {
			b = &orderBatch{}
			batches[dataCentre] = b
		}
		return b
	}
	for _, o := range starts {
		b := batchOf(o.Start.DataCentre)
		b.starts = append(b.starts, o)
	}
	for _, s := range stops {
		b := batchOf(s.DataCentre)
		b.stops = append(b.stops, s)
	}
	return batches
}

// sendOrders sends starts and stops; those to executors of one data centre are relayed by a
// machine there.
func (r *Runner) sendOrders(ctx context.Context, starts []plan.ConfirmedStart, stops []plan.Stop) {
	for dataCentre, b := range groupByDataCentre(starts, stops) {
		r.spawn(func() { r.sendBatch(ctx, dataCentre, b) })
	}
}

func (r *Runner) sendBatch(ctx context.Context, dataCentre string, b *orderBatch) {
	items := make([]assist.StartItem, len(b.starts))
	for i, o := range b.starts {
		items[i] = assist.StartItem{To: o.Start.To, Order: o.Order}
	}
	stops := make([]assist.StopItem, len(b.stops))
	for i, s := range b.stops {
		stops[i] = assist.StopItem{To: s.To, Run: s.Run, Token: s.Token}
	}
	errs, relayed := r.cfg.Peers.Relay(ctx, dataCentre, items, stops, time.Now())
	if !relayed {
		r.sendDirectly(ctx, b)
		return
	}
	for i, o := range b.starts {
		r.handleStartResult(o, errs[i])
	}
	for i, s := range b.stops {
		r.handleStopResult(s, errs[len(b.starts)+i])
	}
}

// sendDirectly sends orders from this machine, because no machine could relay them.
func (r *Runner) sendDirectly(ctx context.Context, b *orderBatch) {
	for _, o := range b.starts {
		r.spawn(func() { r.sendStart(ctx, o) })
	}
	for _, s := range b.stops {
		r.spawn(func() { r.sendStop(ctx, s) })
	}
}

func (r *Runner) sendStart(ctx context.Context, o plan.ConfirmedStart) {
	ctx, cancel := context.WithTimeout(ctx, assist.OrderTimeout)
	defer cancel()
	_, err := r.cfg.Executors.Start(ctx, o.Start.To, o.Order)
	r.handleStartResult(o, err)
}

func (r *Runner) handleStartResult(o plan.ConfirmedStart, err error) {
	s := o.Start
	r.reportForeignToken(s.To, o.Order.FencingToken, err)
	r.mu.Lock()
	r.cell.HandleStartAnswer(s, err, time.Now())
	r.mu.Unlock()
	if err != nil {
		r.cfg.Logger.WithError(err).WithFields(logrus.Fields{"executor": s.To.ID, "task": s.Run.Task, "run": s.Run.Number}).Debug("start not confirmed")
		r.Wake()
	}
}

func (r *Runner) sendStop(ctx context.Context, s plan.Stop) {
	ctx, cancel := context.WithTimeout(ctx, assist.OrderTimeout)
	defer cancel()
	_, err := r.cfg.Executors.Stop(ctx, s.To, s.Run, s.Token)
	r.handleStopResult(s, err)
}

func (r *Runner) handleStopResult(s plan.Stop, err error) {
	r.reportForeignToken(s.To, s.Token, err)
	r.mu.Lock()
	r.cell.HandleStopAnswer(s, err, time.Now())
	r.mu.Unlock()
}
