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

// exchange is the cost of one exchange with a worker VM.
type exchange struct {
	bytes float64 // both ways
	time  float64 // processor time of both ends, us
}

// serve serves h on a free port of 127.0.0.1.
func serve(h http.Handler) (*http.Server, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", errors.Wrap(err, "stand-in")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }() // ends with Close
	return server, l.Addr().String(), nil
}

// exchanges measures the adapter and the loopback connection.
func exchanges(tasks int) (exchange, error) {
	const count = 2000
	server, address, err := serve(standin.NewHost(standin.New("vm-1", taskSize.Mul(1000), time.Now, 0)))
	if err != nil {
		return exchange{}, err
	}
	defer server.Close()
	vm := api.VM{ID: "vm-1", Address: address + "/w/vm-1"}
	client := httpworker.New(time.Second)
	msg := platform.WorkerSync{Epoch: 1, Incarnation: 1, LeaseExpiry: platform.WorkerTime(time.Hour)}
	for i := range tasks {
		msg.Starts = append(msg.Starts, platform.TaskStart{Task: api.TaskID{Job: jobSpec(i, 1).ID}, Attempt: 1, Resources: taskSize, Payload: "appraise"})
	}
	report, err := client.Sync(context.Background(), vm, msg)
	if err != nil || len(report.Tasks) != tasks {
		return exchange{}, errors.Newf("%d of %d tasks run: %v", len(report.Tasks), tasks, err)
	}
	msg.Starts = nil
	before, err := writtenBytes()
	if err != nil {
		return exchange{}, err
	}
	seconds, err := processorTime(func() error {
		for range count {
			if _, err := client.Sync(context.Background(), vm, msg); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return exchange{}, err
	}
	after, err := writtenBytes()
	return exchange{bytes: (after - before) / count, time: seconds * microseconds / count}, err
}

// holderRig surrounds the worker controller with parts that cost next to
// nothing: VMs that report what they were given at once.
type holderRig struct {
	machine *cell.Machine
	vms     []api.VM
	reports map[api.VMID]platform.WorkerReport
	clock   atomic.Int64
	count   atomic.Int64
}

func (r *holderRig) Cell(time.Time) (api.Epoch, bool, time.Time) { return 1, true, time.Time{} }
func (r *holderRig) Inc(string, api.Reason)                      {}
func (r *holderRig) VMs() []api.VM                               { return r.vms }
func (r *holderRig) Reported(api.VMID, platform.TaskReport)      {}
func (r *holderRig) Ended(api.VMID, api.TaskID, cell.Ending)     {}
func (r *holderRig) Throttles(api.VMID) []platform.TaskStop      { return nil }

// Sync implements platform.Worker.
func (r *holderRig) Sync(_ context.Context, vm api.VM, _ platform.WorkerSync) (platform.WorkerReport, error) {
	r.count.Add(1)
	report := r.reports[vm.ID]
	report.Clock = platform.WorkerTime(r.clock.Add(1))
	return report, nil
}

// newHolderRig returns a rig whose VMs run so many tasks each.
func newHolderRig(vms, tasks int) (*holderRig, error) {
	s, err := newCellState(vms)
	if err != nil {
		return nil, err
	}
	r := &holderRig{machine: s.machine, reports: make(map[api.VMID]platform.WorkerReport)}
	for i := range vms {
		report := platform.WorkerReport{VM: vmName(i), Incarnation: 1}
		var starts []cell.Start
		for range tasks {
			one, err := s.submit(1)
			if err != nil {
				return nil, err
			}
			one[0].VM = vmName(i)
			starts = append(starts, one...)
			report.Tasks = append(report.Tasks, platform.TaskReport{Task: one[0].Task, Attempt: 1, State: platform.RunRunning, Usage: taskSize})
		}
		if err := s.start(starts, cell.ReportRunning); err != nil {
			return nil, err
		}
		r.reports[report.VM] = report
		r.vms = append(r.vms, api.VM{ID: report.VM, Address: "x"})
	}
	return r, nil
}

// holderTime is the processor time that the worker controller spends on one
// exchange, without the adapter and the connection.
func holderTime(tasks int) (float64, error) {
	const vms = 200
	r, err := newHolderRig(vms, tasks)
	if err != nil {
		return 0, err
	}
	cfg := worker.DefaultConfig(lease.Params{Lease: time.Hour})
	cfg.Interval = cfg.Tick
	c := worker.New(cfg, r.machine, direct{machine: r.machine}, r, r, r, r, r, quietLog(), time.Now)
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	var running sync.WaitGroup
	seconds, err := processorTime(func() error {
		running.Go(func() { _ = c.Run(ctx) })
		running.Wait()
		return nil
	})
	if err != nil || r.count.Load() == 0 {
		return 0, errors.Newf("no exchanges: %v", err)
	}
	return seconds * microseconds / float64(r.count.Load()), nil
}

func workerExchanges() []Measurement {
	both := newMemo(exchanges)
	sizes := []int{5, 10, 25, 50}
	x := "tasks on the worker VM"
	return []Measurement{
		{Name: "exchange_time", XLabel: x, YLabel: "processor time of both ends, us", Sizes: sizes, Run: both.read(func(e exchange) float64 { return e.time })},
		{Name: "exchange_bytes", XLabel: x, YLabel: "bytes both ways", Sizes: sizes, Run: both.read(func(e exchange) float64 { return e.bytes })},
		{Name: "exchange_holder_time", XLabel: x, YLabel: "processor time of the holder's work, us", Sizes: sizes, Run: holderTime},
	}
}
