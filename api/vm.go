package api

// VMState is the state of a VM as reported by the platform. It may be out of
// date.
type VMState string

// States of a VM in the platform's VM list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is a worker VM as listed by the platform.
type VM struct {
	ID         VMID       `json:"id"`
	DataCentre DataCentre `json:"data_centre"`
	Rack       string     `json:"rack"`
	Address    string     `json:"address"` // IP:port of the worker agent
	Capacity   Resources  `json:"capacity"`
	State      VMState    `json:"state"`
	Endpoints  []Endpoint `json:"endpoints,omitempty"`
}

// Endpoint is an executor of a service that runs on a VM.
type Endpoint struct {
	ID          EndpointID `json:"id"`
	Service     string     `json:"service"`
	VM          VMID       `json:"vm"`
	DataCentre  DataCentre `json:"data_centre"`
	Address     string     `json:"address"`     // IP:port
	Slots       int        `json:"slots"`       // maximum number of concurrent requests
	Connections int        `json:"connections"` // maximum number of connections from all entry VMs together
	Leaving     bool       `json:"leaving"`
}
