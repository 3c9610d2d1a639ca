package leader

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/skylarklock/skylarklock/internal/pause"
)

// claim appends a claim record and starts to lead if it was stored.
func (e *Elector) claim(ctx context.Context) error {
	e.mu.Lock()
	invited := e.invited
	e.invited = false
	e.mu.Unlock()
	if !invited {
		if due, err := e.readBeforeClaim(ctx); err != nil || !due {
			return err
		}
	}
	at, err := e.append(ctx, kindClaim)
	if err != nil {
		return e.resolveAppend(ctx, err)
	}
	e.mu.Lock()
	e.state.claimStored(at, time.Now())
	e.mu.Unlock()
	e.startLeading()
	return nil
}

// readBeforeClaim reads new records after a random delay, because another process may
// have claimed first, and reports whether a claim is still due.
func (e *Elector) readBeforeClaim(ctx context.Context) (bool, error) {
	pause.For(ctx, rand.N(e.cfg.Timing.ClaimJitter))
	sent := time.Now()
	if err := e.watchOnce(ctx, 0); err != nil {
		return false, err
	}
	e.noteReadDuration(time.Since(sent))
	return e.claimDue(), nil
}

// startLeading makes this process the leader. Its claim must be known to be stored.
func (e *Elector) startLeading() {
	e.mu.Lock()
	e.leadingSince = time.Now()
	e.suspected = false
	epoch := e.state.self.Epoch
	e.mu.Unlock()
	e.cfg.Logger.WithField("epoch", epoch).Info("this process leads the cell")
	e.cfg.OnElected(epoch)
}

// adoptStoredClaim starts to lead by a claim of this process whose answer was lost and
// that has now been read. Ignoring it would cost a second claim. A process that can't
// plan by now treats the claim as released.
func (e *Elector) adoptStoredClaim() {
	suitability := e.cfg.Suitability()
	e.mu.Lock()
	if !e.state.hasUnadoptedClaim() {
		e.mu.Unlock()
		return
	}
	if suitability == Unsynced || e.stopping {
		e.state.released = true
		e.mu.Unlock()
		return
	}
	e.state.adoptClaim()
	e.mu.Unlock()
	e.startLeading()
}
