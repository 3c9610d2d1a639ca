package capacity

import (
	"context"
	"fmt"
	"runtime"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/config"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/reqkey"
)

// directProposer applies proposed entries immediately, without a log.
type directProposer struct {
	journal.Follower
	machine journal.StateMachine
}

// Propose implements journal.Proposer.
func (d directProposer) Propose(_ context.Context, e journal.Entry) error {
	return d.machine.Apply(journal.Position{}, e)
}

// requestID returns the ID of request number i. It has the length of a UUID.
func requestID(i int) string { return fmt.Sprintf("%036d", i) }

// machineCost is the size of a state machine and the cost of filling and restoring
// it.
type machineCost struct {
	heapBytes     float64
	applyMs       float64 // processor time
	snapshotBytes float64
	restoreMs     float64 // processor time
}

// measureMachine calls step size times; each call must apply one entry to m. It then
// takes a snapshot of m and restores it in empty.
func measureMachine(m, empty journal.StateMachine, size int, step func(i int) error) (machineCost, error) {
	var cost machineCost
	before := heapBytes()
	applySeconds, err := measureCPUSeconds(func() error {
		for i := range size {
			if err := step(i); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return cost, err
	}
	cost.applyMs = applySeconds * msPerSecond
	cost.heapBytes = heapBytes() - before
	data, err := m.Snapshot()
	if err != nil {
		return cost, err
	}
	cost.snapshotBytes = float64(len(data))
	restoreSeconds, err := measureCPUSeconds(func() error { return empty.Restore(data) })
	cost.restoreMs = restoreSeconds * msPerSecond
	runtime.KeepAlive(m)
	return cost, err
}

// measureMarks marks requests in a state machine without a log.
func measureMarks(ids int) (machineCost, error) {
	m := reqkey.NewStateMachine()
	keys := reqkey.NewKeys(m, directProposer{machine: m}, journal.Origin{Node: "dc-a-entry0", Incarnation: 1}, reqkey.DefaultMaxBodyBytes)
	return measureMachine(m, reqkey.NewStateMachine(), ids, func(i int) error {
		_, err := keys.Mark(context.Background(), requestID(i), uint64(i))
		return err
	})
}

func requestKeyMeasurements() []Measurement {
	cache := newRunCache(measureMarks)
	sizes := []int{25_000, 50_000, 100_000, 200_000}
	xLabel := "remembered ids"
	return []Measurement{
		{Name: "reqkey_id_bytes", XLabel: xLabel, YLabel: "bytes", Sizes: sizes, Run: cache.costFunc(func(s machineCost) float64 { return s.heapBytes })},
		{Name: "reqkey_mark_time", XLabel: xLabel, YLabel: "processor time, ms", Sizes: sizes, Run: cache.costFunc(func(s machineCost) float64 { return s.applyMs })},
		{Name: "reqkey_snapshot_bytes", XLabel: xLabel, YLabel: "bytes", Sizes: sizes, Run: cache.costFunc(func(s machineCost) float64 { return s.snapshotBytes })},
		{Name: "reqkey_restore_time", XLabel: xLabel, YLabel: "processor time, ms", Sizes: sizes, Run: cache.costFunc(func(s machineCost) float64 { return s.restoreMs })},
	}
}

// measureRecords publishes records of batch jobs to a state machine without a log.
func measureRecords(records int) (machineCost, error) {
	m := config.NewStateMachine()
	publisher := config.NewPublisher(m, directProposer{machine: m})
	return measureMachine(m, config.NewStateMachine(), records, func(i int) error {
		_, err := publisher.Publish(context.Background(), api.Record{
			Kind: api.KindBatchJob, Name: fmt.Sprintf("appraisal-%d", i), SchemaVersion: 1,
			Spec: []byte(`{"team":"lots","tasks":12,"resources":{"milli_cpu":500,"memory_mb":512},"run_time_ns":60000000000}`),
		})
		return err
	})
}

func configRecordMeasurements() []Measurement {
	cache := newRunCache(measureRecords)
	sizes := []int{1250, 2500, 5000, 10_000}
	xLabel := "records in force"
	return []Measurement{
		{Name: "config_record_bytes", XLabel: xLabel, YLabel: "bytes", Sizes: sizes, Run: cache.costFunc(func(s machineCost) float64 { return s.heapBytes })},
		{Name: "config_publish_time", XLabel: xLabel, YLabel: "processor time, ms", Sizes: sizes, Run: cache.costFunc(func(s machineCost) float64 { return s.applyMs })},
		{Name: "config_snapshot_bytes", XLabel: xLabel, YLabel: "bytes", Sizes: sizes, Run: cache.costFunc(func(s machineCost) float64 { return s.snapshotBytes })},
		{Name: "config_restore_time", XLabel: xLabel, YLabel: "processor time, ms", Sizes: sizes, Run: cache.costFunc(func(s machineCost) float64 { return s.restoreMs })},
	}
}
