package capacity

import (
	"fmt"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/ownership"
)

// rosterSizes are the numbers of entry VMs of one data centre.
var rosterSizes = []int{3, 9, 30, 90}

// identity returns the identity of the i-th entry VM.
func identity(i int) ownership.Identity {
	return ownership.Identity{Node: api.NodeID(fmt.Sprintf("dc-a-entry%02d", i)), Incarnation: api.Incarnation(i + 1)}
}

// settledTable returns a table in which every shard is held by its preferred member.
func settledTable(members int) (*ownership.Table, error) {
	t := ownership.NewTable()
	var nodes []api.NodeID
	for i := range members {
		nodes = append(nodes, identity(i).Node)
		if err := t.Apply(ownership.Join{Process: identity(i), Address: fmt.Sprintf("127.0.0.1:%d", 10_000+i)}); err != nil {
			return nil, err
		}
	}
	for round := range 2 { // in the second round, each member acknowledges the acknowledgements of the others
		for i := range members {
			ack := ownership.Acknowledge{Process: identity(i), Version: t.Version, Members: uint32(members)}
			if err := t.Apply(ack); err != nil && round == 0 {
				return nil, err
			}
		}
	}
	for _, shard := range ownership.Shards() {
		holder := t.Members[ownership.PreferredNode(shard, nodes)].Process
		if err := t.Apply(ownership.Claim{Process: holder, Shards: []ownership.ShardAt{{Shard: shard}}}); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// healthyView returns the view of the first member in a roster whose members are
// all alive.
func healthyView(t *ownership.Table, members int, now time.Time) ownership.PlanInput {
	v := ownership.PlanInput{
		Table: t, Evidence: ownership.NewEvidence(identity(0)), Limits: ownership.DefaultPlanLimits(),
		Timing: ownership.Timing{HoldDuration: ownership.DefaultHoldDuration, MaxClockDrift: ownership.DefaultMaxClockDrift},
		Health: make(map[api.NodeID]ownership.Health),
	}
	v.Evidence.ConfirmedAt = now
	for i := 1; i < members; i++ {
		process := identity(i)
		v.Health[process.Node] = ownership.Health{Process: process, AliveFor: time.Minute}
	}
	return v
}

// measurePlan returns the processor time, in us, of one plan in a roster without
// changes.
func measurePlan(members int) (float64, error) {
	const plans = 3000
	t, err := settledTable(members)
	if err != nil {
		return 0, err
	}
	now := time.Now()
	v := healthyView(t, members, now)
	seconds, err := measureCPUSeconds(func() error {
		for range plans {
			ownership.Plan(now, v)
		}
		return nil
	})
	return seconds * microsPerSecond / plans, err
}

func ownershipPlanMeasurements() []Measurement {
	return []Measurement{{
		Name: "ownership_plan_time", XLabel: "entry VMs in the roster, 65 shards", YLabel: "processor time of a plan, us",
		Sizes: rosterSizes, Run: measurePlan,
	}}
}
