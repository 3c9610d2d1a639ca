package gather

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// Gather makes a plan for a gang without one, if it may hold slots and a plan is found. Plans
// of late gangs are dropped for it if the share is used up. It reports whether the gang has a
// plan.
func (k *Keeper) Gather(r Request, source Source, now time.Time) bool {
	if k.plans[r.Gang] != nil {
		return true
	}
	if now.Before(k.retryAt[r.Gang]) || r.LatestUseful.Before(now) {
		return false
	}
	if r.First {
		return k.gatherFirst(r, source, now)
	}
	displaced, allowed := k.displacedBy(&r)
	if !allowed {
		return false
	}
	planned, found := Plan(r, k.withoutHeld(source.Offers(r.Gang), displaced...), now)
	if !found {
		k.retryAt[r.Gang] = now.Add(retryDelay)
		return false
	}
	for _, p := range displaced {
		k.Drop(p.Request.Gang, Displaced)
	}
	k.add(planned, now)
	return true
}

// gatherFirst makes a plan for the gang that goes before all others, regardless of what they
// hold. Their plans are adjusted to it.
func (k *Keeper) gatherFirst(r Request, source Source, now time.Time) bool {
	others := k.inOrder()
	planned, found := Plan(r, k.withoutHeld(source.Offers(r.Gang), others...), now)
	if !found {
		k.retryAt[r.Gang] = now.Add(retryDelay)
		return false
	}
	k.add(planned, now)
	for _, p := range others {
		k.adjust(p, source, now)
	}
	return true
}

func (k *Keeper) add(planned *Reservation, now time.Time) {
	p := &kept{Reservation: *planned, planned: planned.Start, reviewAt: now.Add(ReviewInterval)}
	k.plans[p.Request.Gang] = p
	k.hold(p)
}

// displacedBy returns the plans that must be dropped before a gang may hold slots, or false if
// gangs that come before it, or that can be in time, use the share. A gang that lost its slots
// to each new one with an earlier latest start would wait for all of them.
func (k *Keeper) displacedBy(r *Request) ([]*kept, bool) {
	total := r.milliCPU()
	anyLate := false
	for _, p := range k.plans {
		total += p.Request.milliCPU()
		anyLate = anyLate || p.Request.Late
	}
	switch {
	case total <= k.maxHeld():
		return nil, true
	case len(k.plans) > 0 && !anyLate:
		return nil, false
	}
	var displaced []*kept
	plans := k.inOrder()
	for i := len(plans) - 1; i >= 0 && total > k.maxHeld(); i-- {
		if plans[i].Request.compare(r) < 0 || !plans[i].Request.Late {
			return nil, false
		}
		displaced = append(displaced, plans[i])
		total -= plans[i].Request.milliCPU()
	}
	return displaced, true
}

// withoutHeld subtracts from offers what all plans hold except some.
func (k *Keeper) withoutHeld(offers []Offer, except ...*kept) []Offer {
	own := make(map[int]api.Resources)
	for _, p := range except {
		for _, s := range p.Slots {
			own[s.Executor] = own[s.Executor].Add(p.Resources(s))
		}
	}
	reduced := make([]Offer, len(offers))
	for i, o := range offers {
		if held, holds := k.held[o.Executor]; holds {
			o.Free = o.Free.Sub(held).Add(own[o.Executor])
		}
		reduced[i] = o
	}
	return reduced
}
