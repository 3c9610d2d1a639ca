package leader

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// ObserveLeader takes in from another process who leads: one that can't read the
// store learns it only so. It returns the highest epoch known.
func (e *Elector) ObserveLeader(l Leader) api.Epoch {
	e.mu.Lock()
	if e.state == nil {
		e.state = NewState(e.cfg.Self, 0, time.Now())
		e.unread = true
	}
	led := e.state.Leads()
	if e.state.learn(l, time.Now()) {
		e.suspected = false
	}
	lost := led && !e.state.Leads()
	highest := e.state.highest
	e.mu.Unlock()
	if lost {
		e.cfg.Logger.WithFields(logrus.Fields{"by": l.Node, "epoch": l.Epoch}).Warn("this process hears that it was replaced as leader")
		e.cfg.OnLost()
	}
	return highest
}

// Renewal tells of a leader's newest renewal that is known to be stored.
type Renewal struct {
	_   struct{}        `cbor:",toarray"`
	Age time.Duration   // since it was sent
	End platform.Offset // the partition's end after it
}

// ObserveRenewal takes in from the leader of an epoch its last confirmed renewal: while
// that is fresh the store need not be read.
func (e *Elector) ObserveRenewal(epoch api.Epoch, r Renewal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state != nil {
		e.state.assured(epoch, time.Now().Add(-r.Age), r.End)
	}
}

// SinceContact returns for how long nothing was heard of the leader, and whether it has
// stepped down.
func (e *Elector) SinceContact(now time.Time) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state == nil {
		return 0, false // the partition has not been read yet
	}
	return e.state.SinceContact(now), e.state.Released()
}

// LastRenewal returns the last confirmed renewal of this process as leader.
func (e *Elector) LastRenewal() Renewal {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state == nil || !e.state.Leads() {
		return Renewal{Age: time.Hour}
	}
	return Renewal{Age: time.Duration(uptime() - e.state.confirmed), End: e.state.lasts}
}

// Invitation asks a process to claim the cell after a leader that has stepped down.
type Invitation struct {
	_                  struct{}        `cbor:",toarray"`
	Epoch              api.Epoch       // of that leader
	End                platform.Offset // of the partition after its last record
	LastAppendDuration time.Duration   // what its last append took
}

// Invite has this process claim the cell at once, at the end of the partition that it is
// told: the claim fails if that has gone on. Others read first that the leader has
// stepped down, and once more before they claim, each of which takes as long as an append.
func (e *Elector) Invite(i Invitation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state == nil || e.unread || e.stopping || !e.state.invite(i.Epoch, i.End, time.Now()) {
		return
	}
	e.invited = true
	e.usual = max(e.usual, i.LastAppendDuration)
	if e.waits != nil {
		e.waits(errInvited)
	}
	e.Wake() // wakes the loop
}

// SuspectLeader notes that the process of the given leader answers no call, so that
// less silence is waited for.
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
	if e.waits != nil {
		e.waits(errSuspected)
	}
	e.Wake() // wakes the loop
}

// LeaderDenied notes that the process at the address of the given leader says
// that it doesn't lead, as after a restart: no silence has to be waited for.
func (e *Elector) LeaderDenied(epoch api.Epoch) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state != nil && e.state.Current().Epoch == epoch && e.state.SinceContact(time.Now()) > e.cfg.Timing.AbandonedSilence {
		e.state.released = true
	}
}

// ClearSuspicion takes back a suspicion.
func (e *Elector) ClearSuspicion() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.suspected = false
}
