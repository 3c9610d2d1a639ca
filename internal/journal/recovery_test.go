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

// link is one node's way to the log. It can be cut, and damage reads.
type link struct {
	platform.Log
	cut, cutReads atomic.Bool
	damage        atomic.Int32 // reads still to be damaged on the way
	damaged       atomic.Uint64
	meanwhile     func() // once, when the next read has come back
}

func (l *link) Append(ctx context.Context, stream string, data []byte) (platform.Offset, error) {
	if l.cut.Load() {
		return 0, platform.ErrUnavailable
	}
	return l.Log.Append(ctx, stream, data)
}

func (l *link) Read(ctx context.Context, stream string, from platform.Offset, max int, wait time.Duration) (platform.LogBatch, error) {
	if l.cut.Load() || l.cutReads.Load() {
		return platform.LogBatch{}, platform.ErrUnavailable
	}
	got, err := l.Log.Read(ctx, stream, from, max, wait)
	if l.cut.Load() || l.cutReads.Load() {
		return platform.LogBatch{}, platform.ErrUnavailable
	}
	if l.meanwhile != nil {
		l.meanwhile()
		l.meanwhile = nil
	}
	if len(got.Records) > 0 && l.damage.Add(-1) >= 0 {
		got.Records[0].Data = Encode(l.damaged.Add(1)) // never twice the same
	}
	return got, err
}

// short makes records, retention and snapshots small.
func short(c *Config) {
	c.MaxRecordBytes = minRecordBytes
	c.MaxSnapshotRecords = 20
	c.MaxSnapshotInterval = 24 * time.Hour
	c.FlushInterval = time.Millisecond
}

func writeMany(t *testing.T, n *node, from, to int) {
	t.Helper()
	for i := from; i < to; i++ {
		wantErr(t, n.propose(fmt.Sprint(i), time.Minute), nil)
	}
}

func wantSame(t *testing.T, a, b *node) {
	t.Helper()
	if !b.Ready() || !reflect.DeepEqual(a.machine.list(), b.machine.list()) {
		t.Errorf("%s: ready %v, %d entries, want %d as on %s; stats %+v", b.cfg.Origin.Node, b.Ready(),
			len(b.machine.list()), len(a.machine.list()), a.cfg.Origin.Node, b.Stats())
	}
}

func TestSnapshotsCoverTrimmedRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logserver.New(logserver.Config{RetainRecords: 100})
		toB := &link{Log: log}
		a, b := readyNode(t, log, "a", short), readyNode(t, toB, "b", short)

		// One copy of the first batch lands only after everything else.
		log.SetFaults(logserver.Faults{LateAppends: 1, LateBy: time.Hour})
		writeMany(t, a, 0, 1)
		// A batch of b takes effect and b, cut off, doesn't see it.
		toB.cutReads.Store(true)
		log.SetFaults(logserver.Faults{LoseAnswers: 1})
		var lost error
		go func() { lost = b.propose("lost", 24*time.Hour) }()
		settleTime()
		writeMany(t, a, 1, 500)
		toB.cutReads.Store(false)
		settleTime()
		wantSame(t, a, b)
		wantErr(t, lost, ErrUnsettled)

		c := readyNode(t, log, "c", short)
		wantSame(t, a, c)
		time.Sleep(2 * time.Hour)
		wantSame(t, a, c)
		writeMany(t, c, 500, 510)
		settleTime()
		wantSame(t, a, c)
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
	inBubble(t, func(t *testing.T, log *logserver.Server) {
		a := readyNode(t, log, "a", nil)
		writeMany(t, a, 0, 3)
		for range 20 { // retention by time, two intervals long
			end := a.Applied()
			time.Sleep(2 * DefaultMaxSnapshotInterval)
			log.Trim("dc/a", end)
		}
		b := readyNode(t, log, "b", nil)
		wantSame(t, a, b)
	})
}

func TestGapStopsReplicaUntilImport(t *testing.T) {
	inBubble(t, func(t *testing.T, log *logserver.Server) {
		a := readyNode(t, log, "a", nil)
		writeMany(t, a, 0, 50)
		old, err := a.Export()
		wantErr(t, err, nil)
		writeMany(t, a, 50, 60)
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
		settleTime()
		if b.Ready() {
			t.Error("ready with a state from before the gap")
		}
		newest, err := a.Export()
		wantErr(t, err, nil)
		wantErr(t, b.Import(newest), nil)
		wantErr(t, b.Import(old), ErrStaleState)
		newest.Data[len(newest.Data)/2] ^= 1
		newest.Position++
		wantErr(t, b.Import(newest), ErrInvalidState)
		settleTime()
		wantSame(t, a, b)
		writeMany(t, b, 60, 61)
	})
}

