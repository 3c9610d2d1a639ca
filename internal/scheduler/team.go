package scheduler

import "github.com/skylarklock/skylarklock/api"

// teamState is a team's quota and what it holds.
type teamState struct {
	name    string
	limited bool
	max     api.Resources
	weight  int64
	use     api.Resources // running and reserved
	parked  []*shapeQueue // waiting for the quota
	waking  bool          // listed in World.waking
}

// PutQuota sets or replaces a team's quota and weight. A team without one is
// unbounded, with a weight of 1.
func (w *State) PutQuota(q api.QuotaSpec) {
	t := w.teamOf(q.Team)
	t.limited = true
	t.max = q.Max
	t.weight = max(q.Weight, 1)
	w.judgeAgain()
	w.wakeTeam(t)
}

// TeamUsage returns what a team's running and reserved tasks hold.
func (w *State) TeamUsage(team string) api.Resources {
	t := w.teams[team]
	if t == nil {
		return api.Resources{}
	}
	return t.use
}

func (w *State) teamOf(name string) *teamState {
	t := w.teams[name]
	if t == nil {
		t = &teamState{name: name, weight: 1}
		w.teams[name] = t
	}
	return t
}

// allows reports whether the team may hold need as well.
func (t *teamState) allows(need api.Resources) bool {
	return !t.limited || t.use.Add(need).Fits(t.max)
}

// share is the team's dominant share of the fleet over its weight: the
// largest share it holds of any one resource.
func (t *teamState) share(total api.Resources) float64 {
	dominant := fraction(t.use.MilliCPU, total.MilliCPU)
	dominant = max(dominant, fraction(t.use.MemoryMB, total.MemoryMB))
	dominant = max(dominant, fraction(t.use.Accelerators, total.Accelerators))
	return dominant / float64(t.weight)
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
