package plan

import (
	"slices"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// An executor that refuses a ticket is no longer among those that the step is known to be permitted on,
// and may be asked about again.
func TestRefusedTicketIsForgotten(t *testing.T) {
	env := newTestEnv(t, 2)
	env.submitJob(1, testAdvisedQueue, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Minute})
	call := env.cell.AdviceCalls(env.now, acceptingDispatcher{})[0]
	env.cell.HandleGrants(call, grants("e0", "e1"), 2*time.Second, env.now)
	orders := env.runCycle()
	refusedBy := orders[0].Start.To.ID
	env.cell.HandleStartAnswer(orders[0].Start, &platform.RefusedError{Reason: platform.RefusedTicket}, env.now)
	s := env.cell.waitingSteps[0]
	for _, v := range env.cell.permittedVMs(s, env.cell.queueOf(s.job)) {
		if v.Ref.ID == refusedBy {
			t.Errorf("%s refused the ticket and counts as permitted", refusedBy)
		}
	}
	if p := s.advice.permissionOn(env.cell.vms[refusedBy]); p != permissionUnknown {
		t.Errorf("the permission on %s is %d, want unknown", refusedBy, p)
	}
	if starts := env.cell.Plan(env.now); slices.ContainsFunc(starts, func(st Start) bool { return st.To.ID == refusedBy }) {
		t.Errorf("a start without a ticket is planned on %s", refusedBy)
	}
}
