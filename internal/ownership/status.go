package ownership

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// MemberStatus is the status of one member of the roster as seen by this process.
type MemberStatus struct {
	Node        api.NodeID      `json:"node"`
	Incarnation api.Incarnation `json:"incarnation"`
	Address     string          `json:"address"`
	Shards      int             `json:"shards"`     // number of shards that it holds
	Suspected   bool            `json:"suspected"`  // no heartbeat for longer than the suspicion time
	Challenged  bool            `json:"challenged"` // has not answered a challenge in the log
	Leaving     bool            `json:"leaving"`
	VersionLag  uint64          `json:"behind"` // number of table versions that it has not acknowledged
}

// ShardStatus is the status of one shard as seen by this process.
type ShardStatus struct {
	Shard           string               `json:"shard"`
	Status          string               `json:"status"` // "free", "held", "released" or "ended"
	Holder          api.NodeID           `json:"holder,omitempty"`
	Epoch           api.Epoch            `json:"epoch"`
	Access          string               `json:"state"`               // what this process may do: "none", "floor" or "full"
	WaitMs          int64                `json:"wait_ms,omitempty"`   // remaining time until it may use its claim
	Closed          bool                 `json:"closed,omitempty"`    // it has stopped using the shard in order to release it
	ByGrants        bool                 `json:"by_grants,omitempty"` // confirmed by grants instead of the log
	FormerHolders   []FormerHolderStatus `json:"left_to,omitempty"`   // former holders that may still use slots
	HolderSuspected bool                 `json:"silent,omitempty"`    // the holder is suspected
	Unlisted        bool                 `json:"unlisted,omitempty"`  // the holder is not in the VM list
}

// FormerHolderStatus is what a former holder may still use.
type FormerHolderStatus struct {
	Node     api.NodeID `json:"node"`
	Lost     bool       `json:"lost"`      // lost the shard without releasing it; may use its floor share
	InFlight int        `json:"in_flight"` // otherwise: slots that it may use at each endpoint
}

// Status is what this process knows about ownership, for operators.
type Status struct {
	Self         api.NodeID     `json:"self"`
	Member       bool           `json:"member"`
	Draining     bool           `json:"draining"`
	Version      uint64         `json:"version"`          // of the table
	ConfirmedMs  int64          `json:"confirmed_ms_ago"` // age of the log's confirmation; -1 before the first
	LogConfirmed bool           `json:"log_confirmed"`
	Members      []MemberStatus `json:"members"`
	Shards       []ShardStatus  `json:"shards"`
}

var holdStatusNames = [...]string{"free", "held", "released", "ended"}

// String returns the name of the status for operators.
func (s HoldStatus) String() string {
	if int(s) < len(holdStatusNames) {
		return holdStatusNames[s]
	}
	return "invalid"
}

// Status returns what this process knows about ownership at now.
func (c *Controller) Status(now time.Time) Status {
	health := c.cfg.Health(now)
	unlisted := c.cfg.Unlisted(now)
	status := Status{Self: c.cfg.Self.Node, Draining: c.Draining()}
	c.readState(func(t *Table, e *Evidence) {
		status.Member = t.IsMember(e.Self)
		status.Version = t.Version
		status.ConfirmedMs = confirmedAge(e, now)
		status.LogConfirmed = c.cfg.Timing.LogConfirmed(e, now)
		status.Members = memberStatuses(t, health)
		for _, s := range Shards() {
			shard := c.shardStatus(t, e, s, now)
			_, shard.Unlisted = unlisted[shard.Holder]
			shard.HolderSuspected = health[shard.Holder].Suspected
			status.Shards = append(status.Shards, shard)
		}
	})
	return status
}

// confirmedAge returns the age of the log's confirmation in milliseconds, or -1
// if there is none.
func confirmedAge(e *Evidence, now time.Time) int64 {
	if e.ConfirmedAt.IsZero() {
		return -1
	}
	return now.Sub(e.ConfirmedAt).Milliseconds()
}

// memberStatuses returns the status of each member of the roster.
func memberStatuses(t *Table, health map[api.NodeID]Health) []MemberStatus {
	shards := make(map[Identity]int)
	for _, h := range t.Holds {
		if h.Status == StatusHeld {
			shards[h.Process]++
		}
	}
	members := make([]MemberStatus, 0, len(t.Members))
	for _, m := range t.Roster() {
		members = append(members, MemberStatus{
			Node:        m.Process.Node,
			Incarnation: m.Process.Incarnation,
			Address:     m.Address,
			Shards:      shards[m.Process],
			Suspected:   health[m.Process.Node].Suspected,
			Challenged:  m.Challenged > m.Acked,
			Leaving:     m.Leaving || health[m.Process.Node].Draining,
			VersionLag:  t.Version - m.Acked,
		})
	}
	return members
}

// shardStatus returns the status of s without what the heartbeats and the VM list
// say about its holder.
func (c *Controller) shardStatus(t *Table, e *Evidence, s Shard, now time.Time) ShardStatus {
	h := t.Holds[s]
	a := c.cfg.Timing.Decide(t, e, s, now)
	status := ShardStatus{
		Shard:    s.String(),
		Status:   h.Status.String(),
		Epoch:    h.Epoch,
		Access:   a.Access.String(),
		Closed:   h.HeldBy(e.Self) && e.ClosedEpochs[s] == h.Epoch,
		ByGrants: a.ByGrants,
	}
	if h.Status == StatusHeld {
		status.Holder = h.Process.Node
	}
	if a.UsableAt.After(now) {
		status.WaitMs = a.UsableAt.Sub(now).Milliseconds()
	}
	for _, f := range h.Previous {
		if t.IsMember(f.Process) {
			status.FormerHolders = append(status.FormerHolders, FormerHolderStatus{Node: f.Process.Node, Lost: f.Lost, InFlight: int(f.InFlight)})
		}
	}
	return status
}
