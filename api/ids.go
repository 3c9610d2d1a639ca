package api

// DataCentre names one data centre, as given in the settings of its VMs.
type DataCentre string

// NodeID names one entry VM. It is unique among the live entry VMs.
type NodeID string

// Incarnation tells one run of a process from the next on the same NodeID.
// It is drawn at random when the process starts and is never zero.
type Incarnation uint64

// VMID names a worker VM as the platform's VM list does.
type VMID string

// EndpointID names one executor of a service.
type EndpointID string

// JobID names a service, batch job or gang job. It is unique in the cell.
type JobID string

// TaskID names one task of a job: the job and the task's index within it.
type TaskID struct {
	_     struct{} `cbor:",toarray"`
	Job   JobID    `json:"job"`
	Index uint32   `json:"index"`
}

// Epoch numbers the holders of one shard in log order. A larger epoch
// supersedes every smaller one; zero means that nobody has held the shard.
type Epoch uint64

// Revision numbers accepted configuration records in log order, from 1.
type Revision uint64
