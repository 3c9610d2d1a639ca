package leader

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// memoryLog is an in-memory log with one partition.
type memoryLog struct {
	platform.PartitionLog
	mu      sync.Mutex
	records []platform.Record
}

func (l *memoryLog) Append(_ context.Context, a platform.Append) (platform.Offset, error) {
	time.Sleep(5 * time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	end := platform.Offset(len(l.records))
	if *a.ExpectedEnd != end {
		return 0, &platform.ConflictError{End: end}
	}
	for _, r := range a.Records {
		r.Offset = platform.Offset(len(l.records))
		l.records = append(l.records, r)
	}
	return end, nil
}

func (l *memoryLog) Read(ctx context.Context, _ platform.Partition, from platform.Offset, wait time.Duration) (platform.RecordBatch, error) {
	for end := time.Now().Add(wait); ; {
		l.mu.Lock()
		records := append([]platform.Record(nil), l.records[from:]...)
		next := platform.Offset(len(l.records))
		l.mu.Unlock()
		if len(records) > 0 || !time.Now().Before(end) || ctx.Err() != nil {
			return platform.RecordBatch{Records: records, Next: next, End: next}, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// candidate is a process in a simulated election.
type candidate struct {
	*Elector
	processors float64
	mu         sync.Mutex
	gained     []time.Duration // times of its elections since the start
	leads      bool
}

// election returns one process for each of the given numbers of processors. They take
// part in the same election and know each other's processors after a second.
func election(t *testing.T, processors ...float64) []*candidate {
	t.Helper()
	start := time.Now()
	log := &memoryLog{}
	var all []*candidate
	for i, p := range processors {
		c := &candidate{processors: p}
		fittest := 0.0
		for k, other := range processors {
			if k != i {
				fittest = max(fittest, other)
			}
		}
		c.Elector = New(Config{
			Log:    log,
			Self:   Leader{Node: api.NodeID(rune('a' + i)), Incarnation: api.Incarnation(i + 1)},
			Timing: DefaultTiming(),
			Logger: logging.Nop(),
			Suitability: func() Suitability {
				if time.Since(start) < time.Second {
					return AssessSuitability(p, 0)
				}
				return AssessSuitability(p, fittest)
			},
			OnElected: func(api.Epoch) {
				c.mu.Lock()
				defer c.mu.Unlock()
				c.leads = true
				c.gained = append(c.gained, time.Since(start))
			},
			OnLost: func() {
				c.mu.Lock()
				defer c.mu.Unlock()
				c.leads = false
			},
		})
		all = append(all, c)
	}
	return all
}

// run starts a process and returns a function that ends it.
func run(c *candidate) func() {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run(ctx)
	}()
	return func() {
		stop()
		<-done
	}
}

func (c *candidate) state() (leads bool, gained int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leads, len(c.gained)
}

// Among machines that start at the same time the one with sufficient processors is
// elected, even if most others have fewer.
func TestSuitableMachineClaimsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := election(t, 0.2, 0.2, 0.2, 0.8, 0.2)
		for _, c := range all {
			defer run(c)()
		}
		time.Sleep(3 * time.Second)
		for i, c := range all {
			leads, gained := c.state()
			if want := i == 3; leads != want || (gained > 0) != want {
				t.Errorf("machine %d leads: %v, after %d claims", i, leads, gained)
			}
		}
	})
}

// An underpowered leader hands over once to a better machine that is available. Without
// one it continues to lead.
func TestUnderpoweredLeaderHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := election(t, 0.2, 0.8)
		defer run(all[0])()
		time.Sleep(500 * time.Millisecond)
		if leads, _ := all[0].state(); leads {
			t.Fatal("an underpowered machine claimed without delay")
		}
		time.Sleep(600 * time.Millisecond)
		if leads, _ := all[0].state(); !leads {
			t.Fatal("no process leads")
		}
		defer run(all[1])()
		time.Sleep(3 * time.Second)
		if leads, _ := all[1].state(); !leads {
			t.Fatal("the better machine doesn't lead")
		}
		if leads, gained := all[0].state(); leads || gained != 1 {
			t.Fatalf("the underpowered machine leads: %v, after %d claims", leads, gained)
		}
	})
}

// A handover after which no other machine claims is not repeated at once.
func TestHandoverWithoutSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := election(t, 0.2, 0.8) // the second never runs
		defer run(all[0])()
		time.Sleep(10 * time.Second)
		if leads, gained := all[0].state(); !leads || gained != 2 {
			t.Fatalf("the underpowered machine leads: %v, after %d claims", leads, gained)
		}
	})
}

// Guards against a leader that can't plan: after a power loss of all machines nothing
// was planned for 15 s and longer, because a process that had not read the jobs claimed
// the cell and its renewals kept those from claiming that had read them.
func TestUnsyncedProcessDoesNotClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const readAfter = 20 * time.Second
		start := time.Now()
		c := election(t, 0.8)[0]
		c.cfg.Suitability = func() Suitability {
			if time.Since(start) < readAfter {
				return Unsynced
			}
			return Suitable
		}
		defer run(c)()
		time.Sleep(readAfter - time.Millisecond)
		if _, gained := c.state(); gained > 0 {
			t.Error("the process claimed before it had read the jobs")
		}
		time.Sleep(300 * time.Millisecond)
		if leads, _ := c.state(); !leads {
			t.Error("the process doesn't lead although it has read the jobs")
		}
	})
}

func TestAssessSuitability(t *testing.T) {
	for _, c := range []struct {
		own, fittest float64
		want         Suitability
	}{
		{0, 0.8, Suitable}, // its own processors are unknown
		{0.4, 8, Suitable},
		{0.2, 0, Underpowered},
		{0.2, 0.25, Suitable},
		{0.2, 0.8, Outclassed},
	} {
		if got := AssessSuitability(c.own, c.fittest); got != c.want {
			t.Errorf("AssessSuitability(%v, %v) = %v, want %v", c.own, c.fittest, got, c.want)
		}
	}
}
