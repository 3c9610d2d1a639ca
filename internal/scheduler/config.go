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
	// Policy is the operators' published policy.
	Policy api.PolicySpec
	// AgeStep is the wait after which a job rises by one priority band.
	AgeStep time.Duration
	// StarveAfter is the wait after which VMs are held for a task that
	// found no room. Gangs get their hold at once.
	StarveAfter time.Duration
	// PreemptMargin is by how much a job's priority has to exceed that of a
	// running task which it may displace, unless the job is urgent.
	PreemptMargin int
	// NominationTimeout is how long a VM waits for its victims to stop.
	NominationTimeout time.Duration
	// UnknownRunTime is assumed for running batch work without an expected
	// end, when no VMs with known ends suffice for a hold.
	UnknownRunTime time.Duration
	// MaxHolds is how many jobs may have VMs held for them at once.
	MaxHolds int
	// HoldShare is the most of the fleet that one hold may cover, 0 to 1.
	HoldShare float64
	// MaxSearches bounds the searches for a VM in one cycle; jobs that were
	// not reached keep their turn for the next one.
	MaxSearches int
	// ProbeInterval is the least time between two probes of one VM.
	ProbeInterval time.Duration
	// CapacityRetention is how long VMs that left still count in judging that a
	// job can never run, so that a shrunken VM list condemns no job.
	CapacityRetention time.Duration
}

// Validate returns a *finding.List of every field out of its range, or nil.
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

// WithDefaults returns c with its zero fields replaced.
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
