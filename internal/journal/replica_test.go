package journal

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/standin/logserver"
)

// errRejected is the error of recordingMachine for bodies that it rejects.
var errRejected = errors.New("rejected by the state machine")

// recordingMachine is a state machine that records every body in order and
// rejects "bad".
type recordingMachine struct {
	mu     sync.Mutex
	bodies []string
}

func (m *recordingMachine) Types() []EntryType { return []EntryType{TypeCellFirst} }

func (m *recordingMachine) Apply(_ Position, e Entry) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if string(e.Body) == "bad" {
		return errRejected
	}
	m.bodies = append(m.bodies, string(e.Body))
	return nil
}

func (m *recordingMachine) Snapshot() ([]byte, error) { return Encode(m.list()), nil }

func (m *recordingMachine) Restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bodies = nil
	return Decode(data, &m.bodies)
}

func (m *recordingMachine) list() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.bodies...)
}

// node is one replica with its state machine. Most tests run it in a synctest
// bubble.
type node struct {
	*Replica
	machine *recordingMachine
	cancel  context.CancelFunc
	done    chan struct{}
}

func startNode(t *testing.T, log platform.Log, name string, change func(*Config)) *node {
	t.Helper()
	n := &node{machine: &recordingMachine{}, done: make(chan struct{})}
	cfg := Config{
		Stream:        "dc/a",
		Origin:        Origin{Node: api.NodeID(name), Incarnation: 1},
		Log:           log,
		StateMachines: []StateMachine{n.machine},
		Random:        func() float64 { return 0.5 },
	}
	if change != nil {
		change(&cfg)
	}
	r, err := NewReplica(cfg)
	if err != nil {
		t.Fatal(err)
	}
	n.Replica = r
	t.Cleanup(n.stopAndWait)
	var ctx context.Context
	ctx, n.cancel = context.WithCancel(t.Context())
	go func() {
		defer close(n.done)
		_ = r.Run(ctx)
	}()
	return n
}

// readyNode starts a node and gives it time to read to the end of the stream.
func readyNode(t *testing.T, log platform.Log, name string, change func(*Config)) *node {
	t.Helper()
	n := startNode(t, log, name, change)
	waitIdle()
	return n
}

// runInBubble runs f in virtual time with an empty log.
func runInBubble(t *testing.T, f func(*testing.T, *logserver.Server)) {
	synctest.Test(t, func(t *testing.T) { f(t, logserver.New(logserver.Config{})) })
}

func (n *node) stopAndWait() {
	n.cancel()
	<-n.done
}

// propose proposes body with a timeout.
func (n *node) propose(body string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return n.Propose(ctx, Entry{Type: TypeCellFirst, Body: []byte(body)})
}

func wantBodies(t *testing.T, n *node, want ...string) {
	t.Helper()
	if got := n.machine.list(); !reflect.DeepEqual(got, want) {
		t.Errorf("%s holds %v, want %v", n.cfg.Origin.Node, got, want)
	}
}

func wantErr(t *testing.T, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Errorf("got error %v, want %v", got, want)
	}
}

// waitIdle waits for the time of several polls and then until every loop is idle.
func waitIdle() {
	time.Sleep(5 * time.Second)
	synctest.Wait()
}

func TestReplicasAgreeAndReturnResults(t *testing.T) {
	runInBubble(t, func(t *testing.T, log *logserver.Server) {
		a, b := startNode(t, log, "a", nil), startNode(t, log, "b", nil)
		wantErr(t, a.propose("early", time.Second), ErrNotReady)
		waitIdle()
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() { wantErr(t, []*node{a, b}[i%2].propose(fmt.Sprint(i), time.Second), nil) })
		}
		wg.Wait()
		wantErr(t, a.propose("bad", time.Second), errRejected)
		waitIdle()
		if got := a.machine.list(); len(got) != 200 || !reflect.DeepEqual(got, b.machine.list()) {
			t.Errorf("replicas differ or lack entries: a has %d, want 200", len(got))
		}
		if appends := log.Stats().Appends; appends > 10 {
			t.Errorf("201 entries took %d appends, want at most 10", appends)
		}
		if age := time.Since(a.ConfirmedAt()); age > 2*DefaultPollWait {
			t.Errorf("confirmed %v ago, want at most two polls", age)
		}
		a.stopAndWait()
		b.stopAndWait()
		wantErr(t, a.propose("late", time.Second), ErrStopped)
	})
}

