package api

import "time"

// Status is what an entry VM reports of itself to operators.
type Status struct {
	Node        NodeID         `json:"node"`
	DataCentre  DataCentre     `json:"data_centre"`
	Incarnation Incarnation    `json:"incarnation"`
	Ready       bool           `json:"ready"`
	NotReady    []string       `json:"not_ready,omitempty"` // what is missing for Ready
	Draining    bool           `json:"draining"`
	Revision    Revision       `json:"revision"`   // of the configuration in force here
	Unreadable  int            `json:"unreadable"` // records that this binary doesn't understand
	Streams     []StreamStatus `json:"streams,omitempty"`
	Members     []MemberStatus `json:"members,omitempty"`
	Shards      []ShardStatus  `json:"shards,omitempty"` // held by this entry VM
	Tasks       map[string]int `json:"tasks,omitempty"`  // of the data centre, by state
	Requests    int            `json:"requests"`         // in progress
	Uptime      time.Duration  `json:"uptime_ns"`
}

// StreamStatus says how far a stream of the log has been applied.
type StreamStatus struct {
	Stream       string        `json:"stream"`
	Applied      uint64        `json:"applied"`          // offset after the last applied record
	ConfirmedAge time.Duration `json:"confirmed_age_ns"` // since the last read that reached the end; negative: never
	Backlog      int           `json:"backlog"`          // entries that wait to be appended
	Error        string        `json:"fault,omitempty"`
}

// MemberStatus is one entry VM of the data centre as this one sees it.
type MemberStatus struct {
	Node    NodeID        `json:"node"`
	Address string        `json:"address"`
	Age     time.Duration `json:"age_ns"` // since it was last heard
	State   string        `json:"state"`
}

// ShardStatus is one shard that this entry VM holds.
type ShardStatus struct {
	Shard     string `json:"shard"`
	Epoch     Epoch  `json:"epoch"`
	Confirmed bool   `json:"confirmed"`
}

// Problem is the operator service's answer to a request that it can't meet.
type Problem struct {
	Error string `json:"error"`
}
