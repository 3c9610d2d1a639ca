// Package site starts stand-ins for all external systems of a cell on loopback:
// one log, one VM list, one host of worker agents and one executor per endpoint.
// Tests, the demo and "skylarkctl standin" use it.
package site

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/standin/executor"
	"github.com/skylarklock/skylarklock/internal/standin/logserver"
	"github.com/skylarklock/skylarklock/internal/standin/vmlist"
	"github.com/skylarklock/skylarklock/internal/standin/worker"
)

// Service describes a service whose executors run on the VMs of a site.
type Service struct {
	Name                   string
	ExecutorsPerDataCentre int
	Slots                  int
	Connections            int
	ServiceTime            time.Duration // mean
	Spread                 float64       // maximum deviation from ServiceTime in either direction, as a share of it
	WaitForSlot            bool          // requests wait for a slot instead of being refused
}

// Config describes a site.
type Config struct {
	DataCentres      []api.DataCentre
	VMsPerDataCentre int
	VMsPerRack       int
	Capacity         api.Resources // of each VM
	Services         []Service
	VMListLag        time.Duration // delay until a change shows in the VM list
	UsageLag         time.Duration // delay of the usage in the workers' reports
	Log              logserver.Config
	Seed             uint64
}

// Site is a running set of stand-ins.
type Site struct {
	cfg       Config
	Log       *logserver.Server
	VMList    *vmlist.List
	Workers   *worker.Host
	Executors map[api.EndpointID]*executor.Executor
	VMs       []api.VM

	LogAddress    string
	VMListAddress string
	WorkerAddress string

	servers []*http.Server
}

// Start starts all stand-ins on free ports of 127.0.0.1.
func Start(cfg Config) (*Site, error) {
	s := &Site{
		cfg:       cfg,
		Log:       logserver.New(cfg.Log),
		VMList:    vmlist.New(time.Now, cfg.VMListLag),
		Workers:   worker.NewHost(),
		Executors: make(map[api.EndpointID]*executor.Executor),
	}
	if err := s.start(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) start() error {
	var err error
	if s.LogAddress, err = s.serve(s.Log.Handler()); err != nil {
		return err
	}
	if s.VMListAddress, err = s.serve(s.VMList); err != nil {
		return err
	}
	if s.WorkerAddress, err = s.serve(s.Workers); err != nil {
		return err
	}
	for _, dc := range s.cfg.DataCentres {
		if err := s.startDataCentre(dc); err != nil {
			return err
		}
	}
	return nil
}

// startDataCentre adds the VMs of one data centre and starts its executors,
// distributed evenly over the VMs.
func (s *Site) startDataCentre(dc api.DataCentre) error {
	vms := make([]api.VM, s.cfg.VMsPerDataCentre)
	for i := range vms {
		vms[i] = api.VM{
			ID:         api.VMID(vmName(dc, i)),
			DataCentre: dc,
			Rack:       fmt.Sprintf("%s-rack%02d", dc, i/max(1, s.cfg.VMsPerRack)),
			Address:    s.WorkerAddress + "/w/" + vmName(dc, i),
			Capacity:   s.cfg.Capacity,
			State:      api.VMLive,
		}
		s.Workers.Add(worker.New(vms[i].ID, s.cfg.Capacity, time.Now, s.cfg.UsageLag))
	}
	for _, service := range s.cfg.Services {
		for i := range service.ExecutorsPerDataCentre {
			vm := &vms[i%len(vms)]
			ep, err := s.startExecutor(service, *vm, i)
			if err != nil {
				return err
			}
			vm.Endpoints = append(vm.Endpoints, ep)
		}
	}
	for _, vm := range vms {
		s.VMList.Put(vm)
	}
	s.VMs = append(s.VMs, vms...)
	return nil
}

// startExecutor starts the i-th executor of a service in the data centre of a VM.
func (s *Site) startExecutor(service Service, vm api.VM, i int) (api.Endpoint, error) {
	ep := api.Endpoint{
		ID:          api.EndpointID(fmt.Sprintf("%s-%s-%03d", vm.DataCentre, service.Name, i)),
		Service:     service.Name,
		VM:          vm.ID,
		DataCentre:  vm.DataCentre,
		Slots:       service.Slots,
		Connections: service.Connections,
	}
	exec := executor.New(executor.Config{
		ID: ep.ID, Slots: service.Slots, Connections: service.Connections,
		ServiceTime: service.ServiceTime, Spread: service.Spread, WaitForSlot: service.WaitForSlot,
		Seed: s.cfg.Seed + uint64(len(s.Executors)),
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return ep, errors.Wrap(err, "listen for a stand-in executor")
	}
	ep.Address = l.Addr().String()
	s.servers = append(s.servers, exec.Serve(l))
	s.Executors[ep.ID] = exec
	return ep, nil
}

// serve serves h on a free port of 127.0.0.1 and returns the address.
func (s *Site) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen for a stand-in")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }() // ends with Close
	return l.Addr().String(), nil
}

// Close stops all stand-ins and closes their connections without waiting for
// requests in flight.
func (s *Site) Close() {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for _, server := range s.servers {
		_ = server.Shutdown(cancelled)
		_ = server.Close()
	}
}

func vmName(dc api.DataCentre, i int) string {
	return fmt.Sprintf("%s-vm%03d", dc, i)
}
