package capacity

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/entry"
	"github.com/skylarklock/skylarklock/internal/standin/site"
)

const (
	singleEntrySettleTime = 2500 * time.Millisecond // until one entry VM holds all shards
	multiEntrySettleTime  = 6500 * time.Millisecond // until several entry VMs have divided the shards among themselves
	// idleDuration is one full interval of the exchanges with worker VMs. A part of
	// it wouldn't be representative, because the exchanges come in a burst.
	idleDuration = 2500 * time.Millisecond
)

// idleCost is the cost of entry processes without any work.
type idleCost struct {
	heapBytes         float64 // includes stacks
	bytesPerSecond    float64 // on all connections
	cpuMsPerSecond    float64 // processor time, stand-ins included
	joinAppends       float64 // appends until all entry processes have joined and the shards are held
	logCallsPerSecond float64 // appends to and reads of the log
}

// measureIdle returns the cost of entry processes of one data centre without
// callers.
func measureIdle(entries, vms int) (idleCost, error) {
	before := heapAndStackBytes()
	s, err := site.Start(site.Config{
		DataCentres: []api.DataCentre{"dc-a"}, VMsPerDataCentre: vms, VMsPerRack: 6, Capacity: vmSize,
	})
	if err != nil {
		return idleCost{}, err
	}
	defer s.Close()
	entrySettings, err := s.EntrySettings(entries)
	if err != nil {
		return idleCost{}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	errs := make([]error, len(entrySettings))
	for i, settings := range entrySettings {
		node, err := entry.New(settings, nopLogger())
		if err != nil {
			cancel()
			running.Wait()
			return idleCost{}, err
		}
		running.Go(func() { errs[i] = node.Run(ctx) })
	}
	if entries > 1 {
		time.Sleep(multiEntrySettleTime)
	} else {
		time.Sleep(singleEntrySettleTime)
	}
	statsBefore := s.Log.Stats()
	bytes, seconds, err := measureUsage(idleDuration)
	statsAfter := s.Log.Stats()
	cost := idleCost{
		heapBytes:         heapAndStackBytes() - before,
		bytesPerSecond:    bytes / idleDuration.Seconds(),
		cpuMsPerSecond:    seconds * msPerSecond / idleDuration.Seconds(),
		joinAppends:       float64(statsBefore.Appends),
		logCallsPerSecond: float64(statsAfter.AppendCalls+statsAfter.Reads-statsBefore.AppendCalls-statsBefore.Reads) / idleDuration.Seconds(),
	}
	cancel()
	running.Wait()
	return cost, errors.Join(append(errs, err)...)
}

func idleMeasurements() []Measurement {
	entries := newRunCache(func(size int) (idleCost, error) { return measureIdle(size, 0) })
	vms := newRunCache(func(size int) (idleCost, error) { return measureIdle(1, size) })
	sizes := []int{1, 2, 4, 8}
	vmSizes := []int{25, 50, 100, 200}
	xLabel, holder := "idle entry processes", "idle worker VMs of one holder"
	return []Measurement{
		{Name: "idle_entry_time", XLabel: xLabel, YLabel: "processor ms a second, with the stand-ins", Sizes: sizes, Run: entries.costFunc(func(i idleCost) float64 { return i.cpuMsPerSecond })},
		{Name: "idle_entry_bytes", XLabel: xLabel, YLabel: "bytes a second, both ways", Sizes: sizes, Run: entries.costFunc(func(i idleCost) float64 { return i.bytesPerSecond })},
		{Name: "idle_entry_heap", XLabel: xLabel, YLabel: "bytes", Sizes: sizes, Run: entries.costFunc(func(i idleCost) float64 { return i.heapBytes })},
		{Name: "join_appends", XLabel: "entry processes that join", YLabel: "appends", Sizes: sizes, Run: entries.costFunc(func(i idleCost) float64 { return i.joinAppends })},
		{Name: "idle_log_calls", XLabel: xLabel, YLabel: "calls of the log a second", Sizes: sizes, Run: entries.costFunc(func(i idleCost) float64 { return i.logCallsPerSecond })},
		{Name: "idle_vm_time", XLabel: holder, YLabel: "processor ms a second, with the stand-ins", Sizes: vmSizes, Run: vms.costFunc(func(i idleCost) float64 { return i.cpuMsPerSecond })},
		{Name: "idle_vm_bytes", XLabel: holder, YLabel: "bytes a second, both ways", Sizes: vmSizes, Run: vms.costFunc(func(i idleCost) float64 { return i.bytesPerSecond })},
		{Name: "idle_vm_heap", XLabel: holder, YLabel: "bytes", Sizes: vmSizes, Run: vms.costFunc(func(i idleCost) float64 { return i.heapBytes })},
	}
}
