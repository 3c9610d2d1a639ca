package scheduler

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/defaults"
	"github.com/skylarklock/skylarklock/internal/finding"
)

// Defaults of Config, used where a field is zero.
const (
	DefaultSampleSize        = 32
	DefaultMaxPreemptions    = 32
	DefaultAgeStep           = 5 * time.Minute
	DefaultStarveAfter       = 10 * time.Minute
	DefaultPreemptMargin     = 100
	DefaultNominationTimeout = 30 * time.Second
	DefaultUnknownRunTime    = time.Hour
	DefaultMaxHolds          = 4
	DefaultHoldShare         = 0.2
	DefaultMaxSearches       = 4096
	DefaultProbeInterval     = 30 * time.Second
	DefaultCapacityRetention = time.Hour
)

// Config tunes a Scheduler. Zero fields take their defaults.
type Config struct {
	// Policy is the policy published by the operators.
	Policy api.PolicySpec
	// AgeStep is the waiting time after which a job is promoted by one priority
	// band.
	AgeStep time.Duration
	// StarveAfter is the waiting time after which VMs are held for a large
	// task that fits no VM. Gangs get a hold immediately.
	StarveAfter time.Duration
	// PreemptMargin is the minimum amount by which the priority of a job must
	// exceed that of a running task to preempt it, unless the job is urgent.
	PreemptMargin int
	// NominationTimeout is the time within which the victims of a nomination must
	// stop.
	NominationTimeout time.Duration
	// UnknownRunTime is the run time assumed for running batch and gang tasks
	// without an expected end when a hold is planned.
	UnknownRunTime time.Duration
	// MaxHolds is the maximum number of jobs that have VMs held for them.
	MaxHolds int
	// HoldShare is the maximum share of the fleet that holds may cover, 0 to 1; the
	// first hold is exempt.
	HoldShare float64
	// MaxSearches bounds the searches for a VM in one cycle. Jobs that were not
	// reached keep their position for the next cycle.
	MaxSearches int
	// ProbeInterval is the minimum time between two probes of one VM.
	ProbeInterval time.Duration
	// CapacityRetention is the time for which VMs that left the list still count
	// as capacity when a job is checked for feasibility, so that a temporarily
	// shortened list makes no job infeasible.
	CapacityRetention time.Duration
}

// Validate returns a *finding.List of all fields that are out of range, or nil.
func (c Config) Validate() error {
	var l finding.List
	l.Check(c.Policy.SampleSize >= 0, "policy.sample_size", c.Policy.SampleSize, "0 (default) or more")
	l.Check(c.Policy.MaxPreemptions >= 0, "policy.max_preemptions", c.Policy.MaxPreemptions, "0 (default) or more")
	l.Check(c.AgeStep >= 0, "age_step", c.AgeStep, "0 (default) or more")
	l.Check(c.StarveAfter >= 0, "starve_after", c.StarveAfter, "0 (default) or more")
	l.Check(c.PreemptMargin >= 0, "preempt_margin", c.PreemptMargin, "0 (default) or more")
	l.Check(c.NominationTimeout >= 0, "nomination_timeout", c.NominationTimeout, "0 (default) or more")
	l.Check(c.UnknownRunTime >= 0, "unknown_run_time", c.UnknownRunTime, "0 (default) or more")
	l.Check(c.MaxHolds >= 0, "max_holds", c.MaxHolds, "0 (default) or more")
	l.Check(c.HoldShare >= 0 && c.HoldShare <= 1, "hold_share", c.HoldShare, "0 (default) to 1")
	l.Check(c.MaxSearches >= 0, "max_searches", c.MaxSearches, "0 (default) or more")
	l.Check(c.ProbeInterval >= 0, "probe_interval", c.ProbeInterval, "0 (default) or more")
	l.Check(c.CapacityRetention >= 0, "capacity_memory", c.CapacityRetention, "0 (default) or more")
	return l.Err()
}

// WithDefaults returns c with zero fields replaced by their defaults.
func (c Config) WithDefaults() Config {
	defaults.Set(&c.Policy.SampleSize, DefaultSampleSize)
	defaults.Set(&c.Policy.MaxPreemptions, DefaultMaxPreemptions)
	defaults.Set(&c.AgeStep, DefaultAgeStep)
	defaults.Set(&c.StarveAfter, DefaultStarveAfter)
	defaults.Set(&c.PreemptMargin, DefaultPreemptMargin)
	defaults.Set(&c.NominationTimeout, DefaultNominationTimeout)
	defaults.Set(&c.UnknownRunTime, DefaultUnknownRunTime)
	defaults.Set(&c.MaxHolds, DefaultMaxHolds)
	defaults.Set(&c.HoldShare, DefaultHoldShare)
	defaults.Set(&c.MaxSearches, DefaultMaxSearches)
	defaults.Set(&c.ProbeInterval, DefaultProbeInterval)
	defaults.Set(&c.CapacityRetention, DefaultCapacityRetention)
	return c
}
