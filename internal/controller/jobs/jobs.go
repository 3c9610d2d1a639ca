// Package jobs is the controller that takes the jobs that operators published
// as records into the cell of their home data centre, and removes the records
// of those that have ended.
//
// A job has one home: the data centre that its ID or its spec names, else the
// one with the highest hash. Every entry VM works it out alike.
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

// Records reads the records in force; *config.StateMachine implements it.
type Records interface {
	Jobs() []config.Job
	Records(kind api.Kind) []api.RecordState
	Notify() (changed <-chan struct{}, cancel func())
}

// Cell tells which revisions were taken and which jobs have ended;
// *cell.StateMachine implements it.
type Cell interface {
	PublishedRevision() api.Revision
	Job(id api.JobID) (cell.JobView, bool)
}

// Publisher publishes records; *config.Publisher implements it.
type Publisher interface {
	Publish(ctx context.Context, rec api.Record) (api.Revision, error)
}

// HomeSelector returns the home of an ID among data centres.
type HomeSelector func(id string, dcs []api.DataCentre) api.DataCentre

// Config holds the controller's settings.
type Config struct {
	DataCentre  api.DataCentre
	DataCentres []api.DataCentre // of the whole cell
	SelectHome  HomeSelector
	MaxInterval time.Duration // longest time between two looks
	MaxBatch    int           // jobs in one entry
	MaxRemovals int           // records removed in one look
}

// Defaults of Config.
const (
	DefaultMaxInterval = time.Second
	DefaultMaxBatch    = 200
	DefaultMaxRemovals = 20
)

// Controller takes published jobs into the cell.
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

// counterGroup is the group of this package's counters.
const counterGroup = "published_jobs"

// New returns a controller. Zero fields of cfg take the defaults.
func New(cfg Config, records Records, c Cell, proposer journal.Proposer, publisher Publisher, auth controller.Authority, counters cell.Counters, now func() time.Time) *Controller {
	defaults.Set(&cfg.MaxInterval, DefaultMaxInterval)
	defaults.Set(&cfg.MaxBatch, DefaultMaxBatch)
	defaults.Set(&cfg.MaxRemovals, DefaultMaxRemovals)
	return &Controller{cfg: cfg, records: records, cell: c, proposer: proposer, publisher: publisher, auth: auth, counters: counters, now: now}
}

// Run takes jobs until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	changed, cancel := c.records.Notify()
	defer cancel()
	return controller.RunPeriodically(ctx, c.cfg.MaxInterval, changed, c.Step)
}

// Step takes what is due, while this entry VM holds the placement shard.
func (c *Controller) Step(ctx context.Context) {
	now := c.now()
	if _, ok, _ := c.auth.Cell(now); !ok {
		return
	}
	due := c.DueJobs(c.cell.PublishedRevision())
	for batch := range slices.Chunk(due, c.cfg.MaxBatch) {
		entry := cell.PublishedJobsEntry(batch, now.UnixMilli())
		if err := c.proposer.Propose(ctx, entry); err != nil {
			c.counters.Inc(counterGroup, "not_taken") // the next look tries again
			return
		}
	}
	c.retire(ctx)
}

// retire removes the records of jobs that were taken and have ended, so that
// the configuration holds what is to be done and not all that ever was.
func (c *Controller) retire(ctx context.Context) {
	taken := c.cell.PublishedRevision()
	retired := 0
	for _, job := range c.records.Jobs() {
		if retired == c.cfg.MaxRemovals {
			return
		}
		if job.Key.Kind == api.KindService || job.Revision > taken || !c.isHome(job.Spec) || !c.ended(job.Spec.ID) {
			continue
		}
		retired++
		_, err := c.publisher.Publish(ctx, api.Record{
			Kind: job.Key.Kind, Name: job.Key.Name, SchemaVersion: schema.LatestVersion(job.Key.Kind),
			BasedOn: job.Revision, Deleted: true,
		})
		if err != nil {
			c.counters.Inc(counterGroup, "not_retired") // an operator was first, or the next look tries again
			return
		}
	}
}

// ended reports whether a job that was taken has ended; one that the cell has
// forgotten has.
func (c *Controller) ended(id api.JobID) bool {
	view, known := c.cell.Job(id)
	return !known || view.Ended
}

// DueJobs returns the jobs of this data centre published after a revision, in
// ascending order of revision.
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
