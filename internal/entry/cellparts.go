package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/config"
	"github.com/skylarklock/skylarklock/internal/controller/endpoints"
	"github.com/skylarklock/skylarklock/internal/controller/fleet"
	"github.com/skylarklock/skylarklock/internal/controller/jobs"
	"github.com/skylarklock/skylarklock/internal/controller/learning"
	"github.com/skylarklock/skylarklock/internal/controller/placement"
	"github.com/skylarklock/skylarklock/internal/controller/recovery"
	"github.com/skylarklock/skylarklock/internal/controller/vms"
	"github.com/skylarklock/skylarklock/internal/controller/worker"
	"github.com/skylarklock/skylarklock/internal/filter"
	"github.com/skylarklock/skylarklock/internal/lease"
	"github.com/skylarklock/skylarklock/internal/ownership"
	"github.com/skylarklock/skylarklock/internal/schema"
)

// cellParts are the controllers of VMs, tasks and endpoints.
type cellParts struct {
	vms       *vms.Controller
	worker    *worker.Controller
	learning  *learning.Controller
	placement *placement.Controller
	recovery  *recovery.Controller
	endpoints *endpoints.Controller
	jobs      *jobs.Controller
}

// cellAuthority tells the controllers whether this node holds the placement
// shard.
type cellAuthority struct {
	owner *ownership.Controller
}

// Cell implements the controllers' Authority.
func (a cellAuthority) Cell(now time.Time) (api.Epoch, bool, time.Time) {
	return a.owner.CellAuthority(now)
}

// newCellParts makes and connects the controllers of a node.
func newCellParts(n *Node) *cellParts {
	s, st := n.settings, n.streams
	auth := cellAuthority{owner: n.owner}
	params := lease.Params{Lease: s.Hold.Lease.Std(), Hold: s.Hold.Hold.Std(), Drift: s.Hold.Drift}
	p := new(cellParts)
	vmsConfig := vms.DefaultConfig(s.DataCentre)
	vmsConfig.Poll = s.VMList.Interval.Std()
	vmsConfig.Timeout = s.VMList.Timeout.Std()
	p.vms = vms.New(vmsConfig, n.outside.VMList, n.router.Contacts, st.tasks, st.cell, auth, n.counters, n.log, time.Now)
	p.learning = learning.New(st.configs.Policy, st.tasks, st.cell, auth, n.counters, time.Now)
	p.worker = worker.New(worker.DefaultConfig(params), st.tasks, st.cell, n.outside.Worker, p.vms, auth, p.learning, n.counters, n.log, time.Now)
	view := fleet.New(s.DataCentre, st.tasks, p.vms, p.worker, p.learning)
	p.placement = placement.New(placement.DefaultConfig(s.DataCentre), n.newWorld, st.tasks, st.cell, auth, view, p.learning, n.counters, n.log, time.Now)
	p.recovery = recovery.New(recovery.DefaultConfig(), st.tasks, st.cell, auth, view, n.counters, n.log, time.Now)
	p.endpoints = endpoints.New(p.vms, n.owner, n.router, n.outside.Endpoint, time.Now)
	p.jobs = jobs.New(jobs.Config{
		DataCentre: s.DataCentre, DataCentres: s.DataCentres, Home: filter.HomeOf,
	}, st.configs, st.tasks, st.cell, config.NewPublisher(st.configs, st.config), auth, n.counters, time.Now)
	return p
}

// loops returns what runs until the node stops.
func (p *cellParts) loops() []func(context.Context) error {
	return []func(context.Context) error{
		p.vms.Run, p.worker.Run, p.learning.Run, p.placement.Run, p.recovery.Run, p.endpoints.Run, p.jobs.Run,
	}
}

// jobs returns what takes callers' jobs.
func (n *Node) callerJobs() callerJobs {
	return callerJobs{machine: n.streams.tasks, proposer: n.streams.cell, complete: completeJob, now: time.Now}
}

// completeJob checks a caller's job as if it had been published as a record,
// and fills in the defaults where a field is zero. The error names every
// finding.
func completeJob(spec api.JobSpec) (api.JobSpec, error) {
	kind := api.KindBatchJob
	if spec.Class == api.ClassGang {
		kind = api.KindGangJob
	}
	defaults := schema.DefaultJob(spec.ID, spec.Class)
	if spec.MaxAttempts == 0 {
		spec.MaxAttempts = defaults.MaxAttempts
	}
	if spec.Priority == 0 {
		spec.Priority = defaults.Priority
	}
	data, err := json.Marshal(spec)
	if err != nil {
		return spec, err
	}
	decoded, err := schema.Decode(api.Record{
		Kind: kind, Name: string(spec.ID), SchemaVersion: schema.LatestVersion(kind), Spec: data,
	})
	if err != nil {
		return spec, err
	}
	return *decoded.Job, nil
}

// inFlight returns the most requests in flight at any endpoint of a shard.
// Placement needs none: what the former holder told a worker is bounded by
// the lease. A node that leaves counts at least one until its callers have
// their answers, so that it stays in the roster, where others ask it for them.
func (n *Node) inFlight(shard ownership.Shard) int {
	most := n.router.MaxInFlight(n.cell.endpoints.Of(shard))
	if shard != ownership.Cell && n.owner.Draining() && !n.answered.Load() {
		return max(most, 1)
	}
	return most
}

// unlisted tells for how long the platform's list has lacked each entry VM
// that it lacks; entry VMs are listed by their node ID.
func (n *Node) unlisted(now time.Time) map[api.NodeID]time.Duration {
	nodes := make(map[api.NodeID]time.Duration)
	for id, absent := range n.cell.vms.Absent(now) {
		nodes[api.NodeID(id)] = absent
	}
	return nodes
}
