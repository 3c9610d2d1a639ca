package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// A job that was parked before the fleet was known must be checked for feasibility once
// the fleet is known, because no freed capacity would ever wake it.
func TestOversizedJobIsReportedOnceFleetIsKnown(t *testing.T) {
	st := NewState()
	s := New(Config{}, rand.New(rand.NewPCG(1, 2)))
	now := time.Unix(0, 0)
	small := VM{ID: "v", Rack: "r", Capacity: api.Resources{MilliCPU: 1000, MemoryMB: 1000}}
	oversized := api.JobSpec{ID: "big", Team: "t", Class: api.ClassBatch, Tasks: 1, Resources: api.Resources{MilliCPU: 2000, MemoryMB: 10}}
	steps := []func(){
		func() {
			st.PutJob(Job{Spec: oversized, Submitted: now, Pending: []uint32{0}, Estimate: oversized.Resources})
		},
		func() { st.PutVM(small) },
		func() { small.Schedulable = true; st.PutVM(small) },
	}
	reported := 0
	for _, step := range steps {
		step()
		now = now.Add(time.Second)
		reported += len(s.Cycle(st, now, 10).Infeasible)
	}
	if reported != 1 {
		t.Fatalf("job reported as infeasible %d times, want once", reported)
	}
}
