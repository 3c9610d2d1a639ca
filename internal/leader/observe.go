package leader

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// ObserveLeader handles another process's report of who leads, which is the only source
// for a process that can't read the store. It returns the highest known epoch.
func (e *Elector) ObserveLeader(l Leader) api.Epoch {
	e.mu.Lock()
	if e.state == nil {
		e.state = NewState(e.cfg.Self, 0, time.Now())
		e.storeUnread = true
	}
	led := e.state.Leads()
	if e.state.observeLeader(l, time.Now()) {
		e.suspected = false
	}
	lost := led && !e.state.Leads()
	highestEpoch := e.state.highestEpoch
	e.mu.Unlock()
	if lost {
		e.cfg.Logger.WithFields(logrus.Fields{"by": l.Node, "epoch": l.Epoch}).Warn("this process hears that it was replaced as leader")
		e.cfg.OnLost()
	}
	return highestEpoch
}

// Renewal describes a leader's newest renewal that is known to be stored.
type Renewal struct {
	_   struct{}        `cbor:",toarray"`
	Age time.Duration   // time since it was sent
	End platform.Offset // end of the partition after it
}

// ObserveRenewal handles the last confirmed renewal as reported by the leader of an
// epoch. While it is fresh the store need not be read.
func (e *Elector) ObserveRenewal(epoch api.Epoch, r Renewal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state != nil {
		e.state.observeRenewal(epoch, time.Now().Add(-r.Age), r.End)
	}
}

// SinceContact returns the time since the last sign of life from the leader, and whether
// the leader has stepped down.
func (e *Elector) SinceContact(now time.Time) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state == nil {
		return 0, false // the partition has not been read yet
	}
	return e.state.SinceContact(now), e.state.Released()
}

// LastRenewal returns the last confirmed renewal of this process as leader. A process
// that does not lead returns one with an age of an hour.
func (e *Elector) LastRenewal() Renewal {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state == nil || !e.state.Leads() {
		return Renewal{Age: time.Hour}
	}
	return Renewal{Age: time.Duration(uptime() - e.state.lastConfirmedSent), End: e.state.lastConfirmedEnd}
}

// Invitation asks a process to claim the cell after the leader has stepped down.
type Invitation struct {
	_                  struct{}        `cbor:",toarray"`
	Epoch              api.Epoch       // of the leader that stepped down
	End                platform.Offset // of the partition, after that leader's last record
	LastAppendDuration time.Duration   // of that leader
}

// Invite makes this process claim the cell at once, at the partition's end named by the
// invitation. The claim fails if another record was appended there. Without an invitation
// a process first reads that the leader has stepped down and reads again before its claim,
// and each read takes as long as an append.
func (e *Elector) Invite(i Invitation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state == nil || e.storeUnread || e.stopping || !e.state.acceptInvitation(i.Epoch, i.End, time.Now()) {
		return
	}
	e.invited = true
	e.lastAppendDuration = max(e.lastAppendDuration, i.LastAppendDuration)
	if e.cancelWatch != nil {
		e.cancelWatch(errInvited)
	}
	e.Wake()
}

// SuspectLeader records that the process of the given leader does not answer calls,
// which shortens the silence before a claim.
func (e *Elector) SuspectLeader(epoch api.Epoch) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state == nil || e.state.Current().Epoch != epoch {
		return
	}
	if e.suspected {
		return
	}
	e.suspected = true
	if e.cancelWatch != nil {
		e.cancelWatch(errSuspected)
	}
	e.Wake()
}

// LeaderDenied records that the process at the given leader's address says that it
// doesn't lead, for example after a restart. If the silence already exceeds
// Timing.AbandonedSilence, the leader counts as having stepped down. Otherwise the call
// has no effect.
func (e *Elector) LeaderDenied(epoch api.Epoch) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state != nil && e.state.Current().Epoch == epoch && e.state.SinceContact(time.Now()) > e.cfg.Timing.AbandonedSilence {
		e.state.released = true
	}
}

// ClearSuspicion reverts SuspectLeader.
func (e *Elector) ClearSuspicion() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.suspected = false
}
