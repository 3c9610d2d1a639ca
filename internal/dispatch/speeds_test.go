package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/speed"
)

var speedsPartition = platform.Partition{Topic: "speeds", Keyed: true}

// testRecorder is a speedRecorder with the speeds that it has restored.
type testRecorder struct {
	speedRecorder
	records  []speed.Record // to be recorded
	restored []speed.Record
	age      time.Duration
}

func newTestRecorder(store platform.PartitionLog, epoch api.Epoch) *testRecorder {
	r := &testRecorder{}
	r.speedRecorder = speedRecorder{
		log: store, partition: speedsPartition, epoch: epoch, logger: logging.Nop(),
		current: func(time.Time) []speed.Record { return r.records },
		restore: func(records []speed.Record, age time.Duration, _ time.Time) { r.restored, r.age = records, age },
	}
	return r
}

// runFor runs the recorder for a time and reports whether it returned before.
func (r *testRecorder) runFor(t *testing.T, d time.Duration) bool {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	r.run(ctx)
	return ctx.Err() == nil
}

// countRecords returns how many records a partition has.
func (s *memoryStore) countRecords(p platform.Partition) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.partitions[p.Topic])
}

// The next leader takes over what the former one recorded, and a record is written only when
// the speeds have changed by more than its steps and at most every speedRecordInterval.
func TestSpeedsAreHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &memoryStore{partitions: make(map[string][]platform.Record)}
		former := newTestRecorder(store, 1)
		former.records = []speed.Record{{ID: "e", StartTimeMs: 7, Mean: -8, Deviation: 4}}
		former.runFor(t, 4*speedRecordInterval+time.Second)
		if n := store.countRecords(speedsPartition); n != 1 || former.restored != nil {
			t.Errorf("%d records of unchanged speeds, restored %v", n, former.restored)
		}
		next := newTestRecorder(store, 2)
		next.runFor(t, time.Second)
		if len(next.restored) != 1 || next.restored[0] != former.records[0] || next.age < 3*speedRecordInterval {
			t.Errorf("restored %+v of age %v", next.restored, next.age)
		}
	})
}

// A leader that has been replaced stops recording, so that it doesn't overwrite the speeds of
// its successor.
func TestReplacedLeaderStopsRecordingSpeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &memoryStore{partitions: make(map[string][]platform.Record), epoch: 3}
		r := newTestRecorder(store, 2)
		r.records = []speed.Record{{ID: "e", StartTimeMs: 7, Mean: -8, Deviation: 4}}
		if returned := r.runFor(t, 10*speedRecordInterval); !returned || store.countRecords(speedsPartition) != 0 {
			t.Errorf("returned %v, %d records", returned, store.countRecords(speedsPartition))
		}
	})
}

// An unreadable record or an unavailable store costs the speeds and nothing else.
func TestSpeedsWithoutReadableRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &memoryStore{partitions: make(map[string][]platform.Record)}
		store.put(speedsPartition, speedRecordKey, "later format")
		r := newTestRecorder(store, 1)
		r.records = []speed.Record{{ID: "e", StartTimeMs: 7, Mean: -8, Deviation: 4}}
		store.setStalled(true)
		r.runFor(t, 3*speedRecordInterval)
		if r.restored != nil || store.countRecords(speedsPartition) != 1 {
			t.Errorf("restored %v, %d records", r.restored, store.countRecords(speedsPartition))
		}
		store.setStalled(false)
		r.runFor(t, 2*speedRecordInterval)
		if n := store.countRecords(speedsPartition); n != 2 {
			t.Errorf("%d records after the store has recovered", n)
		}
	})
}
