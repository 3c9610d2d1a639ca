package plan

import (
	"time"

	"github.com/skylarklock/skylarklock/internal/speed"
)

// SpeedRecords returns the estimated speeds of the executors for the next leader, in a fixed
// order. There are none while no executor is certainly slow, since the speeds have no effect
// then, and none of executors that don't report which incarnation they are.
func (c *Cell) SpeedRecords(now time.Time) []speed.Record {
	if c.speeds == nil || c.slowTimeFactor == 0 {
		return nil
	}
	var records []speed.Record
	for _, v := range c.calledVMs {
		if v.Ref.StartTimeMs == 0 {
			continue
		}
		if r, ok := c.speeds.Record(&v.speed, v.Ref.ID, v.Ref.StartTimeMs, now); ok {
			records = append(records, r)
		}
	}
	return records
}

// RestoreSpeeds takes over the speeds that a former leader recorded some time ago. Each counts
// once its incarnation has reported, unless that has been observed by then.
func (c *Cell) RestoreSpeeds(records []speed.Record, age time.Duration, now time.Time) {
	c.recordedSpeeds = make(map[string]speed.Record, len(records))
	for _, r := range records {
		c.recordedSpeeds[r.ID] = r
	}
	c.speedsRecordedAt = now.Add(-max(0, age))
	for _, v := range c.vms {
		if v.hasReported {
			c.restoreSpeed(v)
		}
	}
}

// restoreSpeed gives an executor that has reported the speed recorded of its incarnation.
func (c *Cell) restoreSpeed(v *vm) {
	r, recorded := c.recordedSpeeds[v.Ref.ID]
	if !recorded || r.StartTimeMs != v.Ref.StartTimeMs || v.speed.Observed() {
		return
	}
	v.speed = r.Executor(c.speedsRecordedAt)
}
