package scheduler

import "github.com/skylarklock/skylarklock/api"

// SetPolicy puts a published policy in force from the next cycle on. Zero
// fields take their defaults.
func (s *Scheduler) SetPolicy(p api.PolicySpec) {
	cfg := s.cfg
	cfg.Policy = p
	s.cfg = cfg.WithDefaults()
}

// RemoveQuota lets a team hold what it can get, with a weight of 1.
func (w *State) RemoveQuota(team string) {
	t := w.teams[team]
	if t == nil || !t.limited {
		return
	}
	t.limited = false
	t.max = api.Resources{}
	t.weight = 1
	w.judgeAgain()
	w.wakeTeam(t)
}
