// Package jobs is the controller that adds the jobs that operators published as
// records to the cell of their home data centre. It removes the records of jobs
// that have ended.
//
// A job has one home: the data centre named by its ID or its spec, or else the
// one with the highest hash. Every entry VM computes the same home.
package jobs

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/config"
	"github.com/skylarklock/skylarklock/internal/controller"
	"github.com/skylarklock/skylarklock/internal/defaults"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/schema"
)

// Records reads the records in force. *config.StateMachine implements it.
type Records interface {
	Jobs() []config.Job
	Records(kind api.Kind) []api.RecordState
	Notify() (changed <-chan struct{}, cancel func())
}

// Cell returns the highest revision applied and the states of jobs.
// *cell.StateMachine implements it.
type Cell interface {
	PublishedRevision() api.Revision
	Job(id api.JobID) (cell.JobView, bool)
}

// Publisher publishes records. *config.Publisher implements it.
type Publisher interface {
	Publish(ctx context.Context, rec api.Record) (api.Revision, error)
}

// HomeSelector returns the home data centre, out of dcs, of the job with the given ID.
type HomeSelector func(id string, dcs []api.DataCentre) api.DataCentre

// Config holds the controller's settings.
type Config struct {
	DataCentre  api.DataCentre
	DataCentres []api.DataCentre // all data centres of the cell
	SelectHome  HomeSelector
	MaxInterval time.Duration // maximum time between two steps
	MaxBatch    int           // maximum number of jobs in one entry
	MaxRemovals int           // maximum number of records removed in one step
}

// Default settings.
const (
	DefaultMaxInterval = time.Second
	DefaultMaxBatch    = 200
	DefaultMaxRemovals = 20
)

// Controller adds published jobs to the cell.
type Controller struct {
	cfg       Config
	records   Records
	cell      Cell
	proposer  journal.Proposer
	publisher Publisher
	auth      controller.Authority
	counters  cell.Counters
	now       func() time.Time
}

// counterGroup is the counter group of this package.
const counterGroup = "published_jobs"

// New returns a controller. Zero fields of cfg get their default values.
func New(cfg Config, records Records, c Cell, proposer journal.Proposer, publisher Publisher, auth controller.Authority, counters cell.Counters, now func() time.Time) *Controller {
	defaults.Set(&cfg.MaxInterval, DefaultMaxInterval)
	defaults.Set(&cfg.MaxBatch, DefaultMaxBatch)
	defaults.Set(&cfg.MaxRemovals, DefaultMaxRemovals)
	return &Controller{cfg: cfg, records: records, cell: c, proposer: proposer, publisher: publisher, auth: auth, counters: counters, now: now}
}

// Run adds published jobs until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	changed, cancel := c.records.Notify()
	defer cancel()
	return controller.RunPeriodically(ctx, c.cfg.MaxInterval, changed, c.Step)
}

// Step adds the published jobs that are due and removes records of ended jobs, if
// this entry VM holds the placement shard.
func (c *Controller) Step(ctx context.Context) {
	now := c.now()
	if _, ok, _ := c.auth.Cell(now); !ok {
		return
	}
	due := c.DueJobs(c.cell.PublishedRevision())
	for batch := range slices.Chunk(due, c.cfg.MaxBatch) {
		entry := cell.PublishedJobsEntry(batch, now.UnixMilli())
		if err := c.proposer.Propose(ctx, entry); err != nil {
			c.counters.Inc(counterGroup, "not_taken") // retried in the next step
			return
		}
	}
	c.removeEndedRecords(ctx)
}

// removeEndedRecords removes the records of jobs that were added and have ended, so
// that the configuration doesn't grow with every job ever published.
func (c *Controller) removeEndedRecords(ctx context.Context) {
	applied := c.cell.PublishedRevision()
	removed := 0
	for _, job := range c.records.Jobs() {
		if removed == c.cfg.MaxRemovals {
			return
		}
		if job.Key.Kind == api.KindService || job.Revision > applied || !c.isHome(job.Spec) || !c.hasEnded(job.Spec.ID) {
			continue
		}
		removed++
		_, err := c.publisher.Publish(ctx, api.Record{
			Kind: job.Key.Kind, Name: job.Key.Name, SchemaVersion: schema.LatestVersion(job.Key.Kind),
			BasedOn: job.Revision, Deleted: true,
		})
		if err != nil {
			c.counters.Inc(counterGroup, "not_retired") // an operator changed the record first, or the next step retries
			return
		}
	}
}

// hasEnded reports whether a job that was added has ended. A job that the cell no
// longer knows has ended.
func (c *Controller) hasEnded(id api.JobID) bool {
	view, known := c.cell.Job(id)
	return !known || view.Ended
}

// DueJobs returns the jobs of this data centre that were published after the given
// revision, in ascending order of revision.
func (c *Controller) DueJobs(after api.Revision) []cell.PublishedJob {
	var due []cell.PublishedJob
	for _, job := range c.records.Jobs() {
		if job.Revision > after && c.isHome(job.Spec) {
			due = append(due, cell.PublishedJob{Revision: job.Revision, Spec: job.Spec})
		}
	}
	for _, kind := range []api.Kind{api.KindBatchJob, api.KindGangJob, api.KindService} {
		for _, state := range c.records.Records(kind) {
			if state.Revision > after && state.Record.Deleted {
				spec := api.JobSpec{ID: api.JobID(state.Record.Name)}
				due = append(due, cell.PublishedJob{Revision: state.Revision, Deleted: true, Spec: spec})
			}
		}
	}
	slices.SortFunc(due, func(a, b cell.PublishedJob) int { return cmp.Compare(a.Revision, b.Revision) })
	return due
}

func (c *Controller) isHome(spec api.JobSpec) bool {
	dcs := c.cfg.DataCentres
	if len(spec.DataCentres) > 0 {
		dcs = spec.DataCentres
	}
	return c.cfg.SelectHome(string(spec.ID), dcs) == c.cfg.DataCentre
}
