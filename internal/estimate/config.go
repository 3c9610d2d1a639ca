package estimate

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/defaults"
	"github.com/skylarklock/skylarklock/internal/finding"
)

// Defaults of Config, used where a field is zero.
const (
	DefaultOveruseFactor = 1.5
	DefaultOverrunFactor = 3.0
	DefaultMinShare      = 0.5
	DefaultQuantile      = 0.95
	DefaultMinReports    = 32
	DefaultMinRuns       = 8
	DefaultGracePeriod   = 30 * time.Second
	DefaultMaxSignatures = 20_000
)

// Config tunes an Estimator. Zero fields take their defaults.
type Config struct {
	// Policy provides OveruseFactor and OverrunFactor.
	Policy api.PolicySpec
	// MinShare is the smallest share of the declared amounts that an estimate may
	// fall to, 0 to 1.
	MinShare float64
	// Quantile of the observed processor usage and run times that an estimate uses,
	// 0 to 1.
	Quantile float64
	// MinReports and MinRuns are the numbers of samples required before an
	// estimate may fall below the declared amounts.
	MinReports int
	MinRuns    int
	// GracePeriod is the time for which an action may take effect in the reports
	// before the next, more severe one.
	GracePeriod time.Duration
	// MaxSignatures bounds the number of signatures; the least recently used are
	// evicted.
	MaxSignatures int
}

// Validate returns a *finding.List of all fields that are out of range, or nil.
func (c Config) Validate() error {
	var l finding.List
	factor := func(f float64) bool { return f == 0 || f >= 1 }
	share := func(f float64) bool { return f >= 0 && f <= 1 }
	l.Check(factor(c.Policy.OveruseFactor), "policy.overuse_factor", c.Policy.OveruseFactor, "0 (default), or 1 or more")
	l.Check(factor(c.Policy.OverrunFactor), "policy.overrun_factor", c.Policy.OverrunFactor, "0 (default), or 1 or more")
	l.Check(share(c.MinShare), "floor", c.MinShare, "0 (default) to 1")
	l.Check(share(c.Quantile), "quantile", c.Quantile, "0 (default) to 1")
	l.Check(c.MinReports >= 0, "fewest_reports", c.MinReports, "0 (default) or more")
	l.Check(c.MinRuns >= 0, "fewest_runs", c.MinRuns, "0 (default) or more")
	l.Check(c.GracePeriod >= 0, "grace", c.GracePeriod, "0 (default) or more")
	l.Check(c.MaxSignatures >= 0, "max_signatures", c.MaxSignatures, "0 (default) or more")
	return l.Err()
}

// WithDefaults returns c with zero fields replaced by their defaults.
func (c Config) WithDefaults() Config {
	defaults.Set(&c.Policy.OveruseFactor, DefaultOveruseFactor)
	defaults.Set(&c.Policy.OverrunFactor, DefaultOverrunFactor)
	defaults.Set(&c.MinShare, DefaultMinShare)
	defaults.Set(&c.Quantile, DefaultQuantile)
	defaults.Set(&c.MinReports, DefaultMinReports)
	defaults.Set(&c.MinRuns, DefaultMinRuns)
	defaults.Set(&c.GracePeriod, DefaultGracePeriod)
	defaults.Set(&c.MaxSignatures, DefaultMaxSignatures)
	return c
}
