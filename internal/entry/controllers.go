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

// cellControllers holds the controllers of VMs, tasks and endpoints.
type cellControllers struct {
	vms       *vms.Controller
	worker    *worker.Controller
	learning  *learning.Controller
	placement *placement.Controller
	recovery  *recovery.Controller
	endpoints *endpoints.Controller
	jobs      *jobs.Controller
}

// cellAuthority reports to the controllers whether this node holds the placement
// shard.
type cellAuthority struct {
	owner *ownership.Controller
}

// Cell implements the controllers' Authority.
func (a cellAuthority) Cell(now time.Time) (api.Epoch, bool, time.Time) {
	return a.owner.CellAuthority(now)
}

// newCellControllers creates and connects the controllers of a node.
func newCellControllers(n *Node) *cellControllers {
	s, st := n.settings, n.streams
	auth := cellAuthority{owner: n.owner}
	params := lease.Params{Lease: s.Hold.Lease.Std(), Hold: s.Hold.Hold.Std(), Drift: s.Hold.Drift}
	c := new(cellControllers)
	vmsConfig := vms.DefaultConfig(s.DataCentre)
	vmsConfig.PollInterval = s.VMList.Interval.Std()
	vmsConfig.Timeout = s.VMList.Timeout.Std()
	c.vms = vms.New(vmsConfig, n.adapters.VMList, n.router.Contacts, st.cellState, st.cell, auth, n.counters, n.log, time.Now)
	c.learning = learning.New(st.configState.Policy, st.cellState, st.cell, auth, n.counters, time.Now)
	c.worker = worker.New(worker.DefaultConfig(params), st.cellState, st.cell, n.adapters.Worker, c.vms, auth, c.learning, n.counters, n.log, time.Now)
	view := fleet.New(s.DataCentre, st.cellState, c.vms, c.worker, c.learning)
	c.placement = placement.New(placement.DefaultConfig(s.DataCentre), n.newSchedulerState, st.cellState, st.cell, auth, view, c.learning, n.counters, n.log, time.Now)
	c.recovery = recovery.New(recovery.DefaultConfig(), st.cellState, st.cell, auth, view, n.counters, n.log, time.Now)
	c.endpoints = endpoints.New(c.vms, n.owner, n.router, n.adapters.Endpoint, time.Now)
	c.jobs = jobs.New(jobs.Config{
		DataCentre: s.DataCentre, DataCentres: s.DataCentres, SelectHome: filter.HomeOf,
	}, st.configState, st.cellState, st.cell, config.NewPublisher(st.configState, st.config), auth, n.counters, time.Now)
	return c
}

// runFuncs returns the functions that run until the node stops.
func (c *cellControllers) runFuncs() []func(context.Context) error {
	return []func(context.Context) error{
		c.vms.Run, c.worker.Run, c.learning.Run, c.placement.Run, c.recovery.Run, c.endpoints.Run, c.jobs.Run,
	}
}

// jobService returns the service that handles callers' jobs.
func (n *Node) jobService() jobService {
	return jobService{cellState: n.streams.cellState, proposer: n.streams.cell, validate: validateJob, now: time.Now}
}

// validateJob validates a caller's job like a published record and sets zero
// fields to their defaults. The error lists every finding.
func validateJob(spec api.JobSpec) (api.JobSpec, error) {
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

// maxInFlight returns the maximum number of requests in flight at any endpoint of
// a shard. The placement shard needs no count: the lease limits how long orders of
// the former holder are in effect. A leaving node counts at least one until its
// callers have their answers, so that it stays in the roster, where other members
// query it for these answers.
func (n *Node) maxInFlight(shard ownership.Shard) int {
	inFlight := n.router.MaxInFlight(n.cell.endpoints.ShardEndpoints(shard))
	if shard != ownership.Cell && n.owner.Draining() && !n.callersAnswered.Load() {
		return max(inFlight, 1)
	}
	return inFlight
}

// unlisted returns how long each entry VM that is missing from the platform's VM
// list has been missing. The list identifies entry VMs by their node ID.
func (n *Node) unlisted(now time.Time) map[api.NodeID]time.Duration {
	nodes := make(map[api.NodeID]time.Duration)
	for id, absent := range n.cell.vms.MissingDurations(now) {
		nodes[api.NodeID(id)] = absent
	}
	return nodes
}
