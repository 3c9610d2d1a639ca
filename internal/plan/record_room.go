package plan

import (
	"github.com/skylarklock/skylarklock/internal/work"
)

// The progress of a job has to fit into one record of the store, which names each executor on which a task of the job
// may run. A job that runs on thousands of executors at a time would not fit, so no more of its tasks are started than
// its record has room for.

// Sizes in a progress record, in bytes. Those of a task and an executor are upper bounds.
const (
	taskRecordBytes        = 11 // phase, run number below 65,536, index of the executor, failures and losses
	executorRecordBytes    = 64 // with an ID of up to 50 bytes
	incarnationRecordBytes = 12 // of an executor, in addition to its ID
	endedRecordBytes       = 5  // of an occurrence that has ended out of order
	fixedRecordBytes       = 64
)

// withinRecord returns those of a step's tasks for which the record of the job's progress has room. A gang starts whole,
// so it is not limited.
func (c *Cell) withinRecord(s *step, tasks []*task) []*task {
	j := s.job
	total := len(j.activeOccurrences) * j.spec.TaskCount()
	room := c.cfg.MaxRecordBytes - fixedRecordBytes - total*taskRecordBytes - len(j.endedOccurrences)*endedRecordBytes
	if c.cfg.MaxRecordBytes == 0 || s.spec.Gang || room < executorRecordBytes || total*executorRecordBytes <= room {
		return tasks
	}
	room -= j.executorRecordBytes()
	return tasks[:max(0, min(len(tasks), room/executorRecordBytes))]
}

// executorRecordBytes returns how many bytes of the job's record name executors.
func (j *job) executorRecordBytes() int {
	named := make(map[work.ExecutorIncarnation]struct{})
	size := 0
	for _, o := range j.activeOccurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if _, known := named[t.incarnation]; known || t.phase == work.Done || t.allocations == 0 && t.deferral == nil {
					continue
				}
				named[t.incarnation] = struct{}{}
				size += len(t.incarnation.ID) + incarnationRecordBytes
			}
		}
	}
	return size
}
