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

// direct applies what is proposed at once, without a log.
type direct struct {
	journal.Follower
	machine journal.StateMachine
}

// Propose implements journal.Proposer.
func (d direct) Propose(_ context.Context, e journal.Entry) error {
	return d.machine.Apply(journal.Position{}, e)
}

// requestID returns the id of one request, as long as a UUID.
func requestID(i int) string { return fmt.Sprintf("%036d", i) }

// state is what a machine came to hold and at what cost.
type state struct {
	heap     float64 // bytes
	applied  float64 // processor time, ms
	snapshot float64 // bytes
	restored float64 // processor time, ms
}

// growth applies size entries with step and takes and restores a snapshot.
func growth(m, empty journal.StateMachine, size int, step func(i int) error) (state, error) {
	var s state
	before := heapBytes()
	applied, err := processorTime(func() error {
		for i := range size {
			if err := step(i); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return s, err
	}
	s.applied = applied * milliseconds
	s.heap = heapBytes() - before
	data, err := m.Snapshot()
	if err != nil {
		return s, err
	}
	s.snapshot = float64(len(data))
	restored, err := processorTime(func() error { return empty.Restore(data) })
	s.restored = restored * milliseconds
	runtime.KeepAlive(m)
	return s, err
}

func markState(ids int) (state, error) {
	m := reqkey.NewStateMachine()
	keys := reqkey.NewKeys(m, direct{machine: m}, journal.Origin{Node: "dc-a-entry0", Incarnation: 1}, reqkey.DefaultMaxBodyBytes)
	return growth(m, reqkey.NewStateMachine(), ids, func(i int) error {
		_, err := keys.Mark(context.Background(), requestID(i), uint64(i))
		return err
	})
}

func requestKeys() []Measurement {
	marks := newMemo(markState)
	sizes := []int{25_000, 50_000, 100_000, 200_000}
	x := "remembered ids"
	return []Measurement{
		{Name: "reqkey_id_bytes", XLabel: x, YLabel: "bytes", Sizes: sizes, Run: marks.read(func(s state) float64 { return s.heap })},
		{Name: "reqkey_mark_time", XLabel: x, YLabel: "processor time, ms", Sizes: sizes, Run: marks.read(func(s state) float64 { return s.applied })},
		{Name: "reqkey_snapshot_bytes", XLabel: x, YLabel: "bytes", Sizes: sizes, Run: marks.read(func(s state) float64 { return s.snapshot })},
		{Name: "reqkey_restore_time", XLabel: x, YLabel: "processor time, ms", Sizes: sizes, Run: marks.read(func(s state) float64 { return s.restored })},
	}
}

// recordState publishes records of batch jobs to a machine without a log.
func recordState(records int) (state, error) {
	m := config.NewStateMachine()
	publisher := config.NewPublisher(m, direct{machine: m})
	return growth(m, config.NewStateMachine(), records, func(i int) error {
		_, err := publisher.Publish(context.Background(), api.Record{
			Kind: api.KindBatchJob, Name: fmt.Sprintf("appraisal-%d", i), SchemaVersion: 1,
			Spec: []byte(`{"team":"lots","tasks":12,"resources":{"milli_cpu":500,"memory_mb":512},"run_time_ns":60000000000}`),
		})
		return err
	})
}

func configRecords() []Measurement {
	records := newMemo(recordState)
	sizes := []int{1250, 2500, 5000, 10_000}
	x := "records in force"
	return []Measurement{
		{Name: "config_record_bytes", XLabel: x, YLabel: "bytes", Sizes: sizes, Run: records.read(func(s state) float64 { return s.heap })},
		{Name: "config_publish_time", XLabel: x, YLabel: "processor time, ms", Sizes: sizes, Run: records.read(func(s state) float64 { return s.applied })},
		{Name: "config_snapshot_bytes", XLabel: x, YLabel: "bytes", Sizes: sizes, Run: records.read(func(s state) float64 { return s.snapshot })},
		{Name: "config_restore_time", XLabel: x, YLabel: "processor time, ms", Sizes: sizes, Run: records.read(func(s state) float64 { return s.restored })},
	}
}
