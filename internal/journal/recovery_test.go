package journal

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/standin/logserver"
)

// faultyLog is one node's connection to the log. It can be cut, and it can
// corrupt reads.
type faultyLog struct {
	platform.Log
	cut, cutReads atomic.Bool
	corruptReads  atomic.Int32 // number of reads still to be corrupted in transit
	corruptions   atomic.Uint64
	afterRead     func() // called once, after the next read
}

func (l *faultyLog) Append(ctx context.Context, stream string, data []byte) (platform.Offset, error) {
	if l.cut.Load() {
		return 0, platform.ErrUnavailable
	}
	return l.Log.Append(ctx, stream, data)
}

func (l *faultyLog) Read(ctx context.Context, stream string, from platform.Offset, max int, wait time.Duration) (platform.LogBatch, error) {
	if l.cut.Load() || l.cutReads.Load() {
		return platform.LogBatch{}, platform.ErrUnavailable
	}
	got, err := l.Log.Read(ctx, stream, from, max, wait)
	if l.cut.Load() || l.cutReads.Load() {
		return platform.LogBatch{}, platform.ErrUnavailable
	}
	if l.afterRead != nil {
		l.afterRead()
		l.afterRead = nil
	}
	if len(got.Records) > 0 && l.corruptReads.Add(-1) >= 0 {
		got.Records[0].Data = Encode(l.corruptions.Add(1)) // different bytes each time
	}
	return got, err
}

// useSmallLimits sets small limits for records and snapshots.
func useSmallLimits(c *Config) {
	c.MaxRecordBytes = minRecordBytes
	c.MaxSnapshotRecords = 20
	c.MaxSnapshotInterval = 24 * time.Hour
	c.FlushInterval = time.Millisecond
}

func proposeRange(t *testing.T, n *node, from, to int) {
	t.Helper()
	for i := from; i < to; i++ {
		wantErr(t, n.propose(fmt.Sprint(i), time.Minute), nil)
	}
}

func wantSameState(t *testing.T, a, b *node) {
	t.Helper()
	if !b.Ready() || !reflect.DeepEqual(a.machine.list(), b.machine.list()) {
		t.Errorf("%s: ready %v, %d entries, want the same %d entries as on %s; stats %+v", b.cfg.Origin.Node, b.Ready(),
			len(b.machine.list()), len(a.machine.list()), a.cfg.Origin.Node, b.Stats())
	}
}

func TestSnapshotsCoverTrimmedRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logserver.New(logserver.Config{RetainRecords: 100})
		logOfB := &faultyLog{Log: log}
		a, b := readyNode(t, log, "a", useSmallLimits), readyNode(t, logOfB, "b", useSmallLimits)

		// One copy of the first batch is appended after everything else.
		log.SetFaults(logserver.Faults{LateAppends: 1, LateBy: time.Hour})
		proposeRange(t, a, 0, 1)
		// A batch of b is appended, but b is cut off and doesn't read it back.
		logOfB.cutReads.Store(true)
		log.SetFaults(logserver.Faults{LoseAnswers: 1})
		var lost error
		go func() { lost = b.propose("lost", 24*time.Hour) }()
		waitIdle()
		proposeRange(t, a, 1, 500)
		logOfB.cutReads.Store(false)
		waitIdle()
		wantSameState(t, a, b)
		wantErr(t, lost, ErrUnsettled)

		c := readyNode(t, log, "c", useSmallLimits)
		wantSameState(t, a, c)
		time.Sleep(2 * time.Hour)
		wantSameState(t, a, c)
		proposeRange(t, c, 500, 510)
		waitIdle()
		wantSameState(t, a, c)
		if got := len(a.machine.list()); got != 511 {
			t.Errorf("%d entries, want 511", got)
		}
		written := a.Stats().SnapshotsWritten + b.Stats().SnapshotsWritten
		if s := c.Stats(); s.SnapshotsRestored != 1 || s.RecordsRepeated != 1 || written < 5 || written > 60 {
			t.Errorf("%d snapshots written; stats of c %+v", written, s)
		}
	})
}

