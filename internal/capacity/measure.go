package capacity

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Measurement measures one cost at several sizes, with the real packages and
// small stand-ins of the outside, in this process.
type Measurement struct {
	Name   string
	XLabel string
	YLabel string // with the unit
	Sizes  []int
	// Run returns the cost at one size. Measurements run one at a time: the
	// processor time and the memory are those of the whole process.
	Run func(size int) (cost float64, err error)
}

// AllMeasurements returns every measurement, in the order in which they are run.
func AllMeasurements() []Measurement {
	var all []Measurement
	for _, group := range []func() []Measurement{
		cellMemory, cellTime, requestKeys, configRecords, ownershipPlan, heartbeats,
		journalStarts, journalRequests, placements, worlds, workerExchanges, vmLists, requests, entryRequests, idleEntries,
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

// memo runs an experiment once for each size, for measurements that read
// different costs off the same run.
type memo[T any] struct {
	run   func(size int) (T, error)
	known map[int]T
}

func newMemo[T any](run func(size int) (T, error)) *memo[T] {
	return &memo[T]{run: run, known: make(map[int]T)}
}

func (m *memo[T]) at(size int) (T, error) {
	if got, ok := m.known[size]; ok {
		return got, nil
	}
	got, err := m.run(size)
	if err == nil {
		m.known[size] = got
	}
	return got, err
}

// read returns a measurement's Run that reads one cost off the run.
func (m *memo[T]) read(cost func(T) float64) func(int) (float64, error) {
	return func(size int) (float64, error) {
		got, err := m.at(size)
		return cost(got), err
	}
}
