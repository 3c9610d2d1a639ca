// Package settings reads the JSON settings of an entry VM, fills in defaults
// and checks them, reporting every fault together.
package settings

import (
	"encoding/json"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/finding"
	"github.com/skylarklock/skylarklock/internal/strictjson"
)

// Duration is a time.Duration that is written as text, such as "2s".
type Duration time.Duration

// errDuration says what a duration looks like; it is shown in findings.
var errDuration = errors.New(`a duration such as "2s" or "150ms"`)

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats d as time.Duration does.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(d.String())
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errDuration
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errDuration
	}
	*d = Duration(parsed)
	return nil
}

// Settings are the settings of one entry VM.
type Settings struct {
	NodeID        api.NodeID       `json:"node_id"`         // unique among entry VMs
	DataCentre    api.DataCentre   `json:"data_centre"`     // of this VM
	DataCentres   []api.DataCentre `json:"data_centres"`    // all of the cell
	Listen        Listen           `json:"listen"`          // addresses to listen on
	AdvertisePeer string           `json:"advertise_peer"`  // IP:port told to peers; default listen.peers
	Peers         []string         `json:"peers,omitempty"` // seed IP:ports of peers, in any data centre
	Log           Log              `json:"log"`             // the platform's log service
	VMList        VMList           `json:"vm_list"`         // the platform's VM list
	Journal       Journal          `json:"journal"`         // batches and snapshots
	Hold          Hold             `json:"hold"`            // ownership and leases
	Limits        Limits           `json:"limits"`          // of requests and memory
	LogLevel      string           `json:"log_level"`
	DrainDeadline Duration         `json:"drain_deadline"` // longest graceful shutdown
	// ReadinessDelay is how long a leaving VM still takes requests after it
	// told the balancer that it isn't ready.
	ReadinessDelay Duration `json:"readiness_delay"`
	// RequestRetention is how long the id of a non-idempotent request is
	// remembered.
	RequestRetention Duration `json:"request_retention"`
}

// Listen holds the IP:port of each listener.
type Listen struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
}

// Log says how to reach the platform's log service.
type Log struct {
	URLs          []string `json:"urls"`           // http://IP:port, tried in order
	AppendTimeout Duration `json:"append_timeout"` // of one append
	ReadTimeout   Duration `json:"read_timeout"`   // of one read, beyond read_wait
	ReadWait      Duration `json:"read_wait"`      // a read with nothing new waits so long
	ReadRecords   int      `json:"read_records"`   // most records in one read
	RetryMin      Duration `json:"retry_min"`      // first wait after a failure
	RetryMax      Duration `json:"retry_max"`      // longest wait between tries
}

// VMList says how to read the platform's list of VMs.
type VMList struct {
	URL      string   `json:"url"`
	Interval Duration `json:"interval"` // between reads
	Timeout  Duration `json:"timeout"`  // of one read
}

// Journal tunes the batches and snapshots of streams.
type Journal struct {
	BatchBytes       int      `json:"batch_bytes"`        // most bytes in one record
	BatchDelay       Duration `json:"batch_delay"`        // longest wait for company
	AppendsPerSecond float64  `json:"appends_per_second"` // budget of the whole cell
	BacklogBytes     int      `json:"backlog_bytes"`      // of entries that wait to be read back; more are refused
	SnapshotInterval Duration `json:"snapshot_interval"`  // between snapshots of a stream
	SnapshotRecords  int      `json:"snapshot_records"`   // or after so many records
}

// Hold holds the times of ownership and leases.
type Hold struct {
	Hold      Duration `json:"hold"`      // a confirmation of ownership lasts so long
	Lease     Duration `json:"lease"`     // of the tasks on a worker
	Heartbeat Duration `json:"heartbeat"` // between exchanges with peers and workers
	Drift     float64  `json:"drift"`     // bound on the difference of clock rates, as a fraction
}

// Limits bounds what one entry VM takes on.
type Limits struct {
	MaxBodyBytes      int64    `json:"max_body_bytes"`      // of a caller's request
	MaxHeaderBytes    int      `json:"max_header_bytes"`    // of a request
	MaxOperatorBytes  int64    `json:"max_operator_bytes"`  // of an operator's request
	MaxPeerBytes      int64    `json:"max_peer_bytes"`      // of one message between peers
	MaxConnections    int      `json:"max_connections"`     // of callers
	MaxRequests       int      `json:"max_requests"`        // in progress
	MemoryBytes       int64    `json:"memory_bytes"`        // soft limit of the process; 0: none
	ReadHeaderTimeout Duration `json:"read_header_timeout"` // of a request's header
	ReadTimeout       Duration `json:"read_timeout"`        // of a whole request
	WriteTimeout      Duration `json:"write_timeout"`       // of a whole answer
	IdleTimeout       Duration `json:"idle_timeout"`        // of a connection without requests
	MaxRequestTimeout Duration `json:"max_request_timeout"` // most that a caller may ask for
	PeerTimeout       Duration `json:"peer_timeout"`        // of one call to a peer
}

// Decode reads settings from JSON over the defaults and checks them. The
// error is a *finding.List with every fault; file names the source in it.
func Decode(file string, data []byte) (*Settings, error) {
	return decode(file, data, overrides{})
}

// Load reads settings from the JSON file at path. The error is that of
// reading the file or a *finding.List.
func Load(path string) (*Settings, error) {
	return load(path, overrides{})
}

func load(path string, o overrides) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return decode(path, data, o)
}

func decode(file string, data []byte, o overrides) (*Settings, error) {
	s := Default()
	l := &finding.List{File: file}
	if !strictjson.Valid(data, "", l) {
		return nil, l
	}
	strictjson.Decode(data, s, "", l)
	o.apply(s)
	s.derive()
	s.check(l)
	if err := l.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// Validate checks settings that were made without Decode. The error is a
// *finding.List with every fault.
func (s *Settings) Validate() error {
	l := &finding.List{}
	s.check(l)
	return l.Err()
}

// derive fills fields whose default is another field.
func (s *Settings) derive() {
	if s.AdvertisePeer == "" {
		s.AdvertisePeer = s.Listen.Peers
	}
}
