package capacity

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform/httpvmlist"
	"github.com/skylarklock/skylarklock/internal/standin/vmlist"
)

// listCost is the cost of one read of the platform's VM list.
type listCost struct {
	bytes float64 // bytes in both directions
	cpuMs float64 // processor time of both ends
}

// measureListRead returns the average cost of reading a list of VMs.
func measureListRead(vms int) (listCost, error) {
	const reads = 20
	list := vmlist.New(time.Now, 0)
	for i := range vms {
		vm := schedulerVM(i)
		list.Put(api.VM{
			ID: vm.ID, DataCentre: vm.DataCentre, Rack: vm.Rack, Address: "127.0.0.1:10000",
			Capacity: vm.Capacity, State: api.VMLive,
		})
	}
	server, address, err := serve(list)
	if err != nil {
		return listCost{}, err
	}
	defer server.Close()
	client := httpvmlist.New("http://" + address)
	before, err := writtenBytes()
	if err != nil {
		return listCost{}, err
	}
	seconds, err := measureCPUSeconds(func() error {
		for range reads {
			listed, err := client.List(context.Background(), "dc-a")
			if err != nil || len(listed) != vms {
				return errors.Newf("%d of %d VMs: %v", len(listed), vms, err)
			}
		}
		return nil
	})
	if err != nil {
		return listCost{}, err
	}
	after, err := writtenBytes()
	return listCost{bytes: (after - before) / reads, cpuMs: seconds * msPerSecond / reads}, err
}

func vmListMeasurements() []Measurement {
	cache := newRunCache(measureListRead)
	sizes := []int{100, 400, 800, 1700}
	xLabel := "worker VMs in the list, without endpoints"
	return []Measurement{
		{Name: "vm_list_bytes", XLabel: xLabel, YLabel: "bytes of a read", Sizes: sizes, Run: cache.costFunc(func(l listCost) float64 { return l.bytes })},
		{Name: "vm_list_time", XLabel: xLabel, YLabel: "processor time of a read at both ends, ms", Sizes: sizes, Run: cache.costFunc(func(l listCost) float64 { return l.cpuMs })},
	}
}
