package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/replica"
)

// A look at a job at a process that still reads the jobs is refused while its
// client has time to look elsewhere.
func TestUnsyncedProcessRefusesStatusRequestsEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Node{replica: replica.New(time.Minute, logging.Nop())}
		n.reader = &replica.Reader{Replica: n.replica, Log: emptyLog{}, Timing: replica.DefaultTiming()}
		client, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		asked := time.Now()
		if err := n.sync(client); err == nil {
			t.Error("it counts as read")
		}
		if took := time.Since(asked); took != unreadPatience {
			t.Errorf("refused after %v", took)
		}
	})
}