func TestIdleStreamIsSnapshotBeforeTrim(t *testing.T) {
	runInBubble(t, func(t *testing.T, log *logserver.Server) {
		a := readyNode(t, log, "a", nil)
		proposeRange(t, a, 0, 3)
		for range 20 { // the log retains records for two snapshot intervals
			end := a.Applied()
			time.Sleep(2 * DefaultMaxSnapshotInterval)
			log.Trim("dc/a", end)
		}
		b := readyNode(t, log, "b", nil)
		wantSameState(t, a, b)
	})
}

func TestGapStopsReplicaUntilImport(t *testing.T) {
	runInBubble(t, func(t *testing.T, log *logserver.Server) {
		a := readyNode(t, log, "a", nil)
		proposeRange(t, a, 0, 50)
		old, err := a.Export()
		wantErr(t, err, nil)
		proposeRange(t, a, 50, 60)
		a.stopAndWait()
		log.Trim("dc/a", a.Applied())

		b := readyNode(t, log, "b", nil)
		if s := b.Stats(); s.Ready || s.Gaps != 1 || s.Reads > 100 {
			t.Errorf("stats %+v", s)
		}
		wantErr(t, b.propose("x", time.Second), ErrNotReady)
		_, err = b.Export()
		wantErr(t, err, ErrIncompleteState)
		wantErr(t, b.Import(old), nil)
		waitIdle()
		if b.Ready() {
			t.Error("replica is ready with a state from before the gap")
		}
		newest, err := a.Export()
		wantErr(t, err, nil)
		wantErr(t, b.Import(newest), nil)
		wantErr(t, b.Import(old), ErrStaleState)
		newest.Data[len(newest.Data)/2] ^= 1
		newest.Position++
		wantErr(t, b.Import(newest), ErrInvalidState)
		waitIdle()
		wantSameState(t, a, b)
		proposeRange(t, b, 60, 61)
	})
}

func TestStartWithLogDownImportsPeerState(t *testing.T) {
	runInBubble(t, func(t *testing.T, log *logserver.Server) {
		a := readyNode(t, log, "a", nil)
		proposeRange(t, a, 0, 5)
		log.SetFaults(logserver.Faults{Down: true})
		time.Sleep(time.Hour)
		b := readyNode(t, log, "b", nil)
		if b.Ready() {
			t.Error("replica is ready without any state")
		}
		st, err := a.Export()
		wantErr(t, err, nil)
		wantErr(t, b.Import(st), nil)
		wantSameState(t, a, b)
		if !b.ConfirmedAt().IsZero() || time.Since(a.ConfirmedAt()) < time.Hour {
			t.Error("stream is confirmed without a read")
		}
		if reads := log.Stats().Reads; reads > 6000 {
			t.Errorf("%d reads in an hour of outage, want at most 6000", reads)
		}
		log.SetFaults(logserver.Faults{})
		proposeRange(t, b, 5, 6)
		waitIdle()
		wantSameState(t, a, b)

		empty := logserver.New(logserver.Config{})
		c := startNode(t, empty, "c", nil)
		wantErr(t, c.Import(st), nil)
		waitIdle()
		d := readyNode(t, empty, "d", nil)
		proposeRange(t, d, 0, 20) // c must stay unready after that log has grown past the state
		waitIdle()
		if c.Ready() {
			t.Error("replica is ready on a log that ended before the imported state")
		}
	})
}

func TestTornRecordsAreSkippedByAllReplicas(t *testing.T) {
	runInBubble(t, func(t *testing.T, log *logserver.Server) {
		logOfB := &faultyLog{Log: log}
		a, b := readyNode(t, log, "a", nil), readyNode(t, logOfB, "b", nil)
		logOfB.corruptReads.Store(3) // corrupted in transit to b only, so b must read again
		proposeRange(t, a, 0, 3)

		logOfB.cutReads.Store(true)
		waitIdle()
		var torn error
		go func() { torn = b.propose("torn", time.Minute) }()
		waitIdle()
		log.Corrupt("dc/a", 3, []byte("damaged at rest"))
		logOfB.cutReads.Store(false)
		waitIdle()
		wantErr(t, torn, ErrUnsettled)
		c := readyNode(t, log, "c", nil)
		wantBodies(t, b, "0", "1", "2")
		wantSameState(t, b, c)
		if got := c.TornRecords(); len(got) != 1 || got[0].Offset != 3 || b.Stats().RecordsTorn != 1 {
			t.Errorf("torn records of c %v, stats of b %+v", got, b.Stats())
		}
	})
}

func TestBatchesShrinkToLogLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logserver.New(logserver.Config{MaxRecordBytes: 2000})
		a := readyNode(t, log, "a", nil)
		var wg sync.WaitGroup
		for range 100 {
			wg.Go(func() { wantErr(t, a.propose(string(make([]byte, 300)), time.Minute), nil) })
		}
		wg.Wait()
		wantErr(t, a.propose(string(make([]byte, 3000)), time.Minute), ErrNotWritten)
		if got := len(a.machine.list()); got != 100 {
			t.Errorf("%d entries, want 100", got)
		}
	})
}

func TestAssemblerReturnsOnlyCompleteSnapshots(t *testing.T) {
	st := State{Stream: "s", Position: 5, Checksum: 0, Data: []byte("0123456789")}
	st.Checksum = xxhash.Sum64(st.Data)
	parts := splitState(st, 1, 4)
	origin, other := Origin{Node: "a", Incarnation: 1}, Origin{Node: "b", Incarnation: 1}
	feed := func(a *assembler, order ...int) (done *State) {
		for i, index := range order {
			_ = a.add(other, platform.Offset(10+i), parts[0])
			if st := a.add(origin, platform.Offset(10+i), parts[index]); st != nil {
				done = st
			}
		}
		return done
	}
	complete := [][]int{{0, 1, 2}, {0, 0, 1, 0, 1, 2, 2}}
	for _, order := range complete {
		if got := feed(newAssembler("s", true, 100), order...); got == nil || string(got.Data) != string(st.Data) {
			t.Errorf("order %v: got snapshot %v, want the original", order, got)
		}
	}
	for _, order := range [][]int{{0, 2}, {1, 2}, {0, 2, 1}, {0, 1}, {0, 0, 0}} {
		if got := feed(newAssembler("s", true, 100), order...); got != nil {
			t.Errorf("order %v completed a snapshot, want none", order)
		}
	}
	if feed(newAssembler("s", true, 9), 0, 1, 2) != nil {
		t.Error("a snapshot above the size limit was completed")
	}
	parts[1].Data = []byte("????")
	if feed(newAssembler("s", true, 100), 0, 1, 2) != nil {
		t.Error("a corrupted snapshot was completed")
	}
}

