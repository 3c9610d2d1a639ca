package plan

import (
	"time"

	"github.com/skylarklock/skylarklock/internal/fleet"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// restore takes over a job that a former leader had begun. Each run that its
// record names may exist, so it holds its room until its executor reports or
// its lease is certainly over.
func (c *Cell) restore(j *job, p *work.Progress, now time.Time) {
	j.state = p.State
	j.toldRunning = p.State == work.Running
	j.finished = p.Finished
	j.next = p.Finished
	for _, number := range p.Ended {
		if j.ended == nil {
			j.ended = make(map[int]bool)
		}
		j.ended[number] = true
		j.next = max(j.next, number+1)
	}
	for i := range p.Occurrences {
		po := &p.Occurrences[i]
		o := newOccurrence(j, po.Number, j.arrived)
		if due := j.spec.Due(po.Number); due > 0 {
			o.due = time.UnixMilli(due)
		}
		j.next = max(j.next, po.Number+1)
		j.running = append(j.running, o)
		for k := range po.Steps {
			c.restoreStep(o.steps[k], po.Steps[k], p.VMs, now)
		}
		for _, s := range o.steps {
			if s.complete() {
				o.left--
			}
		}
		c.offer(o)
	}
}

func (c *Cell) restoreStep(s *step, rows []work.TaskProgress, vms []work.Life, now time.Time) {
	for i, row := range rows {
		t := s.tasks[i]
		t.run = row.Run
		t.failures = int(row.Failures)
		t.losses = losses{crashes: int(row.Crashes), unproved: int(row.Losses)}
		t.checkpoint = row.Checkpoint
		t.phase = row.Phase
		s.fails = max(s.fails, t.failures)
		switch row.Phase {
		case work.Done:
			s.done++
		case work.Started:
			t.vm = vms[row.VM]
			v := c.inherit(t.vm, now)
			run := platform.Run{Task: t.key(), Number: t.run}
			cl := &claim{run: run, task: t, need: s.spec.Need, state: inherited, ends: now.Add(s.spec.Estimate)}
			c.inheritOrder(cl, now)
			v.add(cl)
		}
	}
}

// inherit returns the executor of a run that a former leader ordered. The
// registry may not list it any more.
func (c *Cell) inherit(life work.Life, now time.Time) *vm {
	v := c.vms[life.ID]
	if v == nil {
		v = c.addVM(platform.ExecutorRef{ID: life.ID})
	}
	if v.known {
		return v
	}
	lasts := c.cfg.orderLasts()
	if life.Born != 0 {
		lasts = c.cfg.longestLease()
	}
	if over := now.Add(c.cfg.FormerLeaderRenewal + lasts); over.After(v.lapses) {
		v.lapses = over
	}
	return v
}

// ExecutorsWithoutAddress returns the executors that may run something by a former leader's word and
// that can't be called, since nothing is known of them but their ids.
func (c *Cell) ExecutorsWithoutAddress() []string {
	var ids []string
	for _, v := range c.sorted {
		if v.Ref.Address == "" && len(v.claims) > 0 && !v.recalled {
			v.recalled = true
			ids = append(ids, v.Ref.ID)
		}
	}
	return ids
}

// ApplyLastRecord takes in the last record of an executor that isn't registered any more. A call to
// where it was tells whether another life has followed it there.
func (c *Cell) ApplyLastRecord(e fleet.Executor, now time.Time) {
	v := c.vms[e.Ref.ID]
	if v == nil || v.listed || v.Ref.Address != "" {
		return
	}
	v.register(&e, now)
	v.listed = false
	c.dropReplaced(now)
}