func TestStartWithLogDownImportsPeerState(t *testing.T) {
	inBubble(t, func(t *testing.T, log *logserver.Server) {
		a := readyNode(t, log, "a", nil)
		writeMany(t, a, 0, 5)
		log.SetFaults(logserver.Faults{Down: true})
		time.Sleep(time.Hour)
		b := readyNode(t, log, "b", nil)
		if b.Ready() {
			t.Error("ready without any state")
		}
		st, err := a.Export()
		wantErr(t, err, nil)
		wantErr(t, b.Import(st), nil)
		wantSame(t, a, b)
		if !b.ConfirmedAt().IsZero() || time.Since(a.ConfirmedAt()) < time.Hour {
			t.Error("confirmed without a read")
		}
		if reads := log.Stats().Reads; reads > 6000 {
			t.Errorf("%d reads in an hour of outage", reads)
		}
		log.SetFaults(logserver.Faults{})
		writeMany(t, b, 5, 6)
		settleTime()
		wantSame(t, a, b)

		empty := logserver.New(logserver.Config{})
		c := startNode(t, empty, "c", nil)
		wantErr(t, c.Import(st), nil)
		settleTime()
		d := readyNode(t, empty, "d", nil)
		writeMany(t, d, 0, 20) // also when that log has grown past the state
		settleTime()
		if c.Ready() {
			t.Error("ready on a log that ended before the state")
		}
	})
}

func TestTornRecordsAreSkippedByAllReplicas(t *testing.T) {
	inBubble(t, func(t *testing.T, log *logserver.Server) {
		toB := &link{Log: log}
		a, b := readyNode(t, log, "a", nil), readyNode(t, toB, "b", nil)
		toB.damage.Store(3) // on the way to b only: must be read again
		writeMany(t, a, 0, 3)

		toB.cutReads.Store(true)
		settleTime()
		var torn error
		go func() { torn = b.propose("torn", time.Minute) }()
		settleTime()
		log.Tear("dc/a", 3, []byte("damaged at rest"))
		toB.cutReads.Store(false)
		settleTime()
		wantErr(t, torn, ErrUnsettled)
		c := readyNode(t, log, "c", nil)
		wantBodies(t, b, "0", "1", "2")
		wantSame(t, b, c)
		if got := c.TornRecords(); len(got) != 1 || got[0].Offset != 3 || b.Stats().RecordsTorn != 1 {
			t.Errorf("torn records %v, b %+v", got, b.Stats())
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
			t.Errorf("%d entries", got)
		}
	})
}

func TestAssemblerReturnsOnlyCompleteSnapshots(t *testing.T) {
	st := State{Stream: "s", Position: 5, Checksum: 0, Data: []byte("0123456789")}
	st.Checksum = xxhash.Sum64(st.Data)
	parts := split(st, 1, 4)
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
	whole := [][]int{{0, 1, 2}, {0, 0, 1, 0, 1, 2, 2}}
	for _, order := range whole {
		if got := feed(newAssembler("s", true, 100), order...); got == nil || string(got.Data) != string(st.Data) {
			t.Errorf("order %v: %v", order, got)
		}
	}
	for _, order := range [][]int{{0, 2}, {1, 2}, {0, 2, 1}, {0, 1}, {0, 0, 0}} {
		if got := feed(newAssembler("s", true, 100), order...); got != nil {
			t.Errorf("order %v completed", order)
		}
	}
	if feed(newAssembler("s", true, 9), 0, 1, 2) != nil {
		t.Error("snapshot above the bound completed")
	}
	parts[1].Data = []byte("????")
	if feed(newAssembler("s", true, 100), 0, 1, 2) != nil {
		t.Error("damaged snapshot completed")
	}
}

