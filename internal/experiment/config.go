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

// CellSizes are those of one user's cell.
type CellSizes struct {
	Name                   string
	DataCentres            []api.DataCentre
	Entries                []int // entry VMs of each data centre
	ExecutorsPerDataCentre int   // of each data centre
	VMsPerRack             int
}

// Slots and connections of an executor.
const (
	slots       = 8
	connections = 60
)

// Cells are the users' cells by name.
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

// Bounds of an experiment.
const (
	maxSeconds     = 60
	maxServiceTime = 5 * time.Second
	spread         = 0.5 // of service times, either way
	balancerCheck  = 500 * time.Millisecond
	maxOpen        = 6_000 // sockets of all sides are in one process
)

// Config describes one experiment.
type Config struct {
	Cell                   CellSizes
	ExecutorsPerDataCentre int           // of each data centre; zero: the cell's
	Policies               []string      // compared, in this order
	PhaseSeconds           int           // of each measured phase
	ServiceTime            time.Duration // mean
	Timeout                time.Duration // of callers' requests
	WaitForSlot            bool          // executors let requests wait beyond their slots
	PerEntry               bool          // the balancer gives each entry VM the same share, not each data centre
	LogDelay               time.Duration // of every call of the log
	BatchDelay             time.Duration // of the journal; zero: the default
	AppendsPerSecond       float64       // a second, of the whole cell; zero: the default
	Heartbeat              time.Duration // between entry VMs; zero: the default
	Seed                   uint64
}

// Validate reports every fault of c.
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

// capacity is the number of requests a second that all slots can serve.
func (c *Config) capacity() float64 {
	executors := c.Cell.ExecutorsPerDataCentre * len(c.Cell.DataCentres)
	return float64(executors*slots) / c.ServiceTime.Seconds()
}

// duration is the length of a measured phase.
func (c *Config) duration() time.Duration {
	return time.Duration(c.PhaseSeconds) * time.Second
}

// adjust sets what c changes in the settings of an entry VM.
func (c *Config) adjust(s *settings.Settings) {
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

// serviceOf names the service that is run under a policy. Each has executors
// of its own.
func serviceOf(policy string) string { return "torquebench-" + policy }

// siteConfig describes the stand-ins.
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
			Name: serviceOf(p), ExecutorsPerDataCentre: c.Cell.ExecutorsPerDataCentre, Slots: slots, Connections: connections,
			ServiceTime: c.ServiceTime, Spread: spread, WaitForSlot: c.WaitForSlot,
		})
	}
	return cfg
}
