package plan

import (
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

// busyDispatcher accepts every advice call and reports a share of busy machines.
type busyDispatcher struct {
	acceptingDispatcher
	share float64
}

func (d busyDispatcher) BusyShare(queue.CallTime) float64 { return d.share }

// A step that can't be of use any more must not take a machine that others wait for, and must not be
// forgotten once they don't. The log line counts it once, however often it is checked.
func TestOverdueStepMakesNoCallWhileMachinesAreScarce(t *testing.T) {
	for _, gang := range []bool{false, true} {
		env := newTestEnv(t, 4)
		logger, lines := logtest.NewNullLogger()
		env.cell.logger = logrus.NewEntry(logger)
		env.submitJob(1, testAdvisedQueue, work.Step{TaskCount: 2, TaskResources: cpus(4), Estimate: time.Second, Gang: gang})
		env.advance(9 * time.Second) // three times its objective of 3 s
		env.reportAll()
		env.runCycle()
		for range 3 {
			if calls := env.cell.AdviceCalls(env.now, busyDispatcher{share: 0.9}); len(calls) > 0 {
				t.Errorf("gang %v: %d calls while machines are scarce", gang, len(calls))
			}
			env.advance(lateCheckInterval)
		}
		env.reportAll()
		if calls := env.cell.AdviceCalls(env.now, busyDispatcher{share: 0.2}); len(calls) != 1 {
			t.Errorf("gang %v: %d calls while machines are free", gang, len(calls))
		}
		env.cell.logSummary(env.now)
		if got := lines.LastEntry().Data["calls_held_overdue"]; got != 1 {
			t.Errorf("gang %v: the summary counts %v held calls", gang, got)
		}
		env.cell.logSummary(env.now)
		if got := lines.LastEntry().Data["calls_held_overdue"]; got != 0 {
			t.Errorf("gang %v: the next summary counts %v held calls", gang, got)
		}
	}
}

// In a full cell each call for a step of 20 tasks would name 100 executors, of which it needs a few.
func TestCallNamesWhatTheTasksNeedWhileMachinesAreScarce(t *testing.T) {
	for _, gang := range []bool{false, true} {
		for _, c := range []struct {
			share    float64
			min, max int
		}{{0.2, 100, 100}, {0.9, 20, 70}} {
			env := newTestEnv(t, 150)
			env.advance(2 * time.Second)
			env.reportAll()
			env.fillExecutors(0, 148)
			env.submitJob(1, testAdvisedQueue, work.Step{TaskCount: 20, TaskResources: cpus(4), Estimate: time.Second, Gang: gang})
			env.runCycle()
			calls := env.cell.AdviceCalls(env.now, busyDispatcher{share: c.share})
			if len(calls) != 1 {
				t.Fatalf("gang %v, busy %v: %d calls", gang, c.share, len(calls))
			}
			if n := len(calls[0].Executors); n < c.min || n > c.max {
				t.Errorf("gang %v, busy %v: a call names %d executors, want %d to %d", gang, c.share, n, c.min, c.max)
			}
		}
	}
}

// A short step waits on a full cell with valid tickets: when capacity becomes free after they have
// expired, the time of a call would make it late.
func TestShortStepRenewsBeforeItsTicketsExpire(t *testing.T) {
	for _, share := range []float64{0, 1} {
		env := newTestEnv(t, 4)
		env.configure = shortQueueConfig
		env.cell.Configure(env.configure())
		env.submitJob(1, testAdvisedQueue, work.Step{TaskCount: 2, TaskResources: cpus(4), Estimate: 2 * time.Second})
		env.runCycle()
		calls := env.cell.AdviceCalls(env.now, acceptingDispatcher{})
		env.fillExecutors(0, 4)
		env.cell.HandleGrants(calls[0], grants("e0", "e1", "e2"), 2*time.Second, env.now)
		s := env.cell.waitingSteps[0]
		renewals := 0
		for range 500 { // of 10 ms; it can be of use for 6.7 s
			env.advance(10 * time.Millisecond)
			env.reportAll()
			env.fillExecutors(0, 4)
			env.runCycle()
			if !s.advice.hasValidTicket(env.now) {
				t.Fatalf("busy %v: the tickets have expired after %v", share, env.now.Sub(testStart))
			}
			for _, call := range env.cell.AdviceCalls(env.now, busyDispatcher{share: share}) {
				renewals++
				env.cell.HandleGrants(call, grants(call.Executors...), 2*time.Second, env.now)
			}
		}
		if renewals < 2 || renewals > 4 {
			t.Errorf("busy %v: %d renewals in 5 s", share, renewals)
		}
	}
}

// A short step whose permitted executors have all left must ask about others rather than renew.
func TestShortStepWithoutPermittedExecutorsAsksAboutOthers(t *testing.T) {
	env := newTestEnv(t, 2)
	env.configure = shortQueueConfig
	env.cell.Configure(env.configure())
	env.submitJob(1, testAdvisedQueue, work.Step{TaskCount: 2, TaskResources: cpus(4), Estimate: 2 * time.Second})
	calls := env.cell.AdviceCalls(env.now, acceptingDispatcher{})
	env.cell.HandleGrants(calls[0], grants("e0"), 2*time.Second, env.now)
	env.registry["e0"].Draining = true
	env.addExecutor("e2")
	env.runCycle()
	env.advance(2 * time.Second)
	env.reportAll()
	env.runCycle()
	calls = env.cell.AdviceCalls(env.now, acceptingDispatcher{})
	if len(calls) != 1 || !slices.Equal(calls[0].Executors, []string{"e2"}) {
		t.Errorf("calls %v", calls)
	}
}

// shortQueueConfig returns queues of which the advised one makes steps of 2 s short.
func shortQueueConfig() *queue.Configuration {
	cfg := testQueueConfig()
	cfg.Queues[1].Stretch, cfg.Queues[1].TargetLatency = 1, 900*time.Millisecond
	return cfg
}

// An unknown load must not restrict calls: dispatchers need not report it.
func TestDispatcherWithoutLoadIsUnrestricted(t *testing.T) {
	env := newTestEnv(t, 4)
	env.submitJob(1, testAdvisedQueue, work.Step{TaskCount: 2, TaskResources: cpus(4), Estimate: time.Second})
	env.advance(9 * time.Second)
	env.reportAll()
	env.runCycle()
	if calls := env.cell.AdviceCalls(env.now, acceptingDispatcher{}); len(calls) != 1 {
		t.Errorf("%d calls", len(calls))
	}
}
