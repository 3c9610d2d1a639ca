package filter

import (
	"context"
	"sync"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// GateState says which requests an entry VM admits.
type GateState uint8

// States of a Gate.
const (
	GateNotReady GateState = iota // the state is incomplete; no requests are admitted
	GateOpen
	GateDraining // new requests are refused; requests in flight continue
)

// Gate counts the requests in flight and admits or refuses new ones.
type Gate struct {
	mu       sync.Mutex
	state    GateState
	max      int
	inFlight int
	idle     chan struct{} // closed when draining and nothing is in flight
}

// NewGate returns a gate in state GateNotReady that admits at most max
// requests at once.
func NewGate(max int) *Gate {
	return &Gate{max: max, idle: make(chan struct{})}
}

// SetReady opens the gate, or closes it while the entry VM's state is
// incomplete. It has no effect on a draining gate.
func (g *Gate) SetReady(ready bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.state == GateDraining:
	case ready:
		g.state = GateOpen
	default:
		g.state = GateNotReady
	}
}

// Drain refuses new requests from now on.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state == GateDraining {
		return
	}
	g.state = GateDraining
	g.closeIfIdle()
}

// State returns the gate's state.
func (g *Gate) State() GateState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state
}

// InFlight returns the number of requests admitted and not finished.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}

// Wait waits until a draining gate has no requests in flight. It returns nil
// then, or the error of ctx.
func (g *Gate) Wait(ctx context.Context) error {
	select {
	case <-g.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Enter admits one request, which ends with Leave. The refusal has no
// RetryAfter.
func (g *Gate) Enter() *api.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.state == GateNotReady:
		return api.NotRun(api.ReasonNotReady, 0, "this entry VM has no complete state yet")
	case g.state == GateDraining:
		return api.NotRun(api.ReasonDraining, 0, "this entry VM is leaving")
	case g.inFlight >= g.max:
		return api.NotRun(api.ReasonClassLimit, 0, "too many requests in flight on this entry VM")
	}
	g.inFlight++
	return nil
}

// Leave ends one request.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.closeIfIdle()
}

// closeIfIdle closes idle when the gate is draining and nothing is in flight.
// The caller holds g.mu. A draining gate admits nothing, so this happens once.
func (g *Gate) closeIfIdle() {
	if g.state == GateDraining && g.inFlight == 0 {
		close(g.idle)
	}
}

// admit refuses requests that the gate does not admit.
func (c *Chain) admit(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) (*api.Answer, error) {
		if refusal := c.gate.Enter(); refusal != nil {
			refusal.RetryAfter = c.settings.RetryAfter
			return nil, c.refuseUnmarked(x, refusal)
		}
		defer c.gate.Leave()
		return next(ctx, x)
	}
}

// remaining returns the time until the exchange's deadline.
func (x *Exchange) remaining(now time.Time) time.Duration {
	return x.Deadline.Sub(now)
}
