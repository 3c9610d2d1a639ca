package quarantine

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/defaults"
	"github.com/skylarklock/skylarklock/internal/finding"
)

// Defaults of Config, used where a field is zero.
const (
	DefaultShare         = 0.05
	DefaultFailures      = 5
	DefaultRateFactor    = 3.0
	DefaultLeastRate     = 0.5
	DefaultFewestJobs    = 2
	DefaultHalfLife      = 10 * time.Minute
	DefaultProbes        = 2
	DefaultDistinctVMs   = 3
	DefaultMaxRemembered = 100_000
)

// Config tunes a Tracker. Zero fields take their defaults.
type Config struct {
	// Policy gives QuarantineShare and QuarantineFailures.
	Policy api.PolicySpec
	// RateFactor is how many times the fleet's failure rate a VM's must be.
	RateFactor float64
	// LeastRate is the failure rate under which no VM is quarantined, 0 to 1.
	LeastRate float64
	// FewestJobs is how many jobs must have failed on a VM to blame it.
	FewestJobs int
	// HalfLife is the time after which an outcome counts half.
	HalfLife time.Duration
	// Probes is how many in a row must end well for a VM's release.
	Probes int
	// DistinctVMs is on how many healthy VMs a task must have failed to be
	// blamed itself.
	DistinctVMs int
	// MaxRemembered bounds the tasks whose failures are remembered.
	MaxRemembered int
}

// Validate returns a *finding.List of every field out of its range, or nil.
func (c Config) Validate() error {
	var l finding.List
	share := func(f float64) bool { return f >= 0 && f <= 1 }
	l.Check(share(c.Policy.QuarantineShare), "policy.quarantine_share", c.Policy.QuarantineShare, "0 (default) to 1")
	l.Check(c.Policy.QuarantineFailures >= 0, "policy.quarantine_failures", c.Policy.QuarantineFailures, "0 (default) or more")
	l.Check(c.RateFactor == 0 || c.RateFactor >= 1, "rate_factor", c.RateFactor, "0 (default), or 1 or more")
	l.Check(share(c.LeastRate), "least_rate", c.LeastRate, "0 (default) to 1")
	l.Check(c.FewestJobs >= 0 && c.FewestJobs <= jobsKept, "fewest_jobs", c.FewestJobs, "0 (default) to 4")
	l.Check(c.HalfLife >= 0, "half_life", c.HalfLife, "0 (default) or more")
	l.Check(c.Probes >= 0, "probes", c.Probes, "0 (default) or more")
	l.Check(c.DistinctVMs >= 0, "distinct_vms", c.DistinctVMs, "0 (default) or more")
	l.Check(c.MaxRemembered >= 0, "max_remembered", c.MaxRemembered, "0 (default) or more")
	return l.Err()
}

// WithDefaults returns c with its zero fields replaced.
func (c Config) WithDefaults() Config {
	defaults.Set(&c.Policy.QuarantineShare, DefaultShare)
	defaults.Set(&c.Policy.QuarantineFailures, DefaultFailures)
	defaults.Set(&c.RateFactor, DefaultRateFactor)
	defaults.Set(&c.LeastRate, DefaultLeastRate)
	defaults.Set(&c.FewestJobs, DefaultFewestJobs)
	defaults.Set(&c.HalfLife, DefaultHalfLife)
	defaults.Set(&c.Probes, DefaultProbes)
	defaults.Set(&c.DistinctVMs, DefaultDistinctVMs)
	defaults.Set(&c.MaxRemembered, DefaultMaxRemembered)
	return c
}
