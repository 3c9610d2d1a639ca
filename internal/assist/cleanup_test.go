package assist

import (
	"testing"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/replica"
	"github.com/skylarklock/skylarklock/internal/work"
)

// The records that one cleanup of ended jobs writes (up to 2,000 jobs with four records each, see
// dispatch.maxCleanupJobs) must not make all machines or any standby lag behind what the publisher
// keeps.
func TestMachinesKeepUpWithCleanupRecords(t *testing.T) {
	m := &fakeMachine{position: 10, contentPosition: 10, hasContent: true}
	f := newTestPublisher(m, 0)
	f.updateStandbys([]Attachment{f.attachment}, f.now)
	f.deliver(minDeliveryInterval) // learns the machine's position
	var a replica.AppliedBatch
	for i := range platform.Offset(2000 * 3) {
		job := work.ID{byte(i / 3 >> 8), byte(i / 3)}
		kind := []work.Kind{work.KindOutcome, work.KindJob, work.KindProgress}[i%3]
		a.Records = append(a.Records, platform.Record{Offset: 10 + i, Key: work.Key(kind, job)})
	}
	f.Add(a)
	for range 100 {
		f.deliver(minDeliveryInterval)
		f.deliverContent(contentInterval)
	}
	if want := platform.Offset(10 + 2000*3); m.position != want || m.contentPosition != want {
		t.Errorf("of %d records the machine knows %d and keeps the content of %d", len(a.Records), m.position-10, m.contentPosition-10)
	}
}
