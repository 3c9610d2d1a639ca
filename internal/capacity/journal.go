package capacity

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/reqkey"
)

func journalStartMeasurements() []Measurement {
	cache := newRunCache(measureBurst)
	rates := []int{500, 1000, 2500, 5000}
	xLabel := "starts a second, each seen running and ended"
	replayLabel := "starts in the log, each seen running and ended"
	replaySizes := []int{1000, 2000, 5000, 10_000}
	replayCost := func(cost func(burstCost) float64) func(int) (float64, error) {
		costOf := cache.costFunc(cost)
		return func(size int) (float64, error) { return costOf(size / int(burstDuration.Seconds())) }
	}
	return []Measurement{
		{Name: "log_start_appends", XLabel: xLabel, YLabel: "appends a second", Sizes: rates, Run: cache.costFunc(func(b burstCost) float64 { return b.appendsPerSecond })},
		{Name: "log_start_bytes", XLabel: xLabel, YLabel: "bytes of log a second", Sizes: rates, Run: cache.costFunc(func(b burstCost) float64 { return b.bytesPerSecond })},
		{Name: "log_start_time", XLabel: xLabel, YLabel: "processor seconds a second, holder and log", Sizes: rates, Run: cache.costFunc(func(b burstCost) float64 { return b.cpuPerSecond })},
		{Name: "replay_time", XLabel: replayLabel, YLabel: "processor time of reader and log, ms", Sizes: replaySizes, Run: replayCost(func(b burstCost) float64 { return b.replayMs })},
		{Name: "replay_bytes", XLabel: replayLabel, YLabel: "bytes to and from a reader", Sizes: replaySizes, Run: replayCost(func(b burstCost) float64 { return b.replayBytes })},
		{Name: "log_wait", XLabel: "ms between appends that the budget allows", YLabel: "mean wait of an entry until it is read back, ms", Sizes: []int{20, 100, 200, 400}, Run: measureAppendWait},
	}
}

// markingCost is the cost of marked requests.
type markingCost struct {
	appends float64
	bytes   float64 // bytes appended to the log
	cpuMs   float64 // processor time of the entry VM and the log
}

// measureMarking journals the marks and outcomes of count requests, many of them
// concurrently.
func measureMarking(count int) (markingCost, error) {
	const concurrency = 64
	harness, err := newLogHarness()
	if err != nil {
		return markingCost{}, err
	}
	defer harness.close()
	machine := reqkey.NewStateMachine()
	replica, err := harness.startReplica("dc-a-entry0", holderAppendsPerSecond, machine)
	if err != nil {
		return markingCost{}, err
	}
	defer replica.close()
	keys := reqkey.NewKeys(machine, replica, journal.Origin{Node: "dc-a-entry0", Incarnation: 1}, reqkey.DefaultMaxBodyBytes)
	before := replica.Stats()
	var requests sync.WaitGroup
	errs := make([]error, concurrency)
	seconds, err := measureCPUSeconds(func() error {
		for worker := range concurrency {
			requests.Go(func() {
				for i := worker; i < count && errs[worker] == nil; i += concurrency {
					errs[worker] = markAndSettleRequest(keys, i)
				}
			})
		}
		requests.Wait()
		return errors.Join(errs...)
	})
	after := replica.Stats()
	return markingCost{
		appends: float64(after.Appends - before.Appends),
		bytes:   float64(after.AppendBytes - before.AppendBytes),
		cpuMs:   seconds * msPerSecond,
	}, err
}

// markAndSettleRequest journals the mark and the outcome of request number i.
func markAndSettleRequest(keys *reqkey.Keys, i int) error {
	ctx := context.Background()
	mark, err := keys.Mark(ctx, requestID(i), uint64(i))
	if err != nil {
		return err
	}
	answer := &api.Answer{Status: 200, Body: make([]byte, 100), Endpoint: "dc-a-torquebench-001"}
	return keys.RecordOutcome(ctx, mark, answer, nil)
}

func journalRequestMeasurements() []Measurement {
	cache := newRunCache(measureMarking)
	sizes := []int{1000, 2000, 4000, 8000}
	xLabel := "marked requests, 64 at a time"
	return []Measurement{
		{Name: "log_mark_appends", XLabel: xLabel, YLabel: "appends", Sizes: sizes, Run: cache.costFunc(func(m markingCost) float64 { return m.appends })},
		{Name: "log_mark_bytes", XLabel: xLabel, YLabel: "bytes of log", Sizes: sizes, Run: cache.costFunc(func(m markingCost) float64 { return m.bytes })},
		{Name: "log_mark_time", XLabel: xLabel, YLabel: "processor time of entry VM and log, ms", Sizes: sizes, Run: cache.costFunc(func(m markingCost) float64 { return m.cpuMs })},
	}
}

// measureAppendWait returns the mean time, in ms, from the proposal of an entry until
// it is read back, if the append budget allows one append in intervalMs. Tasks are
// submitted at one data centre's share of the peak rate.
func measureAppendWait(intervalMs int) (float64, error) {
	const rate, duration = 455, 3 * time.Second
	harness, err := newLogHarness()
	if err != nil {
		return 0, err
	}
	defer harness.close()
	machine := cell.New(fixedEpoch{}, nil)
	holder, err := harness.startReplica("holder", msPerSecond/float64(intervalMs), machine)
	if err != nil {
		return 0, err
	}
	defer holder.close()
	if err := holder.Propose(context.Background(), vmsEntry(1700)); err != nil {
		return 0, err
	}
	var proposals sync.WaitGroup
	var totalWait atomic.Int64
	var failed atomic.Pointer[error]
	count := int(duration / cycleInterval)
	for i := range count {
		proposals.Go(func() {
			before := time.Now()
			if err := holder.Propose(context.Background(), cell.SubmitEntry(jobSpec(i, rate/50), 0)); err != nil {
				failed.Store(&err)
			}
			totalWait.Add(int64(time.Since(before)))
		})
		time.Sleep(cycleInterval)
	}
	proposals.Wait()
	if err := failed.Load(); err != nil {
		return 0, *err
	}
	return time.Duration(totalWait.Load()).Seconds() * msPerSecond / float64(count), nil
}
