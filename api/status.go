package api

import "time"

// Status describes an entry VM to operators.
type Status struct {
	Node        NodeID         `json:"node"`
	DataCentre  DataCentre     `json:"data_centre"`
	Incarnation Incarnation    `json:"incarnation"`
	Ready       bool           `json:"ready"`
	NotReady    []string       `json:"not_ready,omitempty"` // why Ready is false
	Draining    bool           `json:"draining"`
	Revision    Revision       `json:"revision"`   // of the configuration that this entry VM uses
	Unreadable  int            `json:"unreadable"` // number of records that this binary cannot decode
	Streams     []StreamStatus `json:"streams,omitempty"`
	Members     []MemberStatus `json:"members,omitempty"`
	Shards      []ShardStatus  `json:"shards,omitempty"` // those held by this entry VM
	Tasks       map[string]int `json:"tasks,omitempty"`  // number of the data centre's tasks in each state
	Requests    int            `json:"requests"`         // number in progress
	Uptime      time.Duration  `json:"uptime_ns"`
}

// StreamStatus describes the progress of applying one stream of the log.
type StreamStatus struct {
	Stream       string        `json:"stream"`
	Applied      uint64        `json:"applied"`          // offset following the last applied record
	ConfirmedAge time.Duration `json:"confirmed_age_ns"` // since the last read that reached the end of the stream; negative if none has
	BacklogBytes int           `json:"backlog_bytes"`    // size of the entries not yet read back from the log
	Error        string        `json:"fault,omitempty"`  // why the newest read failed; empty if it succeeded
}

// MemberStatus describes an entry VM of the data centre as seen by the reporting
// entry VM.
type MemberStatus struct {
	Node    NodeID        `json:"node"`
	Address string        `json:"address"`
	Age     time.Duration `json:"age_ns"` // since the last contact
	State   string        `json:"state"`
}

// ShardStatus describes a shard that the reporting entry VM holds.
type ShardStatus struct {
	Shard     string `json:"shard"`
	Epoch     Epoch  `json:"epoch"`
	Confirmed bool   `json:"confirmed"`
}

// Problem is the body of an error answer of the operator service.
type Problem struct {
	Error string `json:"error"`
}
