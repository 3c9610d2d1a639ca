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
	// Policy provides QuarantineShare and QuarantineFailures.
	Policy api.PolicySpec
	// RateFactor is the minimum ratio of a VM's failure rate to that of the rest
	// of the fleet for the VM to be quarantined.
	RateFactor float64
	// MinFailureRate is the failure rate below which no VM is quarantined, 0 to 1.
	MinFailureRate float64
	// MinFailedJobs is the number of jobs that must have failed on a VM for it to
	// be quarantined.
	MinFailedJobs int
	// HalfLife is the time after which the weight of an outcome has halved.
	HalfLife time.Duration
	// RequiredProbes is the number of consecutive successful probes that
	// release a VM.
	RequiredProbes int
	// MinDistinctVMs is the number of healthy VMs on which a task must have
	// failed to be reported as a FailingTask.
	MinDistinctVMs int
	// MaxTrackedTasks bounds the number of tasks whose failures are recorded.
	MaxTrackedTasks int
}

// Validate returns a *finding.List of all fields that are out of range, or nil.
func (c Config) Validate() error {
	var l finding.List
	share := func(f float64) bool { return f >= 0 && f <= 1 }
	l.Check(share(c.Policy.QuarantineShare), "policy.quarantine_share", c.Policy.QuarantineShare, "0 (default) to 1")
	l.Check(c.Policy.QuarantineFailures >= 0, "policy.quarantine_failures", c.Policy.QuarantineFailures, "0 (default) or more")
	l.Check(c.RateFactor == 0 || c.RateFactor >= 1, "rate_factor", c.RateFactor, "0 (default), or 1 or more")
	l.Check(share(c.MinFailureRate), "least_rate", c.MinFailureRate, "0 (default) to 1")
	l.Check(c.MinFailedJobs >= 0 && c.MinFailedJobs <= maxFailedJobs, "fewest_jobs", c.MinFailedJobs, "0 (default) to 4")
	l.Check(c.HalfLife >= 0, "half_life", c.HalfLife, "0 (default) or more")
	l.Check(c.RequiredProbes >= 0, "probes", c.RequiredProbes, "0 (default) or more")
	l.Check(c.MinDistinctVMs >= 0, "distinct_vms", c.MinDistinctVMs, "0 (default) or more")
	l.Check(c.MaxTrackedTasks >= 0, "max_remembered", c.MaxTrackedTasks, "0 (default) or more")
	return l.Err()
}

// WithDefaults returns c with zero fields replaced by their defaults.
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
