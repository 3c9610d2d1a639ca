package scheduler

import "github.com/skylarklock/skylarklock/api"

// SetPolicy replaces the policy from the next cycle on. Zero fields take their
// defaults.
func (s *Scheduler) SetPolicy(p api.PolicySpec) {
	cfg := s.cfg
	cfg.Policy = p
	s.cfg = cfg.WithDefaults()
}

// RemoveQuota removes the quota of a team, which is then unbounded with a weight
// of 1.
func (st *State) RemoveQuota(team string) {
	t := st.teams[team]
	if t == nil || !t.hasQuota {
		return
	}
	t.hasQuota = false
	t.quota = api.Resources{}
	t.weight = 1
	st.invalidateFeasibility()
	st.wakeTeam(t)
}
