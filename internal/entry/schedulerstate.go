package entry

import (
	"math/rand/v2"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/config"
	"github.com/skylarklock/skylarklock/internal/controller/placement"
	"github.com/skylarklock/skylarklock/internal/scheduler"
)

// schedulerState combines a scheduler and the state that it plans on, and keeps both
// up to date with the policy and the quotas in force.
type schedulerState struct {
	*scheduler.State
	scheduler      *scheduler.Scheduler
	configState    *config.StateMachine
	configRevision api.Revision // at which the policy and the quotas were last read
	quotas         map[string]api.QuotaSpec
}

// newSchedulerState returns an empty scheduler state.
func (n *Node) newSchedulerState() placement.SchedulerState {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	w := &schedulerState{
		State:       scheduler.NewState(),
		scheduler:   scheduler.New(scheduler.Config{Policy: n.streams.configState.Policy()}, random),
		configState: n.streams.configState,
		quotas:      make(map[string]api.QuotaSpec),
	}
	w.refresh()
	return w
}

// Cycle implements placement.SchedulerState.
func (w *schedulerState) Cycle(now time.Time, maxStarts int) scheduler.Plan {
	if w.configState.Revision() != w.configRevision {
		w.refresh()
	}
	return w.scheduler.Cycle(w.State, now, maxStarts)
}

// refresh applies the policy and the quotas in force. It reads the revision first,
// so that a record that is accepted in the meantime causes another refresh.
func (w *schedulerState) refresh() {
	w.configRevision = w.configState.Revision()
	w.scheduler.SetPolicy(w.configState.Policy())
	current := make(map[string]bool)
	for _, quota := range w.configState.Quotas() {
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
