package node

import (
	"testing"
	"time"
)

// The phases of a shutdown follow one another within the grace. With that of
// the users' platform a client that waits 3 s is not cut short: not even one
// whose request came with the last connection that was accepted.
func TestShutdownPhasesFitTheGracePeriod(t *testing.T) {
	const usualWait = 3 * time.Second
	for _, grace := range []time.Duration{200 * time.Millisecond, 2 * time.Second, 6 * time.Second, time.Minute} {
		s := &shutdown{grace: grace}
		began := s.begin()
		accept, wait, answer := s.acceptUntil().Sub(began), s.waitUntil().Sub(began), s.answerUntil().Sub(began)
		if accept <= 0 || wait <= accept || answer <= wait || grace <= answer {
			t.Errorf("grace %v: accepts until %v, waits until %v, answers until %v", grace, accept, wait, answer)
		}
		if grace >= 6*time.Second && wait-accept < usualWait {
			t.Errorf("grace %v: a request may wait %v after the last connection", grace, wait-accept)
		}
	}
}
