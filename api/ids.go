package api

// DataCentre is the name of a data centre, as given in the settings of its VMs.
type DataCentre string

// NodeID identifies an entry VM. It is unique among the live entry VMs.
type NodeID string

// Incarnation distinguishes successive processes with the same NodeID. It is
// chosen at random when a process starts and is never zero.
type Incarnation uint64

// VMID identifies a worker VM, as given in the platform's VM list.
type VMID string

// EndpointID identifies one executor of a service.
type EndpointID string

// JobID identifies a service, batch job or gang job. It is unique in the cell.
type JobID string

// TaskID identifies one task by its job and its index within the job.
type TaskID struct {
	_     struct{} `cbor:",toarray"`
	Job   JobID    `json:"job"`
	Index uint32   `json:"index"`
}

// Epoch numbers the successive holders of a shard in log order. A larger epoch
// supersedes every smaller one. Zero means that the shard has never been held.
type Epoch uint64

// Revision numbers accepted configuration records in log order, from 1.
type Revision uint64
