// Package reach judges whether a machine is cut off from all that could have a job
// stored, by what it hears of the store, of the leader and of other data centres. It
// holds neither clock nor sockets.
//
// The load it answers: clients of a data centre that is cut off together with the
// leader. The machines there hear from their leader all the time, so each of them
// takes the store to be down for everybody, goes on taking connections and has its
// clients wait and try again at machines that are cut off too.
package reach

import "time"

const (
	// storeSilence is for how long the store may have answered nothing: each machine
	// reads the configuration with calls that wait 0.8 s for news.
	storeSilence = time.Second
	// beyondSilence is for how long a leader may have heard nothing from any machine of
	// another data centre: it delivers to each at least five times a second.
	beyondSilence = 600 * time.Millisecond
)

// Connectivity are what a machine hears at a moment.
type Connectivity struct {
	SinceStore      time.Duration // since the store last answered this machine
	Leads           bool          // this machine leads
	HasRemotePeers  bool          // Leads: machines of other data centres have been heard at all
	SinceRemotePeer time.Duration // Spread: since the last of them was heard
	LeaderDelivers  bool          // the leader delivers to this machine
	LeaderCutOff    bool          // Fed: with the word that it is cut off itself
}

// CutOff reports whether the machine reaches nobody who could have a job stored. While
// the store is silent for all data centres, which still reach each other, none is cut
// off: others could do no better.
func (s Connectivity) CutOff() bool {
	switch {
	case s.SinceStore < storeSilence:
		return false
	case s.Leads:
		return s.HasRemotePeers && s.SinceRemotePeer > beyondSilence
	case s.LeaderDelivers:
		return s.LeaderCutOff
	default:
		return true
	}
}
