package assist

import (
	"testing"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/replica"
	"github.com/skylarklock/skylarklock/internal/work"
)

// What the leader writes at once about jobs that ended (at most 2,000 of them,
// four records each; dispatch.tidyAtOnce) doesn't leave all machines behind, and
// no standby.
func TestMachinesKeepUpWithCleanupRecords(t *testing.T) {
	m := &machine{position: 10, content: 10, whole: true}
	f := newFeed(m, 0)
	f.choose([]Attachment{f.at}, f.now)
	f.deliver(deliverEvery) // learns where the machine is
	var a replica.AppliedBatch
	for i := range platform.Offset(2000 * 3) {
		job := work.ID{byte(i / 3 >> 8), byte(i / 3)}
		kind := []work.Kind{work.KindOutcome, work.KindJob, work.KindProgress}[i%3]
		a.Records = append(a.Records, platform.Record{Offset: 10 + i, Key: work.Key(kind, job)})
	}
	f.Add(a)
	for range 100 {
		f.deliver(deliverEvery)
		f.deliverContent(contentEvery)
	}
	if want := platform.Offset(10 + 2000*3); m.position != want || m.content != want {
		t.Errorf("of %d records the machine knows %d and keeps %d", len(a.Records), m.position-10, m.content-10)
	}
}
