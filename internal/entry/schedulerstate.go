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
	s := &schedulerState{
		State:       scheduler.NewState(),
		scheduler:   scheduler.New(scheduler.Config{Policy: n.streams.configState.Policy()}, random),
		configState: n.streams.configState,
		quotas:      make(map[string]api.QuotaSpec),
	}
	s.refresh()
	return s
}

// Cycle implements placement.SchedulerState.
func (s *schedulerState) Cycle(now time.Time, maxStarts int) scheduler.Plan {
	if s.configState.Revision() != s.configRevision {
		s.refresh()
	}
	return s.scheduler.Cycle(s.State, now, maxStarts)
}

// refresh applies the policy and the quotas in force. It reads the revision first,
// so that a record that is accepted in the meantime causes another refresh.
func (s *schedulerState) refresh() {
	s.configRevision = s.configState.Revision()
	s.scheduler.SetPolicy(s.configState.Policy())
	current := make(map[string]bool)
	for _, quota := range s.configState.Quotas() {
		current[quota.Team] = true
		if s.quotas[quota.Team] != quota {
			s.quotas[quota.Team] = quota
			s.PutQuota(quota)
		}
	}
	for team := range s.quotas {
		if !current[team] {
			delete(s.quotas, team)
			s.RemoveQuota(team)
		}
	}
}