func TestEntriesAreAppliedOnceDespiteLostAnswers(t *testing.T) {
	faults := map[string]logserver.Faults{
		"answers are lost after the write": {LoseAnswers: 3},
		"appends are lost":                 {DropAppends: 3},
		"write completes after the retry":  {LateAppends: 2, LateBy: 3 * time.Second},
		"writes are refused temporarily":   {RefuseWrites: true},
	}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, log *logserver.Server) {
				a, b := readyNode(t, log, "a", nil), readyNode(t, log, "b", nil)
				log.SetFaults(f)
				time.AfterFunc(2*time.Second, func() { log.SetFaults(logserver.Faults{}) })
				wantErr(t, a.propose("1", time.Minute), nil)
				wantErr(t, a.propose("2", time.Minute), nil)
				waitIdle()
				wantBodies(t, a, "1", "2")
				wantBodies(t, b, "1", "2")
			})
		})
	}
}

func TestNotWrittenOnlyWhenCertain(t *testing.T) {
	runInBubble(t, func(t *testing.T, log *logserver.Server) {
		a := readyNode(t, log, "a", nil)

		log.SetFaults(logserver.Faults{RefuseWrites: true})
		wantErr(t, a.propose("withdrawn", time.Second), ErrNotWritten)

		log.SetFaults(logserver.Faults{})
		wantErr(t, a.propose("before", time.Minute), nil)
		log.SetFaults(logserver.Faults{LateAppends: 1, LateBy: 10 * time.Second})
		wantErr(t, a.propose("late", 10*time.Millisecond), ErrUnsettled)
		log.SetFaults(logserver.Faults{})
		wantErr(t, a.propose("after", time.Minute), nil)
		time.Sleep(20 * time.Second)

		// The abandoned batch is appended after a later one, and every reader
		// drops it as a duplicate.
		wantBodies(t, a, "before", "after")
		if s := a.Stats(); s.RecordsRepeated != 1 || s.BatchesAbandoned != 1 || s.BacklogBytes != 0 {
			t.Errorf("stats %+v", s)
		}
	})
}

func TestBacklogIsBoundedWhileLogIsDown(t *testing.T) {
	runInBubble(t, func(t *testing.T, log *logserver.Server) {
		a := startNode(t, log, "a", func(c *Config) { c.MaxRecordBytes, c.MaxBacklogBytes = 2048, 2048 })
		waitIdle()
		log.SetFaults(logserver.Faults{Down: true})
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() { wantErr(t, a.propose(string(make([]byte, 500)), 30*time.Second), ErrNotWritten) })
		}
		synctest.Wait()
		if full := a.Stats().BacklogFull; full != 16 {
			t.Errorf("%d proposals were refused immediately, want 16", full)
		}
		calls := log.Stats().AppendCalls
		wg.Wait()
		if more := log.Stats().AppendCalls - calls; more > 30 {
			t.Errorf("%d appends in 30 s of outage, want at most 30", more)
		}
		wantErr(t, a.propose(string(make([]byte, 4000)), time.Second), ErrEntryTooLarge)
		a.stopAndWait()
		wantBodies(t, a, []string(nil)...)
	})
}

// TestAppendsResumeAfterZeroBudgetShare guards against an append loop that
// waited forever on a budget share of zero, even after the share had grown.
func TestAppendsResumeAfterZeroBudgetShare(t *testing.T) {
	runInBubble(t, func(t *testing.T, log *logserver.Server) {
		start := time.Now()
		a := startNode(t, log, "a", func(c *Config) {
			c.AppendBurst = 1
			c.AppendsPerSecond = func() float64 { return max(0, time.Since(start).Seconds()-10) }
		})
		waitIdle()
		wantErr(t, a.propose("1", time.Minute), nil)
		wantErr(t, a.propose("2", time.Minute), nil)
		time.Sleep(10 * time.Second)
		wantErr(t, a.propose("3", time.Second), nil)
	})
}

func TestReadErrorIsReportedUntilReadSucceeds(t *testing.T) {
	runInBubble(t, func(t *testing.T, log *logserver.Server) {
		a := startNode(t, log, "a", nil)
		waitIdle()
		if err := a.ReadError(); err != nil {
			t.Errorf("read error %v before the outage", err)
		}
		log.SetFaults(logserver.Faults{Down: true})
		time.Sleep(time.Minute)
		wantErr(t, a.ReadError(), platform.ErrUnavailable)
		log.SetFaults(logserver.Faults{})
		time.Sleep(time.Minute)
		if err := a.ReadError(); err != nil {
			t.Errorf("read error %v after the outage", err)
		}
	})
}
