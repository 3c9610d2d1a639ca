package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/platform"
	standin "github.com/skylarklock/skylarklock/internal/standin/worker"
)

func TestJobRunsToCompletion(t *testing.T) {
	runCell(t, 3, func(b *testCell) {
		b.submit(batchSpec("sweep", 20, 10*time.Second))
		b.await("sweep", api.TaskRunning, 12, 5*time.Second)
		b.await("sweep", api.TaskFinished, 20, 40*time.Second)
		if job, _ := b.machine.Job("sweep"); !job.Ended {
			t.Error("the job has not ended")
		}
		for _, w := range b.workers {
			for _, r := range w.Record().Runs {
				if r.Attempt != 1 || r.State != platform.RunSucceeded {
					t.Errorf("%+v", r)
				}
			}
		}
	})
}

// A VM that stops answering keeps its tasks until its lease has expired. Then they
// run elsewhere, and checkRuns verifies that no task runs on two VMs at once.
func TestFrozenVMLosesItsTasksAfterLeaseExpiry(t *testing.T) {
	runCell(t, 3, func(b *testCell) {
		b.submit(batchSpec("sweep", 8, time.Minute))
		b.await("sweep", api.TaskRunning, 8, 5*time.Second)
		b.workers["vm-0"].SetFaults(standin.Faults{Frozen: true})
		time.Sleep(4 * time.Second)
		if n := len(b.machine.TasksOnVM("vm-0")); n != 4 {
			t.Errorf("%d attempts left before the lease can have expired, want 4", n)
		}
		time.Sleep(6 * time.Second)
		if n := len(b.machine.TasksOnVM("vm-0")); n != 0 {
			t.Errorf("%d attempts left after the lease has certainly expired", n)
		}
		b.await("sweep", api.TaskRunning, 8, 5*time.Second)
		b.workers["vm-0"].SetFaults(standin.Faults{})
		b.await("sweep", api.TaskFinished, 8, 2*time.Minute)
		view, _ := b.machine.Task(api.TaskID{Job: "sweep"})
		if view.Attempt != 2 || view.Failures != 0 {
			t.Errorf("%+v", view)
		}
	})
}

func TestRestartedVMLosesItsTasksImmediately(t *testing.T) {
	runCell(t, 2, func(b *testCell) {
		b.submit(batchSpec("sweep", 4, time.Minute))
		b.await("sweep", api.TaskRunning, 4, 5*time.Second)
		b.workers["vm-0"].Restart()
		time.Sleep(3 * time.Second)
		b.await("sweep", api.TaskRunning, 4, time.Second)
		for index := range uint32(4) {
			if view, _ := b.machine.Task(api.TaskID{Job: "sweep", Index: index}); view.Attempt != 2 {
				t.Errorf("%+v", view)
			}
		}
	})
}

// The tasks of a service on a leaving VM stop only after their replacements run.
func TestLeavingVMIsDrained(t *testing.T) {
	runCell(t, 3, func(b *testCell) {
		svc := batchSpec("bench", 3, 0)
		svc.Class = api.ClassService
		b.submit(svc)
		b.submit(batchSpec("sweep", 1, time.Minute))
		b.await("bench", api.TaskRunning, 3, 5*time.Second)
		b.await("sweep", api.TaskRunning, 1, 5*time.Second)
		b.list.markLeaving(0)
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if job, _ := b.machine.Job("bench"); job.Counts[api.TaskRunning] < 3 {
				b.t.Fatalf("task stopped before its replacement ran: %v", job.Counts)
			}
		}
		if n := len(b.machine.TasksOnVM("vm-0")); n != 0 {
			t.Errorf("%d attempts left on the leaving VM", n)
		}
		b.await("sweep", api.TaskFinished, 1, 2*time.Minute)
		if job, _ := b.machine.Job("bench"); job.Counts[api.TaskCancelled] != 3 {
			t.Errorf("%v", job.Counts)
		}
	})
}

// When a VM with some tasks of a gang restarts, the other tasks stop and all start again.
func TestBrokenGangRestartsAsAWhole(t *testing.T) {
	runCell(t, 4, func(b *testCell) {
		gang := batchSpec("gang", 6, time.Minute)
		gang.Class = api.ClassGang
		b.submit(gang)
		b.await("gang", api.TaskRunning, 6, 5*time.Second)
		b.workers["vm-0"].Restart()
		time.Sleep(5 * time.Second)
		b.await("gang", api.TaskRunning, 6, 10*time.Second)
		for index := range uint32(6) {
			if view, _ := b.machine.Task(api.TaskID{Job: "gang", Index: index}); view.Attempt != 2 {
				t.Errorf("%+v", view)
			}
		}
		b.await("gang", api.TaskFinished, 6, 2*time.Minute)
	})
}

// A new holder adopts the running tasks of VMs that answer, without restarting them.
func TestTakeoverAdoptsRunningTasks(t *testing.T) {
	runCell(t, 2, func(b *testCell) {
		b.submit(batchSpec("sweep", 6, 30*time.Second))
		b.await("sweep", api.TaskRunning, 6, 5*time.Second)
		b.mu.Lock()
		b.epoch, b.takeover = 2, time.Now()
		b.mu.Unlock()
		b.await("sweep", api.TaskFinished, 6, time.Minute)
		if view, _ := b.machine.Task(api.TaskID{Job: "sweep"}); view.Attempt != 1 {
			t.Errorf("%+v", view)
		}
	})
}

