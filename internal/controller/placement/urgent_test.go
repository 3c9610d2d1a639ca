package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/controller/placement"
	"github.com/skylarklock/skylarklock/internal/scheduler"
)

// urgentWithin is the users' bound on the start of urgent work.
const urgentWithin = 3800 * time.Millisecond

// scheduled is the real scheduler with its world.
type scheduled struct {
	*scheduler.State
	*scheduler.Scheduler
}

func (s scheduled) Cycle(now time.Time, maxStarts int) scheduler.Plan {
	return s.Scheduler.Cycle(s.State, now, maxStarts)
}

func newScheduled() placement.SchedulerState {
	return scheduled{scheduler.NewState(), scheduler.New(scheduler.Config{}, rand.New(rand.NewPCG(1, 1)))}
}

// In a cell that is full of checkpointable batch work, urgent work is running
// within its bound: plan, stop, checkpoint, report and start included. The
// work that gave way runs to its end later.
func TestUrgentTasksStartInFullCell(t *testing.T) {
	runWith(t, 4, newScheduled, func(b *bench) {
		wave := batch("wave", 16, time.Minute) // fills the four VMs
		wave.Checkpointable = true
		b.submit(wave)
		b.await("wave", api.TaskRunning, 16, 10*time.Second)
		time.Sleep(10 * time.Second)

		urgent := batch("urgent", 2, 5*time.Second)
		urgent.Priority = api.PriorityUrgent
		b.submit(urgent)
		start := time.Now()
		b.await("urgent", api.TaskRunning, 2, urgentWithin)
		t.Logf("urgent work running after %v", time.Since(start))
		b.await("urgent", api.TaskFinished, 2, 30*time.Second)
		b.await("wave", api.TaskFinished, 16, 3*time.Minute)
	})
}
