package node

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/leader"
	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/refusal"
	"github.com/skylarklock/skylarklock/internal/replica"
	"github.com/skylarklock/skylarklock/internal/work"
	"github.com/skylarklock/skylarklock/platform"
)

// newRefusingNode returns a node that has read the jobs and follows the leader of epoch 5.
func newRefusingNode(t *testing.T) *Node {
	n := &Node{
		settings: &platform.Settings{Node: "m", PeerAddress: "self", Overload: true},
		elector:  leader.New(leader.Config{Logger: logging.Nop(), OnLost: func() {}}),
		replica:  replica.New(time.Minute, logging.Nop()),
		log:      logging.Nop(),
	}
	n.reader = &replica.Reader{Replica: n.replica, Log: emptyLog{}, Timing: replica.DefaultTiming()}
	if err := n.reader.Restore(t.Context()); err != nil {
		t.Fatal(err)
	}
	n.elector.ObserveLeader(leader.Leader{Epoch: 5, Node: "l", Address: "l:1"})
	return n
}

// deliverRefusals has the leader of an epoch deliver a list that refuses the queue.
func (n *Node) deliverRefusals(epoch api.Epoch, queueName string) {
	n.elector.ObserveLeader(leader.Leader{Epoch: epoch, Node: "l", Address: "l:1"})
	n.setRefused(epoch, &refusal.News{AtMs: time.Now().UnixMilli(), Refused: []refusal.Entry{{
		Queue: queueName, CapacityMs: 1000, SpreadMs: 2000, IntervalMs: time.Hour.Milliseconds(), ObjectiveMs: time.Hour.Milliseconds(),
	}}})
}

func (n *Node) refuses(queueName string) bool {
	job := &work.Job{ID: work.ID{1}, Queue: queueName, Steps: []work.Step{{TaskCount: 1, Estimate: time.Second}}}
	return n.refuseHere(job, &queue.Queue{Name: queueName, Stretch: 2}).Refused
}

// Guards against refusals that nobody stands behind: the leader is lost between a refusal and the client's
// return, or another one leads, leads itself, or is cut off.
func TestLocalRefusalsEndWithTheLeader(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Node)
		want   bool
	}{
		{"nothing changes", func(n *Node) { n.deliverRefusals(5, "q") }, true},
		{"leader lost", func(*Node) { time.Sleep(time.Second) }, false},
		{"next leader, no list yet", func(n *Node) { n.elector.ObserveLeader(leader.Leader{Epoch: 6, Node: "k"}) }, false},
		{"next leader refuses another queue", func(n *Node) { n.deliverRefusals(6, "other") }, false},
		{"next leader, then the former one's list", func(n *Node) {
			n.elector.ObserveLeader(leader.Leader{Epoch: 6, Node: "k"})
			n.deliverRefusals(5, "q")
		}, false},
		{"this machine leads", func(n *Node) { n.epoch.Store(6) }, false},
		{"the leader is cut off", func(n *Node) { n.leaderCutOff.Store(true) }, false},
		{"without Overload", func(n *Node) { n.settings.Overload = false }, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			n := newRefusingNode(t)
			n.deliverRefusals(5, "q")
			if !n.refuses("q") || n.refuses("other") {
				t.Fatalf("%s: before, queue q refused %v, another %v", c.name, n.refuses("q"), n.refuses("other"))
			}
			c.change(n)
			if got := n.refuses("q"); got != c.want {
				t.Errorf("%s: refused %v, want %v", c.name, got, c.want)
			}
		})
	}
}

// A machine that is still reading the jobs doesn't know which IDs are stored, and jobs with a schedule are
// not refused for a wait.
func TestOnlyKnownSituationsAreRefusedHere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newRefusingNode(t)
		n.deliverRefusals(5, "q")
		scheduled := &work.Job{Queue: "q", Repetitions: 2, Steps: []work.Step{{TaskCount: 1, Estimate: time.Second}}}
		if n.refuseHere(scheduled, &queue.Queue{Name: "q"}).Refused {
			t.Error("a job with a schedule is refused")
		}
		n.replica = replica.New(time.Minute, logging.Nop())
		if n.refuses("q") {
			t.Error("refused before the jobs are read")
		}
	})
}

// A machine refuses the jobs of a full queue without calls to the leader, still accepts a job that is
// known, and accepts new jobs soon after there is capacity again.
func TestFullQueueIsRefusedWithoutTheLeader(t *testing.T) {
	env := newTestEnv(t, 1)
	overload := func(s *platform.Settings) { s.Overload = true }
	a := env.startWith(t, "a", overload)
	a.awaitReady(t)
	eventually(t, "a leads", func() bool { return a.node.runner.Load() != nil })
	b := env.startWith(t, "b", overload)
	b.awaitReady(t)
	const long = `{"specification":"10m","steps":[{"count":1,"cpu":32000,"requested_memory_mb":100,"estimated_ms":60000}]}`
	jobs, accepted := 0, []string(nil)
	submit := func() int { // a new job at b
		jobs++
		id := fmt.Sprintf("%016x", jobs)
		status, body := b.request(t, http.MethodPost, "/q/"+id, long)
		switch status {
		case http.StatusOK:
			accepted = append(accepted, id)
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		default:
			t.Errorf("job %s: answered %d %s", id, status, body)
		}
		return status
	}
	eventually(t, "b refuses jobs itself", func() bool {
		submit()
		return b.node.localRefusals.refused.Load() >= 10
	})
	if len(accepted) == 0 || len(accepted) > 10 {
		t.Fatalf("%d of %d jobs accepted", len(accepted), jobs)
	}
	if status, _ := b.request(t, http.MethodPost, "/q/"+accepted[0], long); status != http.StatusOK {
		t.Errorf("repeated submission of a known job: answered %d, want 200", status)
	}
	before := len(accepted)
	for _, id := range accepted {
		if status, body := b.request(t, http.MethodDelete, "/q/"+id, ""); status != http.StatusOK {
			t.Fatalf("cancellation: answered %d %s", status, body)
		}
	}
	cancelled := time.Now()
	eventually(t, "a new job is accepted", func() bool {
		submit()
		return len(accepted) > before
	})
	t.Logf("%d jobs, %d refused by b itself; accepted again %v after the cancellations", jobs, b.node.localRefusals.refused.Load(), time.Since(cancelled))
}
