package replica

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// The cost of finding the unfinished jobs among 100,000.
func BenchmarkUnfinishedJobs(b *testing.B) {
	r := New(time.Hour, logging.Nop())
	for n := range 100_000 {
		id := work.ID{byte(n >> 16), byte(n >> 8), byte(n), 7: byte(n)}
		value, err := work.EncodeJob(&work.Job{ID: id, Queue: "q", Steps: []work.Step{{TaskCount: 1}}})
		if err != nil {
			b.Fatal(err)
		}
		records := []platform.Record{{Key: work.Key(work.KindJob, id), Value: value}}
		if n%10 != 0 { // most have ended
			progress, err := work.EncodeProgress(&work.Progress{State: work.Completed})
			if err != nil {
				b.Fatal(err)
			}
			records = append(records, platform.Record{Key: work.Key(work.KindProgress, id), Value: progress, Offset: 1})
		}
		r.apply(records, 0, time.Now())
	}
	for b.Loop() {
		if got := len(r.UnfinishedJobs()); got != 10_000 {
			b.Fatalf("%d unfinished jobs", got)
		}
	}
}
