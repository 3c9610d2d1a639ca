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

// errOdd is what tally returns for bodies that it rejects.
var errOdd = errors.New("rejected by the machine")

// tally is a machine that keeps every body in order and rejects "bad".
type tally struct {
	mu     sync.Mutex
	bodies []string
}

func (m *tally) Types() []EntryType { return []EntryType{TypeCellFirst} }

func (m *tally) Apply(_ Position, e Entry) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if string(e.Body) == "bad" {
		return errOdd
	}
	m.bodies = append(m.bodies, string(e.Body))
	return nil
}

func (m *tally) Snapshot() ([]byte, error) { return Encode(m.list()), nil }

func (m *tally) Restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bodies = nil
	return Decode(data, &m.bodies)
}

func (m *tally) list() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.bodies...)
}

// node is one replica with its machine, running in a synctest bubble.
type node struct {
	*Replica
	machine *tally
	stopRun context.CancelFunc
	ended   chan struct{}
}

func startNode(t *testing.T, log platform.Log, name string, change func(*Config)) *node {
	t.Helper()
	n := &node{machine: &tally{}, ended: make(chan struct{})}
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
	ctx, n.stopRun = context.WithCancel(t.Context())
	go func() {
		defer close(n.ended)
		_ = r.Run(ctx)
	}()
	return n
}

// readyNode starts a node and lets it read to the end of the stream.
func readyNode(t *testing.T, log platform.Log, name string, change func(*Config)) *node {
	t.Helper()
	n := startNode(t, log, name, change)
	settleTime()
	return n
}

// inBubble runs f in virtual time with an empty log.
func inBubble(t *testing.T, f func(*testing.T, *logserver.Server)) {
	synctest.Test(t, func(t *testing.T) { f(t, logserver.New(logserver.Config{})) })
}

func (n *node) stopAndWait() {
	n.stopRun()
	<-n.ended
}

// propose proposes body and gives up after limit.
func (n *node) propose(body string, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
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

// settleTime lets every loop come to rest, several polls long.
func settleTime() {
	time.Sleep(5 * time.Second)
	synctest.Wait()
}

func TestReplicasAgreeAndReturnResults(t *testing.T) {
	inBubble(t, func(t *testing.T, log *logserver.Server) {
		a, b := startNode(t, log, "a", nil), startNode(t, log, "b", nil)
		wantErr(t, a.propose("early", time.Second), ErrNotReady)
		settleTime()
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() { wantErr(t, []*node{a, b}[i%2].propose(fmt.Sprint(i), time.Second), nil) })
		}
		wg.Wait()
		wantErr(t, a.propose("bad", time.Second), errOdd)
		settleTime()
		if got := a.machine.list(); len(got) != 200 || !reflect.DeepEqual(got, b.machine.list()) {
			t.Errorf("replicas differ or lack entries: %d", len(got))
		}
		if appends := log.Stats().Appends; appends > 10 {
			t.Errorf("201 entries took %d appends", appends)
		}
		if age := time.Since(a.ConfirmedAt()); age > 2*DefaultPollWait {
			t.Errorf("confirmed %v ago", age)
		}
		a.stopAndWait()
		b.stopAndWait()
		wantErr(t, a.propose("late", time.Second), ErrStopped)
	})
}

func TestEntriesAreAppliedOnceDespiteLostAnswers(t *testing.T) {
	faults := map[string]logserver.Faults{
		"answer lost after the write": {LoseAnswers: 3},
		"append lost before it":       {DropAppends: 3},
		"write lands after the retry": {LateAppends: 2, LateBy: 3 * time.Second},
		"writes refused for a while":  {RefuseWrites: true},
	}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, log *logserver.Server) {
				a, b := readyNode(t, log, "a", nil), readyNode(t, log, "b", nil)
				log.SetFaults(f)
				time.AfterFunc(2*time.Second, func() { log.SetFaults(logserver.Faults{}) })
				wantErr(t, a.propose("1", time.Minute), nil)
				wantErr(t, a.propose("2", time.Minute), nil)
				settleTime()
				wantBodies(t, a, "1", "2")
				wantBodies(t, b, "1", "2")
			})
		})
	}
}

func TestNotWrittenOnlyWhenCertain(t *testing.T) {
	inBubble(t, func(t *testing.T, log *logserver.Server) {
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

		// The abandoned batch lands behind a later one and is a repeat to all.
		wantBodies(t, a, "before", "after")
		if s := a.Stats(); s.RecordsRepeated != 1 || s.BatchesAbandoned != 1 || s.BacklogBytes != 0 {
			t.Errorf("stats %+v", s)
		}
	})
}

func TestBacklogIsBoundedWhileLogIsDown(t *testing.T) {
	inBubble(t, func(t *testing.T, log *logserver.Server) {
		a := startNode(t, log, "a", func(c *Config) { c.MaxRecordBytes, c.MaxBacklogBytes = 2048, 2048 })
		settleTime()
		log.SetFaults(logserver.Faults{Down: true})
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() { wantErr(t, a.propose(string(make([]byte, 500)), 30*time.Second), ErrNotWritten) })
		}
		synctest.Wait()
		if full := a.Stats().BacklogFull; full != 16 {
			t.Errorf("%d proposals refused at once, want 16", full)
		}
		calls := log.Stats().AppendCalls
		wg.Wait()
		if more := log.Stats().AppendCalls - calls; more > 30 {
			t.Errorf("%d appends tried in 30 s of outage", more)
		}
		wantErr(t, a.propose(string(make([]byte, 4000)), time.Second), ErrEntryTooLarge)
		a.stopAndWait()
		wantBodies(t, a, []string(nil)...)
	})
}

// TestAppendsResumeAfterZeroBudgetShare hung: the append loop waited without end
// for a share of zero, also after the share had grown.
func TestAppendsResumeAfterZeroBudgetShare(t *testing.T) {
	inBubble(t, func(t *testing.T, log *logserver.Server) {
		began := time.Now()
		a := startNode(t, log, "a", func(c *Config) {
			c.AppendBurst = 1
			c.AppendsPerSecond = func() float64 { return max(0, time.Since(began).Seconds()-10) }
		})
		settleTime()
		wantErr(t, a.propose("1", time.Minute), nil)
		wantErr(t, a.propose("2", time.Minute), nil)
		time.Sleep(10 * time.Second)
		wantErr(t, a.propose("3", time.Second), nil)
	})
}
