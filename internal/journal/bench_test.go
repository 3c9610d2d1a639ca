package journal

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/standin/logserver"
)

// startBody has the size of a task's start entry.
type startBody struct {
	_       struct{} `cbor:",toarray"`
	Task    api.TaskID
	Attempt uint32
	VM      api.VMID
	Shard   uint32
	Epoch   api.Epoch
}

func startEntry(i int) Entry {
	task := api.TaskID{Job: api.JobID(fmt.Sprintf("team-%02d/job-%06d", i%92, i%330_000)), Index: uint32(i)}
	return Entry{Type: TypeCellFirst, Body: Encode(startBody{
		Task: task, Attempt: 1, VM: api.VMID(fmt.Sprintf("vm-%05d", i%18_000)), Shard: 5, Epoch: 77,
	})}
}

// TestPeakLoadFitsAppendBudget proposes 5,000 starts a second through nine
// nodes while the log refuses more than 200 appends a second, in virtual time.
func TestPeakLoadFitsAppendBudget(t *testing.T) {
	const nodes, budget, perSecond, seconds = 9, 200, 5000, 3
	synctest.Test(t, func(t *testing.T) {
		log := logserver.New(logserver.Config{AppendsPerSecond: budget, AppendBurst: budget / 10})
		var all []*node
		for i := range nodes {
			all = append(all, startNode(t, log, fmt.Sprint("n", i), func(c *Config) {
				c.AppendsPerSecond = func() float64 { return 0.95 * budget / nodes }
			}))
		}
		waitIdle()
		start, before := time.Now(), log.Stats()
		waits := make([]time.Duration, perSecond*seconds)
		var wg sync.WaitGroup
		for i := range waits {
			sent := time.Now()
			wg.Go(func() {
				wantErr(t, all[i%nodes].Propose(t.Context(), startEntry(i)), nil)
				waits[i] = time.Since(sent)
			})
			time.Sleep(time.Second / perSecond)
		}
		wg.Wait()
		elapsed, stats := time.Since(start).Seconds(), log.Stats()
		appends := float64(stats.Appends - before.Appends)
		slices.Sort(waits)
		n := len(waits)
		t.Logf("%d entries, %.0f appends/s, %.1f bytes per entry, wait p50 %v p99 %v max %v", n, appends/elapsed,
			float64(stats.AppendBytes-before.AppendBytes)/float64(n), waits[n/2], waits[n*99/100], waits[n-1])
		if appends/elapsed > budget {
			t.Errorf("%.0f appends/s, want at most 200", appends/elapsed)
		}
	})
}

func BenchmarkApply(b *testing.B) {
	const records, perRecord = 2000, 25
	var all []platform.LogRecord
	for i := range records {
		entries := make([]Entry, perRecord)
		for j := range entries {
			entries[j] = startEntry(i*perRecord + j)
		}
		data := encodeRecord(batch{Origin: Origin{Node: "n", Incarnation: 1}, Sequence: uint64(i + 1), Entries: entries})
		all = append(all, platform.LogRecord{Offset: platform.Offset(i), Data: data})
	}
	for b.Loop() {
		c := newCore(Config{StateMachines: []StateMachine{&startMachine{}}})
		for _, rec := range all {
			if _, err := c.apply(rec); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(b.N*records*perRecord)/b.Elapsed().Seconds(), "entries/s")
}

// startMachine is a state machine that decodes every start. Its state is set by
// the benchmark.
type startMachine struct {
	kept [][]byte
}

func (m *startMachine) Types() []EntryType { return []EntryType{TypeCellFirst} }

func (m *startMachine) Apply(_ Position, e Entry) error { return Decode(e.Body, &startBody{}) }

func (m *startMachine) Snapshot() ([]byte, error) { return Encode(m.kept), nil }

func (m *startMachine) Restore(data []byte) error {
	m.kept = nil
	return Decode(data, &m.kept)
}

// BenchmarkSnapshot writes and restores the state of one data centre, which
// runs an eleventh of 460,000 tasks.
func BenchmarkSnapshot(b *testing.B) {
	m := &startMachine{}
	for i := range 460_000 / 11 {
		m.kept = append(m.kept, startEntry(i).Body)
	}
	c := newCore(Config{StateMachines: []StateMachine{m}})
	var st State
	for b.Loop() {
		var err error
		if st, err = c.snapshot(); err != nil {
			b.Fatal(err)
		}
		if err := c.restore(st); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(st.Data)), "bytes")
	b.ReportMetric(float64(len(splitState(st, 1, DefaultMaxRecordBytes))), "chunks")
}
