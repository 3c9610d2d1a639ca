package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/work"
)

// Executors that run nothing are called rarely in a large fleet, and may be given work all the same. In a
// small one, and once they have been given work, nothing changes.
func TestIdlePauses(t *testing.T) {
	const holdWait = time.Second
	for _, c := range []struct {
		executors int
		want      time.Duration
	}{{48, 0}, {350, 0}, {600, 1500 * time.Millisecond}, {3300, maxIdlePause}} {
		t.Run(fmt.Sprint(c.executors), func(t *testing.T) {
			cell, now := newBusyCell(c.executors)
			id := cell.sortedVMs[0].Ref.ID
			if got := cell.IdlePause(id, holdWait); got != 0 {
				t.Errorf("an executor that runs something isn't called for %v", got)
			}
			v := cell.sortedVMs[0]
			for _, alloc := range v.newestFirst() {
				v.removeAllocation(alloc)
			}
			if got := cell.IdlePause(id, holdWait); got != c.want {
				t.Errorf("an executor that runs nothing isn't called for %v, want %v", got, c.want)
			}
			if late := now.Add(c.want + time.Second); !v.usable(late, &cell.cfg) {
				t.Error("an executor that need not be called gets no work")
			}
			if late := now.Add(c.want + 2*time.Second); v.usable(late, &cell.cfg) {
				t.Error("an executor that should have been called gets work")
			}
		})
	}
}

// A pass over a large fleet looks at a part of it, and the next one at another part.
func TestSnapshotsOfLargeFleetRotate(t *testing.T) {
	cell, now := newBusyCell(2 * maxSnapshotVMs)
	seen := make(map[*vm]bool)
	for range 2 {
		snapshot := cell.snapshot(now)
		if len(snapshot.vms) != maxSnapshotVMs {
			t.Fatalf("a pass looks at %d executors", len(snapshot.vms))
		}
		for _, v := range snapshot.vms {
			seen[v] = true
		}
	}
	if len(seen) != 2*maxSnapshotVMs {
		t.Errorf("two passes looked at %d of %d executors", len(seen), 2*maxSnapshotVMs)
	}
}

// Executors that a step is known to be permitted on are candidates in each pass.
func TestPermittedExecutorsAreCandidatesInEachPass(t *testing.T) {
	cell, now := newBusyCell(3 * maxSnapshotVMs)
	s := cell.findStep(work.StepKey{Job: work.ID{2, 1}})
	q := cell.queueOf(s.job)
	for range 3 {
		c := cell.snapshot(now).candidatesFor(s, q, now)
		permitted := 0
		for _, v := range cell.permittedVMs(s, q) {
			if v.slotsAt(s, now, now) > 0 {
				permitted++
			}
		}
		if got := len(c.valid) + len(c.expired); got != permitted {
			t.Errorf("%d of %d permitted executors with free capacity are candidates", got, permitted)
		}
	}
}
