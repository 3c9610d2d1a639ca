package plan

import (
	"sync"
	"testing"
	"time"
)

// Load B of docs/overload.md times fullCellLoad keeps about three quarters of the simulated
// processors in use. Gangs then wait, as only three in ten executors are granted to each.
const (
	fullCellExecutors = 200
	fullCellLoad      = 1.6
	fullCellSeeds     = 3
	fullCellTime      = 40 * time.Second
)

// fullCellResults are the results of several runs together.
type fullCellResults struct{ gangs, largest, batches, urgent loadResult }

func (r *loadResult) add(o loadResult) {
	jobs := r.jobs + o.jobs
	if jobs > 0 {
		r.meanWait = (time.Duration(r.jobs)*r.meanWait + time.Duration(o.jobs)*o.meanWait) / time.Duration(jobs)
	}
	r.jobs, r.inTime = jobs, r.inTime+o.inTime
}

// runFullCells runs a full cell with each seed. holder replaces what holds capacity for gangs;
// nil keeps it.
func runFullCells(t *testing.T, holder func(*Cell) gangHolder) fullCellResults {
	var lock sync.Mutex
	var group sync.WaitGroup
	var total fullCellResults
	for seed := range uint64(fullCellSeeds) {
		group.Go(func() {
			f := newFullCell(t, fullCellExecutors, fullCellLoad, seed)
			if holder != nil {
				f.cell.gangs = holder(f.cell)
			}
			for end := f.now.Add(fullCellTime); f.now.Before(end); {
				f.stepLoad(40 * time.Millisecond)
			}
			lock.Lock()
			defer lock.Unlock()
			total.gangs.add(f.result("gangs", 0))
			total.largest.add(f.result("gangs", f.largestTenth()))
			total.batches.add(f.result("batches", 0))
			total.urgent.add(f.result("urgent", 0))
		})
	}
	group.Wait()
	return total
}

// Gangs would wait longer in a full cell if their plans held capacity without use, wide ones if
// narrower ones took the slots of their plans, and urgent tasks if held slots were closed to them.
// The former reservations are compared with the penalty for held slots, from which they profit as
// well: without it they have fewer gangs in time.
func TestGangsStartEarlierInFullCell(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("simulates 240 s of a cell")
	}
	former := runFullCells(t, func(c *Cell) gangHolder { return &wholeExecutorReservations{cell: c} })
	planned := runFullCells(t, nil)
	t.Logf("former: gangs %v; largest %v; batches %v; urgent %v", former.gangs, former.largest, former.batches, former.urgent)
	t.Logf("planned: gangs %v; largest %v; batches %v; urgent %v", planned.gangs, planned.largest, planned.batches, planned.urgent)
	if planned.gangs.meanWait >= former.gangs.meanWait || planned.gangs.inTime < former.gangs.inTime {
		t.Error("gangs start later than with the former reservations")
	}
	if planned.largest.share() < planned.gangs.share()/2 {
		t.Error("the largest tenth of gangs starts less than half as often in time as all")
	}
	if planned.urgent.meanWait > former.urgent.meanWait+2*time.Millisecond || planned.urgent.share() < former.urgent.share()-0.002 {
		t.Error("urgent jobs are delayed")
	}
	if planned.batches.share() < 0.95 {
		t.Error("batches are delayed")
	}
}
