package capacity

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/controller/worker"
	"github.com/skylarklock/skylarklock/internal/lease"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/platform/httpworker"
	standin "github.com/skylarklock/skylarklock/internal/standin/worker"
)

// exchangeCost is the cost of one exchange with a worker VM.
type exchangeCost struct {
	bytes     float64 // bytes in both directions
	cpuMicros float64 // processor time of both ends
}

// serve serves h on a free port of 127.0.0.1 and returns the server and its address.
func serve(h http.Handler) (*http.Server, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", errors.Wrap(err, "stand-in")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }() // ends with Close
	return server, l.Addr().String(), nil
}

// measureExchanges returns the average cost of an exchange with a VM that runs
// tasks: that of the adapter and of the loopback connection.
func measureExchanges(tasks int) (exchangeCost, error) {
	const count = 2000
	server, address, err := serve(standin.NewHost(standin.New("vm-1", taskResources.Mul(1000), time.Now, 0)))
	if err != nil {
		return exchangeCost{}, err
	}
	defer server.Close()
	vm := api.VM{ID: "vm-1", Address: address + "/w/vm-1"}
	client := httpworker.New(time.Second)
	msg := platform.WorkerSync{Epoch: 1, Incarnation: 1, LeaseExpiry: platform.WorkerTime(time.Hour)}
	for i := range tasks {
		msg.Starts = append(msg.Starts, platform.TaskStart{Task: api.TaskID{Job: jobSpec(i, 1).ID}, Attempt: 1, Resources: taskResources, Payload: "appraise"})
	}
	report, err := client.Sync(context.Background(), vm, msg)
	if err != nil || len(report.Tasks) != tasks {
		return exchangeCost{}, errors.Newf("%d of %d tasks run: %v", len(report.Tasks), tasks, err)
	}
	msg.Starts = nil
	before, err := writtenBytes()
	if err != nil {
		return exchangeCost{}, err
	}
	seconds, err := measureCPUSeconds(func() error {
		for range count {
			if _, err := client.Sync(context.Background(), vm, msg); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return exchangeCost{}, err
	}
	after, err := writtenBytes()
	return exchangeCost{bytes: (after - before) / count, cpuMicros: seconds * microsPerSecond / count}, err
}

// controllerHarness implements the dependencies of the worker controller at almost
// no cost: its VMs answer at once with a prepared report.
type controllerHarness struct {
	machine       *cell.StateMachine
	vms           []api.VM
	reports       map[api.VMID]platform.WorkerReport
	clock         atomic.Int64
	exchangeCount atomic.Int64
}

func (h *controllerHarness) Cell(time.Time) (api.Epoch, bool, time.Time)                 { return 1, true, time.Time{} }
func (h *controllerHarness) Inc(string, api.Reason)                                      {}
func (h *controllerHarness) VMs() []api.VM                                               { return h.vms }
func (h *controllerHarness) ObserveReport(api.VMID, platform.TaskReport)                 {}
func (h *controllerHarness) ObserveEnd(api.VMID, api.TaskID, uint32, cell.AttemptStatus) {}
func (h *controllerHarness) TakeThrottles(api.VMID) []platform.TaskStop                  { return nil }

// Sync implements platform.Worker.
func (h *controllerHarness) Sync(_ context.Context, vm api.VM, _ platform.WorkerSync) (platform.WorkerReport, error) {
	h.exchangeCount.Add(1)
	report := h.reports[vm.ID]
	report.Clock = platform.WorkerTime(h.clock.Add(1))
	return report, nil
}

// newControllerHarness returns a harness whose VMs each run the given number of tasks.
func newControllerHarness(vms, tasks int) (*controllerHarness, error) {
	s, err := newCellState(vms)
	if err != nil {
		return nil, err
	}
	h := &controllerHarness{machine: s.machine, reports: make(map[api.VMID]platform.WorkerReport)}
	for i := range vms {
		report := platform.WorkerReport{VM: vmName(i), Incarnation: 1}
		var starts []cell.Start
		for range tasks {
			jobStarts, err := s.submitJob(1)
			if err != nil {
				return nil, err
			}
			jobStarts[0].VM = vmName(i)
			starts = append(starts, jobStarts...)
			report.Tasks = append(report.Tasks, platform.TaskReport{Task: jobStarts[0].Task, Attempt: 1, State: platform.RunRunning, Usage: taskResources})
		}
		if err := s.startTasks(starts, cell.AttemptRunning); err != nil {
			return nil, err
		}
		h.reports[report.VM] = report
		h.vms = append(h.vms, api.VM{ID: report.VM, Address: "x"})
	}
	return h, nil
}

// measureControllerExchange returns the processor time, in us, that the worker
// controller spends on one exchange, without the adapter and the connection.
func measureControllerExchange(tasks int) (float64, error) {
	const vms = 200
	h, err := newControllerHarness(vms, tasks)
	if err != nil {
		return 0, err
	}
	cfg := worker.DefaultConfig(lease.Params{Lease: time.Hour})
	cfg.Interval = cfg.TickInterval
	c := worker.New(cfg, h.machine, directProposer{machine: h.machine}, h, h, h, h, h, nopLogger(), time.Now)
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	var running sync.WaitGroup
	seconds, err := measureCPUSeconds(func() error {
		running.Go(func() { _ = c.Run(ctx) })
		running.Wait()
		return nil
	})
	if err != nil || h.exchangeCount.Load() == 0 {
		return 0, errors.Newf("no exchanges: %v", err)
	}
	return seconds * microsPerSecond / float64(h.exchangeCount.Load()), nil
}

func workerExchangeMeasurements() []Measurement {
	cache := newRunCache(measureExchanges)
	sizes := []int{5, 10, 25, 50}
	xLabel := "tasks on the worker VM"
	return []Measurement{
		{Name: "exchange_time", XLabel: xLabel, YLabel: "processor time of both ends, us", Sizes: sizes, Run: cache.costFunc(func(e exchangeCost) float64 { return e.cpuMicros })},
		{Name: "exchange_bytes", XLabel: xLabel, YLabel: "bytes both ways", Sizes: sizes, Run: cache.costFunc(func(e exchangeCost) float64 { return e.bytes })},
		{Name: "exchange_holder_time", XLabel: xLabel, YLabel: "processor time of the holder's work, us", Sizes: sizes, Run: measureControllerExchange},
	}
}