// TestResultsAreCorrectUnderRandomFaults runs three nodes through random
// faults, restarts and a short retention, and checks every answer against the
// final state.
func TestResultsAreCorrectUnderRandomFaults(t *testing.T) {
	var scans uint64
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { scans += runRandomFaults(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
	if scans < 10 {
		t.Errorf("%d scans for snapshots in all runs, want more", scans)
	}
}

// runRandomFaults returns how often a node had to look for a snapshot.
func runRandomFaults(t *testing.T, rng *rand.Rand) (scans uint64) {
	log := logserver.New(logserver.Config{RetainRecords: 40})
	var links []*link
	var nodes []*node
	start := func(i, incarnation int) *node {
		return startNode(t, links[i], fmt.Sprint("n", i), func(c *Config) {
			short(c)
			c.MaxRecordBytes = 4 * minRecordBytes
			c.Origin.Incarnation = api.Incarnation(incarnation)
		})
	}
	for i := range 3 {
		links = append(links, &link{Log: log})
		nodes = append(nodes, start(i, 1))
	}
	answers := make([]error, 2000)
	var wg sync.WaitGroup
	for i := range answers {
		n, limit := nodes[rng.IntN(3)], time.Duration(rng.IntN(6000))*time.Millisecond
		wg.Go(func() { answers[i] = n.propose(fmt.Sprint(i), limit) })
		time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
		if i%10 == 0 {
			log.SetFaults(randomFaults(rng))
			links[rng.IntN(3)].damage.Store(int32(rng.IntN(2)))
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
	time.Sleep(time.Minute) // the latest late append is 5 s late
	nodes = append(nodes, readyNode(t, log, "fresh", short))
	checkAnswers(t, nodes[0].machine.list(), answers)
	for _, n := range nodes {
		wantSame(t, nodes[0], n)
		n.stopAndWait()
		scans += n.Stats().Scans
	}
	return scans
}

func randomFaults(rng *rand.Rand) logserver.Faults {
	upTo := func(ms int) time.Duration { return time.Duration(rng.IntN(ms)) * time.Millisecond }
	all := []logserver.Faults{
		{}, {Down: true}, {Abort: true}, {RefuseWrites: true}, {LoseAnswers: 3}, {DropAppends: 3},
		{LateAppends: 3, LateBy: upTo(5000)}, {Slow: upTo(3000)},
	}
	return all[rng.IntN(len(all))]
}

// checkAnswers holds every proposer's answer against what was applied.
func checkAnswers(t *testing.T, applied []string, answers []error) {
	t.Helper()
	count := make(map[string]int)
	for _, body := range applied {
		count[body]++
	}
	for i, err := range answers {
		n := count[fmt.Sprint(i)]
		if n > 1 || (err == nil && n == 0) || (errors.Is(err, ErrNotWritten) && n > 0) {
			t.Errorf("entry %d is there %d times, proposer got %v", i, n, err)
		}
	}
	if len(applied) < 100 {
		t.Errorf("only %d entries applied", len(applied))
	}
}

// TestStopEndsBatchRetry hung: the append loop went on sending a batch
// of unknown fate after its context had ended, without a pause.
func TestStopEndsBatchRetry(t *testing.T) {
	inBubble(t, func(t *testing.T, log *logserver.Server) {
		toA := &link{Log: log}
		a := readyNode(t, toA, "a", nil)
		log.SetFaults(logserver.Faults{DropAppends: 1})
		answer := make(chan error, 1)
		go func() { answer <- a.propose("x", time.Hour) }()
		time.Sleep(DefaultFlushInterval + time.Millisecond)
		log.SetFaults(logserver.Faults{RefuseWrites: true})
		settleTime()
		toA.cut.Store(true)
		settleTime()
		a.stopAndWait()
		wantErr(t, <-answer, ErrUnsettled)
	})
}

func TestConfirmedAtRequiresReadToEnd(t *testing.T) {
	inBubble(t, func(t *testing.T, log *logserver.Server) {
		a := readyNode(t, log, "a", nil)
		writeMany(t, a, 0, 10)
		log.SetFaults(logserver.Faults{Slow: time.Second})
		b := startNode(t, log, "b", func(c *Config) { c.MaxReadRecords = 1 })
		time.Sleep(5500 * time.Millisecond)
		if got := b.Applied(); got == 0 || got >= a.Applied() || b.Ready() || !b.ConfirmedAt().IsZero() {
			t.Errorf("applied %d of %d, ready %v, confirmed %v", got, a.Applied(), b.Ready(), b.ConfirmedAt())
		}
		for range 200 {
			time.Sleep(70 * time.Millisecond)
			if age := time.Since(b.ConfirmedAt()); age < time.Second {
				t.Fatalf("confirmed %v ago by a read that took a second", age)
			}
		}
		wantSame(t, a, b)
	})
}

func TestImportDuringRead(t *testing.T) {
	inBubble(t, func(t *testing.T, log *logserver.Server) {
		a := readyNode(t, log, "a", nil)
		writeMany(t, a, 0, 10)
		toB := &link{Log: log}
		var b *node
		ready := make(chan struct{})
		toB.meanwhile = func() {
			<-ready
			st, err := a.Export()
			wantErr(t, errors.Join(err, b.Import(st)), nil)
		}
		b = startNode(t, toB, "b", nil)
		close(ready)
		settleTime()
		wantSame(t, a, b)
		if s := b.Stats(); s.Gaps != 0 || s.Imports != 1 {
			t.Errorf("stats %+v", s)
		}
	})
}
