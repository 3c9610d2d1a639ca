package plan

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/work"
)

// A leader is lost right after an executor, whose record is gone when the next one begins.
func TestRunsLostBeforeTakeoverRestart(t *testing.T) {
	for _, c := range []struct {
		name    string
		recalls bool
		most    time.Duration // from the takeover to the end of the job
	}{
		{"its last record is recalled", true, 2 * time.Second},
		{"nothing is known of it but its id", false, 11 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newCrashPlay(t, 3, crashers())
			j := p.job(1, testQueue, work.Step{TaskCount: 4, TaskResources: cpus(2), Estimate: time.Second})
			p.runFor(300 * time.Millisecond)
			gone := p.cell.jobs[j.ID].activeOccurrences[0].steps[0].tasks[0].incarnation.ID
			record := *p.listed[gone]
			p.paused = true
			p.crash(gone)
			p.runFor(recordLapses + 100*time.Millisecond)
			p.paused = false
			p.lead()
			if ids := p.cell.ExecutorsWithoutAddress(); len(ids) != 1 || ids[0] != gone {
				t.Fatalf("without an address: %v, want %s", ids, gone)
			}
			if c.recalls {
				p.cell.ApplyLastRecord(record, p.now)
			}
			began := p.now
			for p.state(j.ID) != work.Completed && p.now.Sub(began) < 30*time.Second {
				p.runFor(100 * time.Millisecond)
			}
			if took := p.now.Sub(began); took > c.most {
				t.Errorf("the job ends %v after the takeover, want %v at most", took, c.most)
			}
		})
	}
}
