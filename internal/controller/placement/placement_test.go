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
	runCell(t, 3, func(c *testCell) {
		c.submit(batchSpec("sweep", 20, 10*time.Second))
		c.await("sweep", api.TaskRunning, 12, 5*time.Second)
		c.await("sweep", api.TaskFinished, 20, 40*time.Second)
		if job, _ := c.machine.Job("sweep"); !job.Ended {
			t.Error("the job has not ended")
		}
		for _, w := range c.workers {
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
	runCell(t, 3, func(c *testCell) {
		c.submit(batchSpec("sweep", 8, time.Minute))
		c.await("sweep", api.TaskRunning, 8, 5*time.Second)
		c.workers["vm-0"].SetFaults(standin.Faults{Frozen: true})
		time.Sleep(4 * time.Second)
		if n := len(c.machine.TasksOnVM("vm-0")); n != 4 {
			t.Errorf("%d attempts left before the lease can have expired, want 4", n)
		}
		time.Sleep(6 * time.Second)
		if n := len(c.machine.TasksOnVM("vm-0")); n != 0 {
			t.Errorf("%d attempts left after the lease has certainly expired", n)
		}
		c.await("sweep", api.TaskRunning, 8, 5*time.Second)
		c.workers["vm-0"].SetFaults(standin.Faults{})
		c.await("sweep", api.TaskFinished, 8, 2*time.Minute)
		view, _ := c.machine.Task(api.TaskID{Job: "sweep"})
		if view.Attempt != 2 || view.Failures != 0 {
			t.Errorf("%+v", view)
		}
	})
}

func TestRestartedVMLosesItsTasksImmediately(t *testing.T) {
	runCell(t, 2, func(c *testCell) {
		c.submit(batchSpec("sweep", 4, time.Minute))
		c.await("sweep", api.TaskRunning, 4, 5*time.Second)
		c.workers["vm-0"].Restart()
		time.Sleep(3 * time.Second)
		c.await("sweep", api.TaskRunning, 4, time.Second)
		for index := range uint32(4) {
			if view, _ := c.machine.Task(api.TaskID{Job: "sweep", Index: index}); view.Attempt != 2 {
				t.Errorf("%+v", view)
			}
		}
	})
}

// The tasks of a service on a leaving VM stop only after their replacements run.
func TestLeavingVMIsDrained(t *testing.T) {
	runCell(t, 3, func(c *testCell) {
		svc := batchSpec("bench", 3, 0)
		svc.Class = api.ClassService
		c.submit(svc)
		c.submit(batchSpec("sweep", 1, time.Minute))
		c.await("bench", api.TaskRunning, 3, 5*time.Second)
		c.await("sweep", api.TaskRunning, 1, 5*time.Second)
		c.list.markLeaving(0)
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if job, _ := c.machine.Job("bench"); job.Counts[api.TaskRunning] < 3 {
				c.t.Fatalf("task stopped before its replacement ran: %v", job.Counts)
			}
		}
		if n := len(c.machine.TasksOnVM("vm-0")); n != 0 {
			t.Errorf("%d attempts left on the leaving VM", n)
		}
		c.await("sweep", api.TaskFinished, 1, 2*time.Minute)
		if job, _ := c.machine.Job("bench"); job.Counts[api.TaskCancelled] != 3 {
			t.Errorf("%v", job.Counts)
		}
	})
}

// When a VM with some tasks of a gang restarts, the other tasks stop and all start again.
func TestBrokenGangRestartsAsAWhole(t *testing.T) {
	runCell(t, 4, func(c *testCell) {
		gang := batchSpec("gang", 6, time.Minute)
		gang.Class = api.ClassGang
		c.submit(gang)
		c.await("gang", api.TaskRunning, 6, 5*time.Second)
		c.workers["vm-0"].Restart()
		time.Sleep(5 * time.Second)
		c.await("gang", api.TaskRunning, 6, 10*time.Second)
		for index := range uint32(6) {
			if view, _ := c.machine.Task(api.TaskID{Job: "gang", Index: index}); view.Attempt != 2 {
				t.Errorf("%+v", view)
			}
		}
		c.await("gang", api.TaskFinished, 6, 2*time.Minute)
	})
}

// A new holder adopts the running tasks of VMs that answer, without restarting them.
func TestTakeoverAdoptsRunningTasks(t *testing.T) {
	runCell(t, 2, func(c *testCell) {
		c.submit(batchSpec("sweep", 6, 30*time.Second))
		c.await("sweep", api.TaskRunning, 6, 5*time.Second)
		c.mu.Lock()
		c.epoch, c.takeover = 2, time.Now()
		c.mu.Unlock()
		c.await("sweep", api.TaskFinished, 6, time.Minute)
		if view, _ := c.machine.Task(api.TaskID{Job: "sweep"}); view.Attempt != 1 {
			t.Errorf("%+v", view)
		}
	})
}

func TestCancelledJobStopsItsTasks(t *testing.T) {
	runCell(t, 2, func(c *testCell) {
		c.submit(batchSpec("sweep", 20, time.Minute))
		c.await("sweep", api.TaskRunning, 8, 5*time.Second)
		if err := c.Propose(t.Context(), cell.CancelEntry([]api.JobID{"sweep"}, 0)); err != nil {
			c.t.Fatal(err)
		}
		c.await("sweep", api.TaskCancelled, 20, 4*time.Second)
	})
}

// Under random faults every task completes and none runs on two VMs at once. If the
// VMs themselves do not fail, no task runs to completion twice.
func TestNoTaskRunsTwiceUnderRandomFaults(t *testing.T) {
	for seed := range uint64(6) {
		runCell(t, 4, func(c *testCell) {
			c.vmFaults = seed%2 == 0
			rng := rand.New(rand.NewPCG(seed, 3))
			c.mu.Lock()
			c.rng = rand.New(rand.NewPCG(seed, 4))
			c.mu.Unlock()
			for c.Propose(t.Context(), cell.SubmitEntry(batchSpec("sweep", 40, 20*time.Second), 0)) != nil {
				continue
			}
			for range 40 {
				time.Sleep(time.Duration(rng.IntN(8)) * time.Second)
				w := c.workers[api.VMID(fmt.Sprintf("vm-%d", rng.IntN(4)))]
				switch fault := rng.IntN(4); {
				case fault == 0 && c.vmFaults:
					w.Restart()
				case fault == 1 && c.vmFaults:
					w.SetFaults(standin.Faults{Frozen: true, IgnoreFences: true})
				case fault == 2:
					w.SetFaults(standin.Faults{IgnoreFences: true})
				default:
					c.mu.Lock()
					c.epoch, c.takeover = c.epoch+1, time.Now()
					c.mu.Unlock()
				}
			}
			for _, w := range c.workers {
				w.SetFaults(standin.Faults{})
			}
			c.await("sweep", api.TaskFinished, 40, 10*time.Minute)
		})
	}
}

// A network fault swallows the messages to most VMs before and after a takeover. The
// other VMs must keep their leases.
func TestUnresponsiveVMsDoNotStarveOthers(t *testing.T) {
	const vms, healthy = 300, 50
	runCell(t, vms, func(c *testCell) {
		c.submit(batchSpec("sweep", 4*healthy, time.Hour))
		c.await("sweep", api.TaskRunning, 4*healthy, 10*time.Second)
		c.mu.Lock()
		c.hanging = map[api.VMID]bool{}
		for id := range c.workers {
			c.hanging[id] = len(c.machine.TasksOnVM(id)) == 0
		}
		c.mu.Unlock()
		time.Sleep(20 * time.Second)
		c.mu.Lock()
		c.epoch, c.takeover = 2, time.Now()
		c.mu.Unlock()
		time.Sleep(20 * time.Second)
		for index := range uint32(4 * healthy) {
			if view, _ := c.machine.Task(api.TaskID{Job: "sweep", Index: index}); view.State != api.TaskRunning || view.Attempt != 1 {
				c.t.Fatalf("%+v", view)
			}
		}
	})
}

// Running tasks continue while the log is unavailable. Their ends are journaled
// afterwards.
func TestTasksKeepRunningWhileLogIsDown(t *testing.T) {
	runCell(t, 2, func(c *testCell) {
		c.submit(batchSpec("long", 2, time.Minute))
		c.submit(batchSpec("short", 2, 10*time.Second))
		c.await("long", api.TaskRunning, 2, 5*time.Second)
		c.await("short", api.TaskRunning, 2, 5*time.Second)
		c.setLogDown(true)
		time.Sleep(40 * time.Second)
		c.setLogDown(false)
		c.await("short", api.TaskFinished, 2, 3*time.Second)
		c.await("long", api.TaskFinished, 2, time.Minute)
		for _, id := range []api.JobID{"long", "short"} {
			if view, _ := c.machine.Task(api.TaskID{Job: id}); view.Attempt != 1 {
				t.Errorf("%+v", view)
			}
		}
	})
}

// A list that suddenly shrinks, here to no VM at all, is not trusted and removes no VM.
// A list that lacks a single VM removes that VM.
func TestUntrustedListRemovesNoVM(t *testing.T) {
	runCell(t, 10, func(c *testCell) {
		all := c.list.replace(nil)
		time.Sleep(2 * time.Minute)
		if n := len(c.machine.VMs()); n != 10 {
			t.Errorf("got %d VMs after an empty list, want 10", n)
		}
		c.list.replace(all[1:])
		time.Sleep(time.Minute)
		if n := len(c.machine.VMs()); n != 9 {
			t.Errorf("got %d VMs after the removal of one, want 9", n)
		}
	})
}
