package api

// VMState is the platform's word on a VM; it lags the truth.
type VMState string

// States of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one worker VM as listed by the platform.
type VM struct {
	ID         VMID       `json:"id"`
	DataCentre DataCentre `json:"data_centre"`
	Rack       string     `json:"rack"`
	Address    string     `json:"address"` // worker agent, IP:port
	Capacity   Resources  `json:"capacity"`
	State      VMState    `json:"state"`
	Endpoints  []Endpoint `json:"endpoints,omitempty"`
}

// Endpoint is one executor of a service, running on a VM.
type Endpoint struct {
	ID          EndpointID `json:"id"`
	Service     string     `json:"service"`
	VM          VMID       `json:"vm"`
	DataCentre  DataCentre `json:"data_centre"`
	Address     string     `json:"address"`     // IP:port
	Slots       int        `json:"slots"`       // requests it runs at once
	Connections int        `json:"connections"` // connections it accepts, from all entry VMs together
	Leaving     bool       `json:"leaving"`
}
