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

// cancelLog cancels the leader's context when the leader reads the jobs for the first time.
type cancelLog struct {
	platform.PartitionLog
	stop  context.CancelFunc
	reads atomic.Int32
}

func (l *cancelLog) Append(context.Context, platform.Append) (platform.Offset, error) { return 0, nil }

func (l *cancelLog) Newest(context.Context, platform.Partition, string) (platform.NewestPage, error) {
	return platform.NewestPage{}, nil
}

func (l *cancelLog) Read(context.Context, platform.Partition, platform.Offset, time.Duration) (platform.RecordBatch, error) {
	l.reads.Add(1)
	l.stop()
	return platform.RecordBatch{}, nil
}

// A leader that is told to stop while it takes over must answer the records that are submitted to
// it until its end. Only a Runner that had completed its takeover used to answer pending
// submissions when it stopped and to refuse later ones. Otherwise Store returned only when the
// client's context ended, here after an hour.
func TestLeaderStoppedDuringTakeoverRefusesSubmissions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		log := &cancelLog{stop: stop}
		jobs := replica.New(time.Minute, logging.Nop())
		reader := &replica.Reader{Replica: jobs, Log: log, Timing: replica.DefaultTiming()}
		if err := reader.Restore(ctx); err != nil { // a process that has not read the jobs claims no leadership
			t.Fatal(err)
		}
		r := New(Config{
			Log:           log,
			Replica:       jobs,
			Reader:        reader,
			Peers:         assist.NewPeers("a", nil, nil),
			Configuration: func() *queue.Configuration { return &queue.Configuration{} },
			LastRenewal:   func() leader.Renewal { return leader.Renewal{} },
			Logger:        logging.Nop(),
		})
		if err := r.Run(ctx); err == nil || log.reads.Load() == 0 {
			t.Fatalf("Run returned %v after %d reads", err, log.reads.Load())
		}
		client, cancel := context.WithTimeout(context.Background(), time.Hour)
		defer cancel()
		start := time.Now()
		record := platform.Record{Key: work.Key(work.KindCancellation, work.ID{1}), Value: work.CancellationValue}
		results := r.Store(client, []platform.Record{record})
		if took := time.Since(start); results[0].Outcome != assist.NotStored || took > 0 {
			t.Errorf("outcome %v after %v, want NotStored immediately", results[0].Outcome, took)
		}
	})
}
