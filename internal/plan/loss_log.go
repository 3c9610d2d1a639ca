package plan

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// maxRunsLogged bounds the runs that one log line names.
const maxRunsLogged = 32

// logExecutorLoss logs which runs an executor had when it was lost.
func (c *Cell) logExecutorLoss(v *vm, l executorLoss, now time.Time) {
	if len(v.allocations) == 0 {
		return
	}
	c.logger.WithFields(logrus.Fields{
		"executor": v.Ref.ID, "address": v.Ref.Address, "evidence": l.evidence.String(), "left": l.leaving,
		"silent_ms": now.Sub(v.reportedAt).Milliseconds(), "runs": len(v.allocations), "lost": v.describeRuns(),
	}).Info("executor is lost with its runs")
}

// describeRuns returns the runs on an executor as task/run:age, newest first. The age
// is the time from the order to lostSince, in milliseconds, or -1 if it isn't known.
func (v *vm) describeRuns() string {
	allocs := v.newestFirst()
	var parts []string
	for _, alloc := range allocs[:min(len(allocs), maxRunsLogged)] {
		age := int64(-1)
		if !alloc.orderedAt.IsZero() {
			age = v.lostSince().Sub(alloc.orderedAt).Milliseconds()
		}
		parts = append(parts, fmt.Sprintf("%v/%d:%d", alloc.run.Task, alloc.run.Number, age))
	}
	return strings.Join(parts, " ")
}

// newestFirst returns the executor's allocations, newest orders first.
func (v *vm) newestFirst() []*allocation { return v.unlistedNewestFirst(nil) }

// unlistedNewestFirst returns the executor's allocations whose runs are not in listed,
// newest orders first.
func (v *vm) unlistedNewestFirst(listed map[platform.Run]bool) []*allocation {
	var allocs []*allocation
	for _, alloc := range v.allocations {
		if !listed[alloc.run] {
			allocs = append(allocs, alloc)
		}
	}
	slices.SortFunc(allocs, func(a, b *allocation) int {
		return cmp.Or(b.orderedAt.Compare(a.orderedAt), strings.Compare(a.run.Task.String(), b.run.Task.String()), cmp.Compare(a.run.Number, b.run.Number))
	})
	return allocs
}

// lostSince returns when the executor first failed to answer after its newest report, or the
// time of that report if no failure followed it.
func (v *vm) lostSince() time.Time {
	if v.unresponsiveSince.After(v.reportedAt) {
		return v.unresponsiveSince
	}
	return v.reportedAt
}

// HandleNoReport records that a hold got no answer.
func (c *Cell) HandleNoReport(h Hold, now time.Time) {
	if v := c.currentVM(h.To, h.Order.FencingToken); v != nil && !v.unresponsiveSince.After(v.reportedAt) {
		v.unresponsiveSince = now
		c.recordSilence(v, now)
	}
}

// startFailures counts the start orders in an interval that were not confirmed.
type startFailures struct {
	notReached int // the order certainly didn't reach the executor
	unanswered int
	refused    int
}

// count counts the answer to a start order if it is a failure.
func (f *startFailures) count(err error) {
	var refused *platform.RefusedError
	switch {
	case err == nil:
	case errors.As(err, &refused):
		f.refused++
	case errors.Is(err, platform.ErrNotReached):
		f.notReached++
	default:
		f.unanswered++
	}
}