func TestCancelledJobStopsItsTasks(t *testing.T) {
	runCell(t, 2, func(b *testCell) {
		b.submit(batchSpec("sweep", 20, time.Minute))
		b.await("sweep", api.TaskRunning, 8, 5*time.Second)
		if err := b.Propose(t.Context(), cell.CancelEntry([]api.JobID{"sweep"}, 0)); err != nil {
			b.t.Fatal(err)
		}
		b.await("sweep", api.TaskCancelled, 20, 4*time.Second)
	})
}

// Under random faults every task completes and none runs on two VMs at once. If the
// VMs themselves do not fail, no task runs to completion twice.
func TestNoTaskRunsTwiceUnderRandomFaults(t *testing.T) {
	for seed := range uint64(6) {
		runCell(t, 4, func(b *testCell) {
			b.vmFaults = seed%2 == 0
			rng := rand.New(rand.NewPCG(seed, 3))
			b.mu.Lock()
			b.rng = rand.New(rand.NewPCG(seed, 4))
			b.mu.Unlock()
			for b.Propose(t.Context(), cell.SubmitEntry(batchSpec("sweep", 40, 20*time.Second), 0)) != nil {
				continue
			}
			for range 40 {
				time.Sleep(time.Duration(rng.IntN(8)) * time.Second)
				w := b.workers[api.VMID(fmt.Sprintf("vm-%d", rng.IntN(4)))]
				switch fault := rng.IntN(4); {
				case fault == 0 && b.vmFaults:
					w.Restart()
				case fault == 1 && b.vmFaults:
					w.SetFaults(standin.Faults{Frozen: true, IgnoreFences: true})
				case fault == 2:
					w.SetFaults(standin.Faults{IgnoreFences: true})
				default:
					b.mu.Lock()
					b.epoch, b.takeover = b.epoch+1, time.Now()
					b.mu.Unlock()
				}
			}
			for _, w := range b.workers {
				w.SetFaults(standin.Faults{})
			}
			b.await("sweep", api.TaskFinished, 40, 10*time.Minute)
		})
	}
}

// A network fault swallows the messages to most VMs before and after a takeover. The
// other VMs must keep their leases.
func TestUnresponsiveVMsDoNotStarveOthers(t *testing.T) {
	const vms, healthy = 300, 50
	runCell(t, vms, func(b *testCell) {
		b.submit(batchSpec("sweep", 4*healthy, time.Hour))
		b.await("sweep", api.TaskRunning, 4*healthy, 10*time.Second)
		b.mu.Lock()
		b.hanging = map[api.VMID]bool{}
		for id := range b.workers {
			b.hanging[id] = len(b.machine.TasksOnVM(id)) == 0
		}
		b.mu.Unlock()
		time.Sleep(20 * time.Second)
		b.mu.Lock()
		b.epoch, b.takeover = 2, time.Now()
		b.mu.Unlock()
		time.Sleep(20 * time.Second)
		for index := range uint32(4 * healthy) {
			if view, _ := b.machine.Task(api.TaskID{Job: "sweep", Index: index}); view.State != api.TaskRunning || view.Attempt != 1 {
				b.t.Fatalf("%+v", view)
			}
		}
	})
}

// Running tasks continue while the log is unavailable. Their ends are journaled
// afterwards.
func TestTasksKeepRunningWhileLogIsDown(t *testing.T) {
	runCell(t, 2, func(b *testCell) {
		b.submit(batchSpec("long", 2, time.Minute))
		b.submit(batchSpec("short", 2, 10*time.Second))
		b.await("long", api.TaskRunning, 2, 5*time.Second)
		b.await("short", api.TaskRunning, 2, 5*time.Second)
		b.setLogDown(true)
		time.Sleep(40 * time.Second)
		b.setLogDown(false)
		b.await("short", api.TaskFinished, 2, 3*time.Second)
		b.await("long", api.TaskFinished, 2, time.Minute)
		for _, id := range []api.JobID{"long", "short"} {
			if view, _ := b.machine.Task(api.TaskID{Job: id}); view.Attempt != 1 {
				t.Errorf("%+v", view)
			}
		}
	})
}

// An empty list removes no VM, because it is not trusted. A list that lacks a single
// VM removes that VM.
func TestUntrustedListRemovesNoVM(t *testing.T) {
	runCell(t, 10, func(b *testCell) {
		all := b.list.replace(nil)
		time.Sleep(2 * time.Minute)
		if n := len(b.machine.VMs()); n != 10 {
			t.Errorf("got %d VMs after an empty list, want 10", n)
		}
		b.list.replace(all[1:])
		time.Sleep(time.Minute)
		if n := len(b.machine.VMs()); n != 9 {
			t.Errorf("got %d VMs after the removal of one, want 9", n)
		}
	})
}
