package entry

import (
	"expvar"
	"net/http"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/config"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/operator"
	"github.com/skylarklock/skylarklock/internal/ownership"
)

// operatorHandler returns the HTTP handler for operators.
func (n *Node) operatorHandler() http.Handler {
	return operator.NewHandler(operator.Dependencies{
		Config:    n.streams.configState,
		Publisher: config.NewPublisher(n.streams.configState, n.streams.config),
		Explainer: explainer{cellState: n.streams.cellState},
		Reporter:  n,
		Counters:  n.counters,
		Vars:      n.vars(),
		Logger:    n.log,
	}, operator.Options{MaxBodyBytes: n.settings.Limits.MaxOperatorBytes})
}

// vars returns the components' own counters, besides those of refusals, retries
// and waits.
func (n *Node) vars() map[string]expvar.Var {
	stats := func(r *journal.Replica) expvar.Var {
		return expvar.Func(func() any { return r.Stats() })
	}
	return map[string]expvar.Var{
		"journal_config":  stats(n.streams.config),
		"journal_cell":    stats(n.streams.cell),
		"heartbeats":      n.members.Vars(),
		"ownership":       n.owner.Vars(),
		"peer_server":     n.peerServer.Vars(),
		"peer_heartbeats": n.heartbeatClient.Vars(),
		"peer_handovers":  n.handoverClient.Vars(),
		"requests":        expvar.Func(func() any { return n.chain.Report() }),
	}
}

// Status implements operator.Reporter.
func (n *Node) Status() api.Status {
	now := time.Now()
	status := api.Status{
		Node:        n.settings.NodeID,
		DataCentre:  n.settings.DataCentre,
		Incarnation: n.origin.Incarnation,
		Draining:    n.owner.Draining(),
		Revision:    n.streams.configState.Revision(),
		Unreadable:  n.streams.configState.UnreadableCount(),
		Requests:    n.chain.Gate().InFlight(),
		Uptime:      now.Sub(n.started),
		Tasks:       map[string]int{},
	}
	for _, r := range []struct {
		name    string
		replica *journal.Replica
	}{
		{ConfigStream, n.streams.config},
		{DataCentreStream(n.settings.DataCentre), n.streams.cell},
	} {
		status.Streams = append(status.Streams, streamStatus(r.name, r.replica, now))
		if !r.replica.Ready() {
			status.NotReady = append(status.NotReady, "stream "+r.name)
		}
	}
	status.Ready = len(status.NotReady) == 0 && n.front.Ready()
	status.Members = n.memberStatus(now)
	status.Shards = n.shardStatus(now)
	n.countTasks(status.Tasks)
	return status
}

func streamStatus(name string, r *journal.Replica, now time.Time) api.StreamStatus {
	age := time.Duration(-1)
	if confirmed := r.ConfirmedAt(); !confirmed.IsZero() {
		age = now.Sub(confirmed)
	}
	return api.StreamStatus{
		Stream: name, Applied: uint64(r.Applied()), ConfirmedAge: age,
		BacklogBytes: r.Stats().BacklogBytes, Error: errorText(r.ReadError()),
	}
}

// errorText returns the text of an error, or an empty one if there is none.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (n *Node) memberStatus(now time.Time) []api.MemberStatus {
	health := n.members.Health(now)
	roster, _ := n.streams.ownershipState.Roster()
	var list []api.MemberStatus
	for _, m := range roster {
		state := "alive"
		h := health[m.Process.Node]
		switch {
		case m.Process == identityOf(n.origin):
			state = "self"
		case h.Suspected:
			state = "suspected"
		case h.Draining:
			state = "draining"
		}
		list = append(list, api.MemberStatus{Node: m.Process.Node, Address: m.Address, State: state})
	}
	return list
}

func (n *Node) shardStatus(now time.Time) []api.ShardStatus {
	var list []api.ShardStatus
	for _, shard := range ownership.Shards() {
		if node, held := n.owner.ShardHolder(shard); !held || node != n.settings.NodeID {
			continue
		}
		epoch, state := n.owner.Authority(shard, now)
		list = append(list, api.ShardStatus{Shard: shard.String(), Epoch: epoch, Confirmed: state == ownership.AccessFull})
	}
	return list
}

func (n *Node) countTasks(tasks map[string]int) {
	for _, id := range n.streams.cellState.Jobs() {
		job, ok := n.streams.cellState.Job(id)
		if !ok {
			continue
		}
		for state, count := range job.Counts {
			tasks[api.TaskState(state).String()] += int(count)
		}
	}
}

// explainer explains the state of jobs and tasks to operators.
type explainer struct {
	cellState *cell.StateMachine
}

// ExplainJob implements operator.Explainer.
func (e explainer) ExplainJob(id api.JobID) (api.Explanation, bool) {
	x, ok := e.cellState.Explain(id)
	if !ok {
		return api.Explanation{}, false
	}
	out := explanationOf(x)
	out.Tasks = make(map[string]int, len(x.Job.Counts))
	minState := api.TaskCancelled
	for state, count := range x.Job.Counts {
		if count > 0 {
			out.Tasks[api.TaskState(state).String()] = int(count)
			minState = min(minState, api.TaskState(state))
		}
	}
	out.State = minState.String()
	return out, true
}

// ExplainTask implements operator.Explainer.
func (e explainer) ExplainTask(id api.TaskID) (api.Explanation, bool) {
	x, ok := e.cellState.ExplainTask(id)
	if !ok || x.Task == nil {
		return api.Explanation{}, false
	}
	out := explanationOf(x)
	out.Task = &x.Task.Task.Index
	out.State = x.Task.State.String()
	out.VM = x.Task.VM
	if x.Task.Reason != "" {
		out.Reason = x.Task.Reason
	}
	return out, true
}

// explanationOf returns the part that explanations of jobs and tasks have in
// common.
func explanationOf(x cell.Explanation) api.Explanation {
	out := api.Explanation{Job: x.Job.Spec.ID, Team: x.Job.Spec.Team, Class: x.Job.Spec.Class}
	if x.Wait != nil {
		out.Reason, out.Detail = x.Wait.Reason, x.Wait.Detail
	}
	for _, i := range x.Incidents {
		out.History = append(out.History, historyLine(i))
	}
	return out
}

func historyLine(i cell.Incident) api.HistoryEvent {
	return api.HistoryEvent{Event: i.Description, Task: &i.Task.Index, VM: i.VM, Reason: i.Reason, Count: 1}
}
