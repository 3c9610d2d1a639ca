package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// A job that was looked at before the fleet was known is judged again once it
// is: nothing that becomes free would ever wake it.
func TestJobTooBigIsToldOnceTheFleetIsKnown(t *testing.T) {
	w := NewState()
	s := New(Config{}, rand.New(rand.NewPCG(1, 2)))
	now := time.Unix(0, 0)
	small := VM{ID: "v", Rack: "r", Capacity: api.Resources{MilliCPU: 1000, MemoryMB: 1000}}
	big := api.JobSpec{ID: "big", Team: "t", Class: api.ClassBatch, Tasks: 1, Resources: api.Resources{MilliCPU: 2000, MemoryMB: 10}}
	steps := []func(){
		func() { w.PutJob(Job{Spec: big, Submitted: now, Pending: []uint32{0}, Estimate: big.Resources}) },
		func() { w.PutVM(small) },
		func() { small.Schedulable = true; w.PutVM(small) },
	}
	told := 0
	for _, step := range steps {
		step()
		now = now.Add(time.Second)
		told += len(s.Cycle(w, now, 10).Infeasible)
	}
	if told != 1 {
		t.Fatalf("told %d times that the job can never run, want once", told)
	}
}
