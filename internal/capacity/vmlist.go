package capacity

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform/httpvmlist"
	"github.com/skylarklock/skylarklock/internal/standin/vmlist"
)

// listing is the cost of one read of the platform's VM list.
type listing struct {
	bytes float64 // both ways
	time  float64 // processor time of both ends, ms
}

func readList(vms int) (listing, error) {
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
		return listing{}, err
	}
	defer server.Close()
	client := httpvmlist.New("http://" + address)
	before, err := writtenBytes()
	if err != nil {
		return listing{}, err
	}
	seconds, err := processorTime(func() error {
		for range reads {
			got, err := client.List(context.Background(), "dc-a")
			if err != nil || len(got) != vms {
				return errors.Newf("%d of %d VMs: %v", len(got), vms, err)
			}
		}
		return nil
	})
	if err != nil {
		return listing{}, err
	}
	after, err := writtenBytes()
	return listing{bytes: (after - before) / reads, time: seconds * milliseconds / reads}, err
}

func vmLists() []Measurement {
	lists := newMemo(readList)
	sizes := []int{100, 400, 800, 1700}
	x := "worker VMs in the list, without endpoints"
	return []Measurement{
		{Name: "vm_list_bytes", XLabel: x, YLabel: "bytes of a read", Sizes: sizes, Run: lists.read(func(l listing) float64 { return l.bytes })},
		{Name: "vm_list_time", XLabel: x, YLabel: "processor time of a read at both ends, ms", Sizes: sizes, Run: lists.read(func(l listing) float64 { return l.time })},
	}
}