// TestResultsAreCorrectUnderRandomFaults runs three nodes with random faults,
// restarts and a short retention, and checks every result of Propose against
// the final state.
func TestResultsAreCorrectUnderRandomFaults(t *testing.T) {
	var scans uint64
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { scans += runRandomFaults(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
	if scans < 10 {
		t.Errorf("%d scans for snapshots in all runs, want at least 10", scans)
	}
}

// runRandomFaults returns the number of scans for a snapshot on all nodes.
func runRandomFaults(t *testing.T, rng *rand.Rand) (scans uint64) {
	log := logserver.New(logserver.Config{RetainRecords: 40})
	var links []*faultyLog
	var nodes []*node
	start := func(i, incarnation int) *node {
		return startNode(t, links[i], fmt.Sprint("n", i), func(c *Config) {
			useSmallLimits(c)
			c.MaxRecordBytes = 4 * minRecordBytes
			c.Origin.Incarnation = api.Incarnation(incarnation)
		})
	}
	for i := range 3 {
		links = append(links, &faultyLog{Log: log})
		nodes = append(nodes, start(i, 1))
	}
	results := make([]error, 2000)
	var wg sync.WaitGroup
	for i := range results {
		n, limit := nodes[rng.IntN(3)], time.Duration(rng.IntN(6000))*time.Millisecond
		wg.Go(func() { results[i] = n.propose(fmt.Sprint(i), limit) })
		time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
		if i%10 == 0 {
			log.SetFaults(randomFaults(rng))
			links[rng.IntN(3)].corruptReads.Store(int32(rng.IntN(2)))
		}
		if i%50 == 0 {
			links[rng.IntN(3)].cut.Store(rng.IntN(2) == 0)
		}
		if restarted := rng.IntN(3); i%400 == 399 {
			scans += nodes[restarted].Stats().Scans
			nodes[restarted].stopAndWait()
			nodes[restarted] = start(restarted, i)
		}
	}
	wg.Wait()
	log.SetFaults(logserver.Faults{})
	for _, l := range links {
		l.cut.Store(false)
	}
	time.Sleep(time.Minute) // late appends are at most 5 s late
	nodes = append(nodes, readyNode(t, log, "fresh", useSmallLimits))
	checkResults(t, nodes[0].machine.list(), results)
	for _, n := range nodes {
		wantSameState(t, nodes[0], n)
		n.stopAndWait()
		scans += n.Stats().Scans
	}
	return scans
}

func randomFaults(rng *rand.Rand) logserver.Faults {
	upTo := func(ms int) time.Duration { return time.Duration(rng.IntN(ms)) * time.Millisecond }
	all := []logserver.Faults{
		{}, {Down: true}, {Abort: true}, {RefuseWrites: true}, {LoseAnswers: 3}, {DropAppends: 3},
		{LateAppends: 3, LateBy: upTo(5000)}, {Delay: upTo(3000)},
	}
	return all[rng.IntN(len(all))]
}

// checkResults compares every proposer's result with the applied entries.
func checkResults(t *testing.T, applied []string, results []error) {
	t.Helper()
	count := make(map[string]int)
	for _, body := range applied {
		count[body]++
	}
	for i, err := range results {
		n := count[fmt.Sprint(i)]
		if n > 1 || (err == nil && n == 0) || (errors.Is(err, ErrNotWritten) && n > 0) {
			t.Errorf("entry %d was applied %d times, its proposer got %v", i, n, err)
		}
	}
	if len(applied) < 100 {
		t.Errorf("%d entries were applied, want at least 100", len(applied))
	}
}

// TestStopEndsBatchRetry guards against an append loop that retried a batch of
// unknown outcome without a pause after its context had ended, so that Run never
// returned.
func TestStopEndsBatchRetry(t *testing.T) {
	runInBubble(t, func(t *testing.T, log *logserver.Server) {
		logOfA := &faultyLog{Log: log}
		a := readyNode(t, logOfA, "a", nil)
		log.SetFaults(logserver.Faults{DropAppends: 1})
		answer := make(chan error, 1)
		go func() { answer <- a.propose("x", time.Hour) }()
		time.Sleep(DefaultFlushInterval + time.Millisecond)
		log.SetFaults(logserver.Faults{RefuseWrites: true})
		waitIdle()
		logOfA.cut.Store(true)
		waitIdle()
		a.stopAndWait()
		wantErr(t, <-answer, ErrUnsettled)
	})
}

func TestConfirmedAtRequiresReadToEnd(t *testing.T) {
	runInBubble(t, func(t *testing.T, log *logserver.Server) {
		a := readyNode(t, log, "a", nil)
		proposeRange(t, a, 0, 10)
		log.SetFaults(logserver.Faults{Delay: time.Second})
		b := startNode(t, log, "b", func(c *Config) { c.MaxReadRecords = 1 })
		time.Sleep(5500 * time.Millisecond)
		if got := b.Applied(); got == 0 || got >= a.Applied() || b.Ready() || !b.ConfirmedAt().IsZero() {
			t.Errorf("before the end of the stream: applied %d of %d, ready %v, confirmed at %v", got, a.Applied(), b.Ready(), b.ConfirmedAt())
		}
		for range 200 {
			time.Sleep(70 * time.Millisecond)
			if age := time.Since(b.ConfirmedAt()); age < time.Second {
				t.Fatalf("confirmed %v ago, want at least the second that a read takes", age)
			}
		}
		wantSameState(t, a, b)
	})
}

func TestImportDuringRead(t *testing.T) {
	runInBubble(t, func(t *testing.T, log *logserver.Server) {
		a := readyNode(t, log, "a", nil)
		proposeRange(t, a, 0, 10)
		logOfB := &faultyLog{Log: log}
		var b *node
		ready := make(chan struct{})
		logOfB.afterRead = func() {
			<-ready
			st, err := a.Export()
			wantErr(t, errors.Join(err, b.Import(st)), nil)
		}
		b = startNode(t, logOfB, "b", nil)
		close(ready)
		waitIdle()
		wantSameState(t, a, b)
		if s := b.Stats(); s.Gaps != 0 || s.Imports != 1 {
			t.Errorf("stats %+v", s)
		}
	})
}
