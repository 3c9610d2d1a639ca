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

// memoryLog is one partition in memory.
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
	if *a.At != end {
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

// candidate is a process that takes part in a played election.
type candidate struct {
	*Elector
	processors float64
	mu         sync.Mutex
	gained     []time.Duration // since the start
	leads      bool
}

// election plays an election among processes with unlike processors, all of
// which know of each other after a second.
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
			Logger: logging.Silent(),
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

// run starts a process and returns what ends it.
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

// Of machines that start together one with enough processors leads, however
// many others there are.
func TestFitMachineClaimsFirst(t *testing.T) {
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

// A weak machine that came to lead hands over to a better one that is there,
// once; without any it leads on.
func TestWeakLeaderHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := election(t, 0.2, 0.8)
		defer run(all[0])()
		time.Sleep(500 * time.Millisecond)
		if leads, _ := all[0].state(); leads {
			t.Fatal("a weak machine claimed at once")
		}
		time.Sleep(600 * time.Millisecond)
		if leads, _ := all[0].state(); !leads {
			t.Fatal("nobody leads")
		}
		defer run(all[1])()
		time.Sleep(3 * time.Second)
		if leads, _ := all[1].state(); !leads {
			t.Fatal("the better machine doesn't lead")
		}
		if leads, gained := all[0].state(); leads || gained != 1 {
			t.Fatalf("the weak machine leads: %v, after %d claims", leads, gained)
		}
	})
}

// A hand-over that nobody takes up is not repeated at once.
func TestHandOverThatNobodyTakesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := election(t, 0.2, 0.8) // the second never runs
		defer run(all[0])()
		time.Sleep(10 * time.Second)
		if leads, gained := all[0].state(); !leads || gained != 2 {
			t.Fatalf("the weak machine leads: %v, after %d claims", leads, gained)
		}
	})
}

// After a loss of power of all machines nothing was planned for 15 s and
// longer: a process that had read none of the jobs yet could claim, renewed its
// claim, and kept those from claiming that had read them.
func TestUnreadProcessDoesNotClaim(t *testing.T) {
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
			t.Error("it claimed before it had read the jobs")
		}
		time.Sleep(300 * time.Millisecond)
		if leads, _ := c.state(); !leads {
			t.Error("it doesn't lead though it has read the jobs")
		}
	})
}

func TestCompare(t *testing.T) {
	for _, c := range []struct {
		own, fittest float64
		want         Suitability
	}{
		{0, 0.8, Suitable}, // it isn't told what it has
		{0.4, 8, Suitable},
		{0.2, 0, Underpowered},
		{0.2, 0.25, Suitable},
		{0.2, 0.8, Outclassed},
	} {
		if got := AssessSuitability(c.own, c.fittest); got != c.want {
			t.Errorf("Compare(%v, %v) = %v, want %v", c.own, c.fittest, got, c.want)
		}
	}
}
