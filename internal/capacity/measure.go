package capacity

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Measurement measures one cost at several sizes in this process, with the real
// packages and small stand-ins for the external systems.
type Measurement struct {
	Name   string
	XLabel string
	YLabel string // includes the unit
	Sizes  []int
	// Run returns the cost at one size. Measurements must run one at a time, because
	// processor time and memory are measured for the whole process.
	Run func(size int) (cost float64, err error)
}

// AllMeasurements returns all measurements in the order in which they run.
func AllMeasurements() []Measurement {
	var all []Measurement
	for _, group := range []func() []Measurement{
		cellMemoryMeasurements, cellTimeMeasurements, requestKeyMeasurements, configRecordMeasurements, ownershipPlanMeasurements, heartbeatMeasurements,
		journalStartMeasurements, journalRequestMeasurements, placementMeasurements, schedulerStateMeasurements, workerExchangeMeasurements, vmListMeasurements, requestMeasurements, entryRequestMeasurements, idleMeasurements,
	} {
		all = append(all, group()...)
	}
	return all
}

// Measure runs m at each of its sizes, until ctx ends.
func (m Measurement) Measure(ctx context.Context) (Series, error) {
	s := Series{Name: m.Name, XLabel: m.XLabel, YLabel: m.YLabel}
	for _, size := range m.Sizes {
		if err := ctx.Err(); err != nil {
			return s, err
		}
		cost, err := m.Run(size)
		if err != nil {
			return s, errors.Wrapf(err, "measure %s at %d", m.Name, size)
		}
		s.Points = append(s.Points, Point{Size: float64(size), Cost: cost})
	}
	return s, nil
}

// runCache runs a function once for each size and caches its results, for
// measurements that get different costs from the same run.
type runCache[T any] struct {
	run     func(size int) (T, error)
	results map[int]T
}

func newRunCache[T any](run func(size int) (T, error)) *runCache[T] {
	return &runCache[T]{run: run, results: make(map[int]T)}
}

// result returns the result at a size, running the function if necessary. Failed
// runs are not cached.
func (c *runCache[T]) result(size int) (T, error) {
	if got, ok := c.results[size]; ok {
		return got, nil
	}
	got, err := c.run(size)
	if err == nil {
		c.results[size] = got
	}
	return got, err
}

// costFunc returns a Run function for a measurement that extracts one cost from the
// result.
func (c *runCache[T]) costFunc(cost func(T) float64) func(int) (float64, error) {
	return func(size int) (float64, error) {
		value, err := c.result(size)
		return cost(value), err
	}
}
