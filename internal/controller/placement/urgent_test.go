package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/controller/placement"
	"github.com/skylarklock/skylarklock/internal/scheduler"
)

// maxUrgentStartDelay is the users' requirement for the start of urgent tasks.
const maxUrgentStartDelay = 3800 * time.Millisecond

// realScheduler combines the real scheduler with its state.
type realScheduler struct {
	*scheduler.State
	*scheduler.Scheduler
}

func (s realScheduler) Cycle(now time.Time, maxStarts int) scheduler.Plan {
	return s.Scheduler.Cycle(s.State, now, maxStarts)
}

func newRealScheduler() placement.SchedulerState {
	return realScheduler{scheduler.NewState(), scheduler.New(scheduler.Config{}, rand.New(rand.NewPCG(1, 1)))}
}

// In a cell full of checkpointable batch tasks, urgent tasks are running within the
// required delay, which includes planning, stop, checkpoint, report and start. The
// preempted tasks complete later.
func TestUrgentTasksStartInFullCell(t *testing.T) {
	runCellWith(t, 4, newRealScheduler, func(c *testCell) {
		wave := batchSpec("wave", 16, time.Minute) // fills the four VMs
		wave.Checkpointable = true
		c.submit(wave)
		c.await("wave", api.TaskRunning, 16, 10*time.Second)
		time.Sleep(10 * time.Second)

		urgent := batchSpec("urgent", 2, 5*time.Second)
		urgent.Priority = api.PriorityUrgent
		c.submit(urgent)
		start := time.Now()
		c.await("urgent", api.TaskRunning, 2, maxUrgentStartDelay)
		t.Logf("urgent tasks running after %v", time.Since(start))
		c.await("urgent", api.TaskFinished, 2, 30*time.Second)
		c.await("wave", api.TaskFinished, 16, 3*time.Minute)
	})
}
