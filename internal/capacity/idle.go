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
	settleAlone    = 2500 * time.Millisecond // until one entry VM holds its shards
	settleTogether = 6500 * time.Millisecond // until several have shared them out
	// idleFor is a whole interval of the exchanges with worker VMs, which come
	// close together.
	idleFor = 2500 * time.Millisecond
)

// idle is what entry processes without any work cost.
type idle struct {
	heap  float64 // bytes, with stacks
	bytes float64 // a second, on all connections
	time  float64 // processor milliseconds a second, stand-ins included
	join  float64 // appends until all have joined and the shards are held
	calls float64 // appends and reads of the log a second
}

// idleSite runs entry processes of one data centre without callers.
func idleSite(entries, vms int) (idle, error) {
	before := liveBytes()
	s, err := site.Start(site.Config{
		DataCentres: []api.DataCentre{"dc-a"}, VMsPerDataCentre: vms, VMsPerRack: 6, Capacity: vmSize,
	})
	if err != nil {
		return idle{}, err
	}
	defer s.Close()
	all, err := s.EntrySettings(entries)
	if err != nil {
		return idle{}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	errs := make([]error, len(all))
	for i, settings := range all {
		node, err := entry.New(settings, quietLog())
		if err != nil {
			cancel()
			running.Wait()
			return idle{}, err
		}
		running.Go(func() { errs[i] = node.Run(ctx) })
	}
	if entries > 1 {
		time.Sleep(settleTogether)
	} else {
		time.Sleep(settleAlone)
	}
	settled := s.Log.Stats()
	bytes, seconds, err := usage(idleFor)
	last := s.Log.Stats()
	got := idle{
		heap:  liveBytes() - before,
		bytes: bytes / idleFor.Seconds(),
		time:  seconds * milliseconds / idleFor.Seconds(),
		join:  float64(settled.Appends),
		calls: float64(last.AppendCalls+last.Reads-settled.AppendCalls-settled.Reads) / idleFor.Seconds(),
	}
	cancel()
	running.Wait()
	return got, errors.Join(append(errs, err)...)
}

func idleEntries() []Measurement {
	entries := newMemo(func(size int) (idle, error) { return idleSite(size, 0) })
	vms := newMemo(func(size int) (idle, error) { return idleSite(1, size) })
	sizes := []int{1, 2, 4, 8}
	vmSizes := []int{25, 50, 100, 200}
	x, holder := "idle entry processes", "idle worker VMs of one holder"
	return []Measurement{
		{Name: "idle_entry_time", XLabel: x, YLabel: "processor ms a second, with the stand-ins", Sizes: sizes, Run: entries.read(func(i idle) float64 { return i.time })},
		{Name: "idle_entry_bytes", XLabel: x, YLabel: "bytes a second, both ways", Sizes: sizes, Run: entries.read(func(i idle) float64 { return i.bytes })},
		{Name: "idle_entry_heap", XLabel: x, YLabel: "bytes", Sizes: sizes, Run: entries.read(func(i idle) float64 { return i.heap })},
		{Name: "join_appends", XLabel: "entry processes that join", YLabel: "appends", Sizes: sizes, Run: entries.read(func(i idle) float64 { return i.join })},
		{Name: "idle_log_calls", XLabel: x, YLabel: "calls of the log a second", Sizes: sizes, Run: entries.read(func(i idle) float64 { return i.calls })},
		{Name: "idle_vm_time", XLabel: holder, YLabel: "processor ms a second, with the stand-ins", Sizes: vmSizes, Run: vms.read(func(i idle) float64 { return i.time })},
		{Name: "idle_vm_bytes", XLabel: holder, YLabel: "bytes a second, both ways", Sizes: vmSizes, Run: vms.read(func(i idle) float64 { return i.bytes })},
		{Name: "idle_vm_heap", XLabel: holder, YLabel: "bytes", Sizes: vmSizes, Run: vms.read(func(i idle) float64 { return i.heap })},
	}
}
