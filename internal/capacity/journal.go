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

func journalStarts() []Measurement {
	bursts := newMemo(startBurst)
	rates := []int{500, 1000, 2500, 5000}
	x := "starts a second, each seen running and ended"
	late := "starts in the log, each seen running and ended"
	inLog := []int{1000, 2000, 5000, 10_000}
	replayed := func(cost func(burst) float64) func(int) (float64, error) {
		read := bursts.read(cost)
		return func(size int) (float64, error) { return read(size / int(burstFor.Seconds())) }
	}
	return []Measurement{
		{Name: "log_start_appends", XLabel: x, YLabel: "appends a second", Sizes: rates, Run: bursts.read(func(b burst) float64 { return b.appends })},
		{Name: "log_start_bytes", XLabel: x, YLabel: "bytes of log a second", Sizes: rates, Run: bursts.read(func(b burst) float64 { return b.bytes })},
		{Name: "log_start_time", XLabel: x, YLabel: "processor seconds a second, holder and log", Sizes: rates, Run: bursts.read(func(b burst) float64 { return b.holder })},
		{Name: "replay_time", XLabel: late, YLabel: "processor time of reader and log, ms", Sizes: inLog, Run: replayed(func(b burst) float64 { return b.replayTime })},
		{Name: "replay_bytes", XLabel: late, YLabel: "bytes to and from a reader", Sizes: inLog, Run: replayed(func(b burst) float64 { return b.replayBytes })},
		{Name: "log_wait", XLabel: "ms between appends that the budget allows", YLabel: "mean wait of an entry until it is read back, ms", Sizes: []int{20, 100, 200, 400}, Run: appendWait},
	}
}

// marking is what marked requests cost the log.
type marking struct {
	appends float64
	bytes   float64 // of log
	time    float64 // processor time of the entry VM and the log, ms
}

// markRequests journals marks and outcomes of requests, many at a time.
func markRequests(count int) (marking, error) {
	const atOnce = 64
	rig, err := newLogRig()
	if err != nil {
		return marking{}, err
	}
	defer rig.close()
	machine := reqkey.NewStateMachine()
	entry, err := rig.follow("dc-a-entry0", appendBudget, machine)
	if err != nil {
		return marking{}, err
	}
	defer entry.close()
	keys := reqkey.NewKeys(machine, entry, journal.Origin{Node: "dc-a-entry0", Incarnation: 1}, reqkey.DefaultMaxBodyBytes)
	before := entry.Stats()
	var requests sync.WaitGroup
	errs := make([]error, atOnce)
	seconds, err := processorTime(func() error {
		for worker := range atOnce {
			requests.Go(func() {
				for i := worker; i < count && errs[worker] == nil; i += atOnce {
					errs[worker] = markAndSettle(keys, i)
				}
			})
		}
		requests.Wait()
		return errors.Join(errs...)
	})
	after := entry.Stats()
	return marking{
		appends: float64(after.Appends - before.Appends),
		bytes:   float64(after.AppendBytes - before.AppendBytes),
		time:    seconds * milliseconds,
	}, err
}

func markAndSettle(keys *reqkey.Keys, i int) error {
	ctx := context.Background()
	mark, err := keys.Mark(ctx, requestID(i), uint64(i))
	if err != nil {
		return err
	}
	answer := &api.Answer{Status: 200, Body: make([]byte, 100), Endpoint: "dc-a-torquebench-001"}
	return keys.RecordOutcome(ctx, mark, answer, nil)
}

func journalRequests() []Measurement {
	marked := newMemo(markRequests)
	sizes := []int{1000, 2000, 4000, 8000}
	x := "marked requests, 64 at a time"
	return []Measurement{
		{Name: "log_mark_appends", XLabel: x, YLabel: "appends", Sizes: sizes, Run: marked.read(func(m marking) float64 { return m.appends })},
		{Name: "log_mark_bytes", XLabel: x, YLabel: "bytes of log", Sizes: sizes, Run: marked.read(func(m marking) float64 { return m.bytes })},
		{Name: "log_mark_time", XLabel: x, YLabel: "processor time of entry VM and log, ms", Sizes: sizes, Run: marked.read(func(m marking) float64 { return m.time })},
	}
}

// appendWait is the mean time from the proposal of an entry to its being read
// back, when the budget allows an append only every so often. Starts come in
// at a data centre's share of the peak.
func appendWait(every int) (float64, error) {
	const rate, while = 455, 3 * time.Second
	rig, err := newLogRig()
	if err != nil {
		return 0, err
	}
	defer rig.close()
	machine := cell.New(firstEpoch{}, nil)
	holder, err := rig.follow("holder", milliseconds/float64(every), machine)
	if err != nil {
		return 0, err
	}
	defer holder.close()
	if err := holder.Propose(context.Background(), vmsEntry(1700)); err != nil {
		return 0, err
	}
	var proposals sync.WaitGroup
	var total atomic.Int64
	var failed atomic.Pointer[error]
	count := int(while / cycle)
	for i := range count {
		proposals.Go(func() {
			before := time.Now()
			if err := holder.Propose(context.Background(), cell.SubmitEntry(jobSpec(i, rate/50), 0)); err != nil {
				failed.Store(&err)
			}
			total.Add(int64(time.Since(before)))
		})
		time.Sleep(cycle)
	}
	proposals.Wait()
	if err := failed.Load(); err != nil {
		return 0, *err
	}
	return time.Duration(total.Load()).Seconds() * milliseconds / float64(count), nil
}
