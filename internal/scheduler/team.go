package scheduler

import "github.com/skylarklock/skylarklock/api"

// teamState is the quota and the allocated resources of a team.
type teamState struct {
	name      string
	hasQuota  bool
	quota     api.Resources
	weight    int64
	allocated api.Resources // running and reserved
	parked    []*shapeQueue // queues that wait for the quota
	waking    bool          // listed in State.waking
}

// PutQuota sets or replaces the quota and weight of a team. A team without a quota is
// unbounded and has a weight of 1.
func (st *State) PutQuota(q api.QuotaSpec) {
	t := st.teamOf(q.Team)
	t.hasQuota = true
	t.quota = q.Max
	t.weight = max(q.Weight, 1)
	st.invalidateFeasibility()
	st.wakeTeam(t)
}

// TeamUsage returns the resources of a team's running and reserved tasks.
func (st *State) TeamUsage(team string) api.Resources {
	t := st.teams[team]
	if t == nil {
		return api.Resources{}
	}
	return t.allocated
}

func (st *State) teamOf(name string) *teamState {
	t := st.teams[name]
	if t == nil {
		t = &teamState{name: name, weight: 1}
		st.teams[name] = t
	}
	return t
}

// allows reports whether the quota allows need in addition to the allocated
// resources.
func (t *teamState) allows(need api.Resources) bool {
	return !t.hasQuota || t.allocated.Add(need).Fits(t.quota)
}

// dominantShare returns the largest share of any one resource of the fleet that the
// team holds, divided by the weight of the team.
func (t *teamState) dominantShare(total api.Resources) float64 {
	dominant := fraction(t.allocated.MilliCPU, total.MilliCPU)
	dominant = max(dominant, fraction(t.allocated.MemoryMB, total.MemoryMB))
	dominant = max(dominant, fraction(t.allocated.Accelerators, total.Accelerators))
	return dominant / float64(t.weight)
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
