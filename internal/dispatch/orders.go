package dispatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/plan"
)

// batch holds the orders to the executors of one data centre.
type batch struct {
	starts []plan.ConfirmedStart
	stops  []plan.Stop
}

// byDataCentre divides orders by where their executors are.
func byDataCentre(starts []plan.ConfirmedStart, stops []plan.Stop) map[string]*batch {
	batches := make(map[string]*batch)
	of := func(centre string) *batch {
		b := batches[centre]
		if b == nil {
			b = &batch{}
			batches[centre] = b
		}
		return b
	}
	for _, o := range starts {
		b := of(o.Start.DataCentre)
		b.starts = append(b.starts, o)
	}
	for _, s := range stops {
		b := of(s.DataCentre)
		b.stops = append(b.stops, s)
	}
	return batches
}

// sendOrders sends starts and stops, those to executors of one data centre by a
// machine there.
func (r *Runner) sendOrders(ctx context.Context, starts []plan.ConfirmedStart, stops []plan.Stop) {
	for centre, b := range byDataCentre(starts, stops) {
		r.spawn(func() { r.sendBatch(ctx, centre, b) })
	}
}

func (r *Runner) sendBatch(ctx context.Context, centre string, b *batch) {
	items := make([]assist.StartItem, len(b.starts))
	for i, o := range b.starts {
		items[i] = assist.StartItem{To: o.Start.To, Order: o.Order}
	}
	stops := make([]assist.StopItem, len(b.stops))
	for i, s := range b.stops {
		stops[i] = assist.StopItem{To: s.To, Run: s.Run, Token: s.Token}
	}
	errs, relayed := r.cfg.Peers.Relay(ctx, centre, items, stops, time.Now())
	if !relayed {
		r.sendThemselves(ctx, b)
		return
	}
	for i, o := range b.starts {
		r.startAnswered(o, errs[i])
	}
	for i, s := range b.stops {
		r.stopAnswered(s, errs[len(b.starts)+i])
	}
}

// sendThemselves sends orders from here, since there is no machine that could.
func (r *Runner) sendThemselves(ctx context.Context, b *batch) {
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
	r.startAnswered(o, err)
}

func (r *Runner) startAnswered(o plan.ConfirmedStart, err error) {
	s := o.Start
	r.noticeFence(s.To, o.Order.FencingToken, err)
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
	r.stopAnswered(s, err)
}

func (r *Runner) stopAnswered(s plan.Stop, err error) {
	r.noticeFence(s.To, s.Token, err)
	r.mu.Lock()
	r.cell.HandleStopAnswer(s, err, time.Now())
	r.mu.Unlock()
}
