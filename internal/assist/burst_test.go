package assist

import (
	"context"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/leader"
	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// What the leader writes at once about jobs that ended (at most 2,000 of them,
// four records each; dispatch.tidyAtOnce) doesn't leave all machines behind.
func TestMachinesFollowTheRecordsOfEndedJobs(t *testing.T) {
	now := time.Now()
	m := &machine{position: 10}
	h := NewHelpers("self", nil, m)
	p := NewPublisher(leader.Leader{Epoch: 3}, 10, h, m, func() time.Duration { return 0 }, func(api.Epoch) {}, logging.Silent())
	at := Attachment{Node: "a", Address: "a:1"}
	deliver := func() {
		now = now.Add(deliverEvery)
		if d, due := p.next(at.Node, now); due {
			p.deliver(context.Background(), at, d)
		}
	}
	deliver() // learns where the machine is
	var records []platform.Record
	for i := range platform.Offset(2000 * 3) {
		records = append(records, platform.Record{Offset: 10 + i, Key: "k"})
	}
	p.Add(records)
	for range 100 {
		deliver()
	}
	if m.position != 10+2000*3 {
		t.Errorf("the machine knows %d of %d records", m.position-10, len(records))
	}
}
