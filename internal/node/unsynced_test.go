package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/replica"
)

// A process that is still reading the jobs refuses a status request early enough for the
// client to ask another machine.
func TestUnsyncedProcessRefusesStatusRequestsEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Node{replica: replica.New(time.Minute, logging.Nop())}
		n.reader = &replica.Reader{Replica: n.replica, Log: emptyLog{}, Timing: replica.DefaultTiming()}
		client, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		began := time.Now()
		if err := n.sync(client); err == nil {
			t.Error("sync succeeded before the jobs were read")
		}
		if took := time.Since(began); took != unsyncedTimeout {
			t.Errorf("refused after %v, want after unsyncedTimeout", took)
		}
	})
}
