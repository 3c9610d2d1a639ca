package quarantine

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/defaults"
	"github.com/skylarklock/skylarklock/internal/finding"
)

// Defaults of Config, used where a field is zero.
const (
	DefaultQuarantineShare    = 0.05
	DefaultQuarantineFailures = 5
	DefaultRateFactor         = 3.0
	DefaultMinFailureRate     = 0.5
	DefaultMinFailedJobs      = 2
	DefaultHalfLife           = 10 * time.Minute
	DefaultRequiredProbes     = 2
	DefaultMinDistinctVMs     = 3
	DefaultMaxTrackedTasks    = 100_000
)

// Config tunes a Tracker. Zero fields take their defaults.
type Config struct {
	// Policy gives QuarantineShare and QuarantineFailures.
	Policy api.PolicySpec
	// RateFactor is how many times the fleet's failure rate a VM's must be.
	RateFactor float64
	// MinFailureRate is the failure rate under which no VM is quarantined, 0 to 1.
	MinFailureRate float64
	// MinFailedJobs is how many jobs must have failed on a VM to blame it.
	MinFailedJobs int
	// HalfLife is the time after which an outcome counts half.
	HalfLife time.Duration
	// RequiredProbes is how many in a row must end well for a VM's release.
	RequiredProbes int
	// MinDistinctVMs is on how many healthy VMs a task must have failed to be
	// blamed itself.
	MinDistinctVMs int
	// MaxTrackedTasks bounds the tasks whose failures are remembered.
	MaxTrackedTasks int
}

// Validate returns a *finding.List of every field out of its range, or nil.
func (c Config) Validate() error {
	var l finding.List
	share := func(f float64) bool { return f >= 0 && f <= 1 }
	l.Check(share(c.Policy.QuarantineShare), "policy.quarantine_share", c.Policy.QuarantineShare, "0 (default) to 1")
	l.Check(c.Policy.QuarantineFailures >= 0, "policy.quarantine_failures", c.Policy.QuarantineFailures, "0 (default) or more")
	l.Check(c.RateFactor == 0 || c.RateFactor >= 1, "rate_factor", c.RateFactor, "0 (default), or 1 or more")
	l.Check(share(c.MinFailureRate), "least_rate", c.MinFailureRate, "0 (default) to 1")
	l.Check(c.MinFailedJobs >= 0 && c.MinFailedJobs <= jobsKept, "fewest_jobs", c.MinFailedJobs, "0 (default) to 4")
	l.Check(c.HalfLife >= 0, "half_life", c.HalfLife, "0 (default) or more")
	l.Check(c.RequiredProbes >= 0, "probes", c.RequiredProbes, "0 (default) or more")
	l.Check(c.MinDistinctVMs >= 0, "distinct_vms", c.MinDistinctVMs, "0 (default) or more")
	l.Check(c.MaxTrackedTasks >= 0, "max_remembered", c.MaxTrackedTasks, "0 (default) or more")
	return l.Err()
}

// WithDefaults returns c with its zero fields replaced.
func (c Config) WithDefaults() Config {
	defaults.Set(&c.Policy.QuarantineShare, DefaultQuarantineShare)
	defaults.Set(&c.Policy.QuarantineFailures, DefaultQuarantineFailures)
	defaults.Set(&c.RateFactor, DefaultRateFactor)
	defaults.Set(&c.MinFailureRate, DefaultMinFailureRate)
	defaults.Set(&c.MinFailedJobs, DefaultMinFailedJobs)
	defaults.Set(&c.HalfLife, DefaultHalfLife)
	defaults.Set(&c.RequiredProbes, DefaultRequiredProbes)
	defaults.Set(&c.MinDistinctVMs, DefaultMinDistinctVMs)
	defaults.Set(&c.MaxTrackedTasks, DefaultMaxTrackedTasks)
	return c
}
