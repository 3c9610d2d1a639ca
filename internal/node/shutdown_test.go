package node

import (
	"testing"
	"time"
)

// The phases of a shutdown follow one another within the grace period. With the grace
// period of the users' platform, a client that waits 3 s is not cut off, even if its
// request came on the last connection that was accepted.
func TestShutdownPhasesFitTheGracePeriod(t *testing.T) {
	const clientWait = 3 * time.Second
	for _, gracePeriod := range []time.Duration{200 * time.Millisecond, 2 * time.Second, 6 * time.Second, time.Minute} {
		s := &shutdown{gracePeriod: gracePeriod}
		startedAt := s.start()
		accept, wait, answer := s.acceptDeadline().Sub(startedAt), s.waitDeadline().Sub(startedAt), s.answerDeadline().Sub(startedAt)
		if accept <= 0 || wait <= accept || answer <= wait || gracePeriod <= answer {
			t.Errorf("grace period %v: accepts until %v, waits until %v, answers until %v", gracePeriod, accept, wait, answer)
		}
		if gracePeriod >= 6*time.Second && wait-accept < clientWait {
			t.Errorf("grace period %v: a request may wait %v after the last connection", gracePeriod, wait-accept)
		}
	}
}
