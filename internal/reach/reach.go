// Package reach decides whether a machine is cut off, that is whether it can reach neither
// the store nor a leader that may get a job stored. The decision is based on the machine's
// contact with the store, the leader and other data centres. The package uses neither
// clocks nor sockets.
//
// It exists for clients of a data centre that is cut off together with the leader. The
// machines there have steady contact with their leader, so each of them would assume that
// the store is down for all data centres, continue to accept connections, and let its
// clients wait and retry at machines that are cut off too.
package reach

import "time"

const (
	// storeTimeout is the time without an answer from the store after which it counts as
	// unreachable. It exceeds the 0.8 s for which each machine's reads of the
	// configuration wait for changes.
	storeTimeout = time.Second
	// remotePeerTimeout is the time without contact to any machine of another data
	// centre after which a leader counts as cut off. The leader delivers to each machine
	// at least five times a second.
	remotePeerTimeout = 600 * time.Millisecond
)

// Connectivity describes a machine's contacts at one moment.
type Connectivity struct {
	SinceStore      time.Duration // time since the store last answered this machine
	Leads           bool          // this machine is the leader
	HasRemotePeers  bool          // on the leader: it has ever had contact with another data centre
	SinceRemotePeer time.Duration // if HasRemotePeers: time since the last such contact
	LeaderDelivers  bool          // this machine receives the leader's deliveries
	LeaderCutOff    bool          // if LeaderDelivers: the leader reports that it is cut off itself
}

// CutOff reports whether the machine can reach neither the store nor a leader that may get
// a job stored. If the store is unavailable to all data centres but they can reach each
// other, no machine is cut off, because no other machine could do better.
func (c Connectivity) CutOff() bool {
	switch {
	case c.SinceStore < storeTimeout:
		return false
	case c.Leads:
		return c.HasRemotePeers && c.SinceRemotePeer > remotePeerTimeout
	case c.LeaderDelivers:
		return c.LeaderCutOff
	default:
		return true
	}
}
