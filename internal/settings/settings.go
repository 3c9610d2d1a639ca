// Package settings reads the JSON settings of an entry VM, fills in defaults and
// validates them, reporting all errors together.
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

// Duration is a time.Duration that is encoded as text in JSON, such as "2s".
type Duration time.Duration

// errInvalidDuration describes the format of a duration; its text is shown in
// findings.
var errInvalidDuration = errors.New(`a duration such as "2s" or "150ms"`)

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
		return errInvalidDuration
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errInvalidDuration
	}
	*d = Duration(parsed)
	return nil
}

// Settings holds the settings of one entry VM.
type Settings struct {
	NodeID        api.NodeID       `json:"node_id"`         // unique among entry VMs
	DataCentre    api.DataCentre   `json:"data_centre"`     // of this VM
	DataCentres   []api.DataCentre `json:"data_centres"`    // all data centres of the cell
	Listen        Listen           `json:"listen"`          // addresses to listen on
	AdvertisePeer string           `json:"advertise_peer"`  // IP:port announced to peers; defaults to listen.peers
	Peers         []string         `json:"peers,omitempty"` // seed IP:ports of peers, in any data centre
	Log           Log              `json:"log"`             // the platform's log service
	VMList        VMList           `json:"vm_list"`         // the platform's VM list
	Journal       Journal          `json:"journal"`         // batches and snapshots
	Hold          Hold             `json:"hold"`            // ownership and leases
	Limits        Limits           `json:"limits"`          // of requests and memory
	LogLevel      string           `json:"log_level"`
	DrainDeadline Duration         `json:"drain_deadline"` // maximum duration of a graceful shutdown
	// ReadinessDelay is how long an entry VM that shuts down keeps accepting
	// requests after it has reported itself not ready to the load balancer.
	ReadinessDelay Duration `json:"readiness_delay"`
	// RequestRetention is how long the ID of a non-idempotent request is
	// remembered to recognise repeats.
	RequestRetention Duration `json:"request_retention"`
}

// Listen holds the IP:port addresses of the listeners.
type Listen struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
}

// Log configures the client of the platform's log service.
type Log struct {
	URLs          []string `json:"urls"`           // http://IP:port, tried in order
	AppendTimeout Duration `json:"append_timeout"` // per append
	ReadTimeout   Duration `json:"read_timeout"`   // per read, in addition to read_wait
	ReadWait      Duration `json:"read_wait"`      // how long a read waits for new records
	ReadRecords   int      `json:"read_records"`   // maximum number of records per read
	RetryMin      Duration `json:"retry_min"`      // first retry delay after a failure
	RetryMax      Duration `json:"retry_max"`      // maximum retry delay
}

// VMList configures reading of the platform's VM list.
type VMList struct {
	URL      string   `json:"url"`
	Interval Duration `json:"interval"` // time between reads
	Timeout  Duration `json:"timeout"`  // per read
}

// Journal configures the batches and snapshots of log streams.
type Journal struct {
	BatchBytes       int      `json:"batch_bytes"`        // maximum bytes per record
	BatchDelay       Duration `json:"batch_delay"`        // maximum wait for further entries of a batch
	AppendsPerSecond float64  `json:"appends_per_second"` // budget for the whole cell
	BacklogBytes     int      `json:"backlog_bytes"`      // maximum bytes of entries not yet read back from the log; further entries are refused
	SnapshotInterval Duration `json:"snapshot_interval"`  // time between snapshots of a stream
	SnapshotRecords  int      `json:"snapshot_records"`   // records after which a snapshot is written earlier
}

// Hold configures shard ownership and task leases.
type Hold struct {
	Hold      Duration `json:"hold"`      // how long a confirmation of ownership is valid
	Lease     Duration `json:"lease"`     // duration of the lease for the tasks on a worker
	Heartbeat Duration `json:"heartbeat"` // interval of exchanges with peers and workers
	Drift     float64  `json:"drift"`     // maximum difference between clock rates, as a fraction
}

// Limits bounds the load and resource use of one entry VM.
type Limits struct {
	MaxBodyBytes      int64    `json:"max_body_bytes"`      // per request of a caller
	MaxHeaderBytes    int      `json:"max_header_bytes"`    // per request
	MaxOperatorBytes  int64    `json:"max_operator_bytes"`  // per request of an operator
	MaxPeerBytes      int64    `json:"max_peer_bytes"`      // per message between peers
	MaxConnections    int      `json:"max_connections"`     // from callers
	MaxRequests       int      `json:"max_requests"`        // in progress
	MemoryBytes       int64    `json:"memory_bytes"`        // soft memory limit of the process; 0: none
	ReadHeaderTimeout Duration `json:"read_header_timeout"` // for reading the header of a request
	ReadTimeout       Duration `json:"read_timeout"`        // for reading a whole request
	WriteTimeout      Duration `json:"write_timeout"`       // for writing a whole answer
	IdleTimeout       Duration `json:"idle_timeout"`        // for a connection without requests
	MaxRequestTimeout Duration `json:"max_request_timeout"` // maximum timeout that a caller may request
	PeerTimeout       Duration `json:"peer_timeout"`        // per call to a peer
}

// Decode decodes settings from JSON over the defaults and validates them. The
// error is a *finding.List with all findings, in which file names the source.
func Decode(file string, data []byte) (*Settings, error) {
	return decode(file, data, overrides{})
}

// Load reads settings from the JSON file at path. The error is that of reading
// the file or the *finding.List of Decode.
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
	s.setDerivedDefaults()
	s.check(l)
	if err := l.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// Validate checks settings that were not created by Decode. The error is a
// *finding.List with all findings.
func (s *Settings) Validate() error {
	l := &finding.List{}
	s.check(l)
	return l.Err()
}

// setDerivedDefaults sets empty fields that default to the value of another field.
func (s *Settings) setDerivedDefaults() {
	if s.AdvertisePeer == "" {
		s.AdvertisePeer = s.Listen.Peers
	}
}
