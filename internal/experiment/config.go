package experiment

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/finding"
	"github.com/skylarklock/skylarklock/internal/router"
	"github.com/skylarklock/skylarklock/internal/settings"
	"github.com/skylarklock/skylarklock/internal/standin/logserver"
	"github.com/skylarklock/skylarklock/internal/standin/site"
)

// CellSizes describes the size of one user's cell.
type CellSizes struct {
	Name                   string
	DataCentres            []api.DataCentre
	Entries                []int // number of entry VMs in each data centre
	ExecutorsPerDataCentre int
	VMsPerRack             int
}

// Slots and maximum connections of an executor.
const (
	slots       = 8
	connections = 60
)

// Cells holds the users' cells by name.
var Cells = map[string]CellSizes{
	"voltwren": {
		Name:                   "voltwren",
		DataCentres:            []api.DataCentre{"dc-a", "dc-b", "dc-c", "dc-d"},
		Entries:                []int{3, 2, 2, 2},
		ExecutorsPerDataCentre: 13,
		VMsPerRack:             6,
	},
	"agence": {
		Name:                   "agence",
		DataCentres:            []api.DataCentre{"dc-a", "dc-b", "dc-c"},
		Entries:                []int{3, 3, 3},
		ExecutorsPerDataCentre: 17,
		VMsPerRack:             8,
	},
}

// Limits and fixed parameters of an experiment.
const (
	maxSeconds             = 60
	maxServiceTime         = 5 * time.Second
	spread                 = 0.5 // maximum deviation of service times in either direction, as a share of the mean
	readinessCheckInterval = 500 * time.Millisecond
	maxOpen                = 6_000 // limited because one process holds the sockets of callers, entry VMs and executors
)

// Config describes one experiment.
type Config struct {
	Cell                   CellSizes
	ExecutorsPerDataCentre int           // zero: as in Cell
	Policies               []string      // routing policies to compare, in this order
	PhaseSeconds           int           // duration of each measured phase
	ServiceTime            time.Duration // mean
	Timeout                time.Duration // of callers' requests
	WaitForSlot            bool          // executors let requests wait for a slot instead of refusing them
	PerEntry               bool          // each entry VM gets the same share of the load, instead of each data centre
	LogDelay               time.Duration // delay of every call of the log
	BatchDelay             time.Duration // of the journals; zero: the default
	AppendsPerSecond       float64       // journal.appends_per_second of the entry VMs, for the whole cell; zero: the default
	Heartbeat              time.Duration // interval of the heartbeats between entry VMs; zero: the default
	Seed                   uint64
}

// Validate returns an error that lists every invalid field of c.
func (c *Config) Validate() error {
	var l finding.List
	l.Check(c.PhaseSeconds >= 1 && c.PhaseSeconds <= maxSeconds, "seconds", c.PhaseSeconds, "1 to 60")
	l.Check(c.ServiceTime > 0 && c.ServiceTime <= maxServiceTime, "service_time", c.ServiceTime, "up to 5s")
	l.Check(c.Timeout > c.ServiceTime, "timeout", c.Timeout, "more than the service time")
	l.Check(c.LogDelay >= 0 && c.LogDelay <= time.Second, "log_delay", c.LogDelay, "0 to 1s")
	for _, p := range c.Policies {
		l.Check(p == router.PolicyLeastLoaded || p == router.PolicyBaseline, "policy", p, "least-loaded or baseline")
	}
	return l.Err()
}

// requestCapacity returns the number of requests per second that all executors of
// a service can run.
func (c *Config) requestCapacity() float64 {
	executors := c.Cell.ExecutorsPerDataCentre * len(c.Cell.DataCentres)
	return float64(executors*slots) / c.ServiceTime.Seconds()
}

// phaseDuration returns the duration of a measured phase.
func (c *Config) phaseDuration() time.Duration {
	return time.Duration(c.PhaseSeconds) * time.Second
}

// applyTo overrides the settings of an entry VM with those that c sets.
func (c *Config) applyTo(s *settings.Settings) {
	if c.BatchDelay > 0 {
		s.Journal.BatchDelay = settings.Duration(c.BatchDelay)
	}
	if c.AppendsPerSecond > 0 {
		s.Journal.AppendsPerSecond = c.AppendsPerSecond
	}
	if c.Heartbeat > 0 {
		s.Hold.Heartbeat = settings.Duration(c.Heartbeat)
	}
}

// serviceName returns the name of the service that uses a routing policy. Each
// policy has its own service and executors.
func serviceName(policy string) string { return "torquebench-" + policy }

// siteConfig returns the configuration of the stand-ins.
func (c *Config) siteConfig() site.Config {
	cfg := site.Config{
		DataCentres:      c.Cell.DataCentres,
		VMsPerDataCentre: c.Cell.ExecutorsPerDataCentre,
		VMsPerRack:       c.Cell.VMsPerRack,
		Capacity:         api.Resources{MilliCPU: 32_000, MemoryMB: 64 << 10},
		Log:              logserver.Config{AppendsPerSecond: 400, AppendBurst: 40, RetainRecords: 200_000},
		Seed:             c.Seed,
	}
	for _, p := range c.Policies {
		cfg.Services = append(cfg.Services, site.Service{
			Name: serviceName(p), ExecutorsPerDataCentre: c.Cell.ExecutorsPerDataCentre, Slots: slots, Connections: connections,
			ServiceTime: c.ServiceTime, Spread: spread, WaitForSlot: c.WaitForSlot,
		})
	}
	return cfg
}
