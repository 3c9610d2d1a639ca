package dispatch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/leader"
	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/replica"
	"github.com/skylarklock/skylarklock/internal/work"
)

// endingLog has the leader stop while it reads the jobs for the first time.
type endingLog struct {
	platform.PartitionLog
	stop  context.CancelFunc
	reads atomic.Int32
}

func (l *endingLog) Append(context.Context, platform.Append) (platform.Offset, error) { return 0, nil }

func (l *endingLog) Newest(context.Context, platform.Partition, string) (platform.NewestPage, error) {
	return platform.NewestPage{}, nil
}

func (l *endingLog) Read(context.Context, platform.Partition, platform.Offset, time.Duration) (platform.RecordBatch, error) {
	l.reads.Add(1)
	l.stop()
	return platform.RecordBatch{}, nil
}

// Machines that hand in records to a leader that was just replaced would wait
// for their clients' whole time. Order of events: the process was elected, read
// the jobs and was told to stop planning at that moment; records were handed in
// between that and its end. Cause: only a Runner that had begun let go of what
// was handed in when it ended, and refused the rest. The evidence: Store
// returned after an hour, with its context.
func TestLeaderStoppedDuringTakeoverRefusesSubmissions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		log := &endingLog{stop: stop}
		jobs := replica.New(time.Minute, logging.Silent())
		reader := &replica.Reader{Replica: jobs, Log: log, Timing: replica.DefaultTiming()}
		if err := reader.Restore(ctx); err != nil { // or it doesn't claim
			t.Fatal(err)
		}
		r := New(Config{
			Log:           log,
			Replica:       jobs,
			Reader:        reader,
			Peers:         assist.NewPeers("a", nil, nil),
			Configuration: func() *queue.Configuration { return &queue.Configuration{} },
			LastRenewal:   func() leader.Renewal { return leader.Renewal{} },
			Logger:        logging.Silent(),
		})
		if err := r.Run(ctx); err == nil || log.reads.Load() == 0 {
			t.Fatalf("ended with %v after %d reads", err, log.reads.Load())
		}
		client, cancel := context.WithTimeout(context.Background(), time.Hour)
		defer cancel()
		began := time.Now()
		record := platform.Record{Key: work.Key(work.KindCancellation, work.ID{1}), Value: work.CancellationValue}
		results := r.Store(client, []platform.Record{record})
		if took := time.Since(began); results[0].Outcome != assist.NotStored || took > 0 {
			t.Errorf("told %v after %v, want at once that it is not stored", results[0].Outcome, took)
		}
	})
}
