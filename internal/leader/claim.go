package leader

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/skylarklock/skylarklock/internal/pause"
)

// claim appends a claim.
func (e *Elector) claim(ctx context.Context) error {
	e.mu.Lock()
	invited := e.invited
	e.invited = false
	e.mu.Unlock()
	if !invited {
		if mayStill, err := e.lookBeforeClaim(ctx); err != nil || !mayStill {
			return err
		}
	}
	at, err := e.append(ctx, claims)
	if err != nil {
		return e.settle(ctx, err)
	}
	e.mu.Lock()
	e.state.claimed(at, time.Now())
	e.mu.Unlock()
	e.lead()
	return nil
}

// lookBeforeClaim reads on, since somebody may have been faster, and reports whether a
// claim is still due.
func (e *Elector) lookBeforeClaim(ctx context.Context) (bool, error) {
	pause.For(ctx, rand.N(e.cfg.Timing.ClaimJitter))
	sent := time.Now()
	if err := e.watchOnce(ctx, 0); err != nil {
		return false, err
	}
	e.expect(time.Since(sent))
	return e.due(), nil
}

// lead begins to lead, after a claim of this process that is known to be stored.
func (e *Elector) lead() {
	e.mu.Lock()
	e.ledSince = time.Now()
	e.suspected = false
	epoch := e.state.self.Epoch
	e.mu.Unlock()
	e.cfg.Logger.WithField("epoch", epoch).Info("this process leads the cell")
	e.cfg.OnElected(epoch)
}

// found takes up an own claim that had no answer and that was read now; thrown away, it
// would cost another one. A process that could plan nothing by now gives it back.
func (e *Elector) found() {
	standing := e.cfg.Suitability()
	e.mu.Lock()
	if !e.state.isOwnClaim() {
		e.mu.Unlock()
		return
	}
	if standing == Unsynced || e.stopping {
		e.state.released = true
		e.mu.Unlock()
		return
	}
	e.state.takeUp()
	e.mu.Unlock()
	e.lead()
}
