package router

import (
	"math/rand/v2"
	"time"

	"github.com/skylarklock/skylarklock/internal/defaults"
	"github.com/skylarklock/skylarklock/internal/finding"
)

// Defaults of Config.
const (
	DefaultEjectShare        = 0.3
	DefaultEjectMargin       = 0.3
	DefaultEjectSamples      = 5
	DefaultHealthHalfLife    = 10 * time.Second
	DefaultProbeInterval     = time.Second
	DefaultMaxProbeInterval  = time.Minute
	DefaultRefusalBackoff    = 50 * time.Millisecond
	DefaultMaxRefusalBackoff = time.Second
	DefaultLeavingHold       = time.Minute
	DefaultBusyAge           = time.Second
	DefaultInteractiveWeight = 4
	DefaultQueueLength       = 200
	DefaultQueueTime         = time.Second
	DefaultCallerShare       = 0.5
	DefaultNoEndpointRetry   = time.Second
)

// Config holds the settings of a Router. Zero fields take their defaults.
type Config struct {
	EjectShare        float64       // maximum share of a service's endpoints ejected at once, 0 to 1
	EjectMargin       float64       // minimum excess of an endpoint's failure rate over that of the others, 0 to 1
	EjectSamples      float64       // minimum number of results before an endpoint may be ejected
	HealthHalfLife    time.Duration // time in which the weight of a result halves
	ProbeInterval     time.Duration // from an ejection to the first probe; doubles after each failed probe
	MaxProbeInterval  time.Duration // maximum of the doubled interval
	RefusalBackoff    time.Duration // pause in new requests after a refusal or a failed connection attempt; doubles
	MaxRefusalBackoff time.Duration // maximum of the doubled pause
	LeavingHold       time.Duration // how long an endpoint's own report that it is leaving is trusted
	BusyAge           time.Duration // how long an endpoint's report of its busy slots is trusted
	InteractiveWeight int           // interactive requests granted for each batch request while both wait
	QueueLength       int           // default for services whose record sets none
	QueueTime         time.Duration // default for services whose record sets none
	CallerShare       float64       // default for services whose record sets none, 0 to 1
	NoEndpointRetry   time.Duration // retry delay returned to a caller when a service has no endpoint here

	Now     func() time.Time // must advance like timers do; time.Now when nil
	Rand    rand.Source      // seeds the random choices; a random seed when nil
	OnEvent func(Event)      // called without locks for each ejection, probe and recovery and each endpoint that reports that it leaves; may be nil
}

// withDefaults returns c with its zero fields replaced by the defaults.
func (c Config) withDefaults() Config {
	defaults.Set(&c.EjectShare, DefaultEjectShare)
	defaults.Set(&c.EjectMargin, DefaultEjectMargin)
	defaults.Set(&c.EjectSamples, DefaultEjectSamples)
	defaults.Set(&c.HealthHalfLife, DefaultHealthHalfLife)
	defaults.Set(&c.ProbeInterval, DefaultProbeInterval)
	defaults.Set(&c.MaxProbeInterval, DefaultMaxProbeInterval)
	defaults.Set(&c.RefusalBackoff, DefaultRefusalBackoff)
	defaults.Set(&c.MaxRefusalBackoff, DefaultMaxRefusalBackoff)
	defaults.Set(&c.LeavingHold, DefaultLeavingHold)
	defaults.Set(&c.BusyAge, DefaultBusyAge)
	defaults.Set(&c.InteractiveWeight, DefaultInteractiveWeight)
	defaults.Set(&c.QueueLength, DefaultQueueLength)
	defaults.Set(&c.QueueTime, DefaultQueueTime)
	defaults.Set(&c.CallerShare, DefaultCallerShare)
	defaults.Set(&c.NoEndpointRetry, DefaultNoEndpointRetry)
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Rand == nil {
		c.Rand = rand.NewPCG(rand.Uint64(), rand.Uint64())
	}
	return c
}

// Validate adds the invalid fields of c to findings, with paths below path.
// Zero fields are valid.
func (c Config) Validate(path string, findings *finding.List) {
	share := func(name string, value float64) {
		findings.Check(value >= 0 && value <= 1, path+"."+name, value, "a share from 0 to 1")
	}
	length := func(name string, value time.Duration) {
		findings.Check(value >= 0, path+"."+name, value, "a duration that is not negative")
	}
	share("eject_share", c.EjectShare)
	share("eject_margin", c.EjectMargin)
	share("caller_share", c.CallerShare)
	length("health_half_life", c.HealthHalfLife)
	length("probe_interval", c.ProbeInterval)
	length("max_probe_interval", c.MaxProbeInterval)
	length("refusal_backoff", c.RefusalBackoff)
	length("max_refusal_backoff", c.MaxRefusalBackoff)
	length("leaving_hold", c.LeavingHold)
	length("busy_age", c.BusyAge)
	length("queue_time", c.QueueTime)
	length("no_endpoint_retry", c.NoEndpointRetry)
	findings.Check(c.EjectSamples >= 0, path+".eject_samples", c.EjectSamples, "a count that is not negative")
	findings.Check(c.InteractiveWeight >= 0, path+".interactive_weight", c.InteractiveWeight, "a count that is not negative")
	findings.Check(c.QueueLength >= 0, path+".queue_length", c.QueueLength, "a count that is not negative")
}
