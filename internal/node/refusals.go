package node

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/refusal"
	"github.com/skylarklock/skylarklock/internal/work"
)

// localRefusals holds what the leader refuses, for refusals without a call to it. It is safe for
// concurrent use.
type localRefusals struct {
	mu      sync.Mutex
	board   refusal.Board
	refused atomic.Int64 // submissions refused since the last log line
}

// setRefused records the news that came with a delivery; nil: nothing is refused.
func (n *Node) setRefused(epoch api.Epoch, news *refusal.News) {
	n.localRefusals.mu.Lock()
	defer n.localRefusals.mu.Unlock()
	n.localRefusals.board.Receive(epoch, news, n.settings.Node, time.Now())
}

// refuseHere decides whether this machine refuses a job without a call to the leader. It doesn't while it
// leads, is still reading the jobs, or hears that the leader is cut off.
func (n *Node) refuseHere(j *work.Job, q *queue.Queue) refusal.Verdict {
	if !n.settings.Overload || !refusal.Concerns(j) || n.epoch.Load() != 0 || n.leaderCutOff.Load() || !n.replica.Synced() {
		return refusal.Verdict{}
	}
	leader := n.elector.Current().Epoch
	n.localRefusals.mu.Lock()
	defer n.localRefusals.mu.Unlock()
	v := n.localRefusals.board.Decide(refusal.KeyOf(j), refusal.SizeOf(j, q), leader, time.Now())
	if v.Refused {
		n.localRefusals.refused.Add(1)
	}
	return v
}

// logRefusals logs how many submissions were refused since the last call, if any were.
func (n *Node) logRefusals() {
	if refused := n.localRefusals.refused.Swap(0); refused > 0 {
		n.log.WithField("jobs", refused).Info("submissions refused without a call to the leader")
	}
}
