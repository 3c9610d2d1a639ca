package entry

import (
	"math/rand/v2"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/config"
	"github.com/skylarklock/skylarklock/internal/controller/placement"
	"github.com/skylarklock/skylarklock/internal/scheduler"
)

// world binds a scheduler to the state that it plans on and keeps both in
// step with the policy and the quotas in force.
type world struct {
	*scheduler.State
	scheduler *scheduler.Scheduler
	configs   *config.StateMachine
	revision  api.Revision // that policy and quotas were last read at
	quotas    map[string]api.QuotaSpec
}

// newWorld returns an empty world.
func (n *Node) newWorld() placement.World {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	w := &world{
		State:     scheduler.NewState(),
		scheduler: scheduler.New(scheduler.Config{Policy: n.streams.configs.Policy()}, random),
		configs:   n.streams.configs,
		quotas:    make(map[string]api.QuotaSpec),
	}
	w.refresh()
	return w
}

// Cycle implements placement.World.
func (w *world) Cycle(now time.Time, maxStarts int) scheduler.Plan {
	if w.configs.Revision() != w.revision {
		w.refresh()
	}
	return w.scheduler.Cycle(w.State, now, maxStarts)
}

// refresh puts the policy and the quotas in force. The revision is read
// first, so that a record accepted meanwhile makes for another refresh.
func (w *world) refresh() {
	w.revision = w.configs.Revision()
	w.scheduler.SetPolicy(w.configs.Policy())
	current := make(map[string]bool)
	for _, quota := range w.configs.Quotas() {
		current[quota.Team] = true
		if w.quotas[quota.Team] != quota {
			w.quotas[quota.Team] = quota
			w.PutQuota(quota)
		}
	}
	for team := range w.quotas {
		if !current[team] {
			delete(w.quotas, team)
			w.RemoveQuota(team)
		}
	}
}
