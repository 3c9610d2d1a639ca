package site

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/settings"
)

// portsOfEntry is the number of listeners of an entry VM.
const portsOfEntry = 3

// EntrySettings returns settings of perDC entry VMs for each data centre of the
// site, on free ports of 127.0.0.1. Every entry VM has the first of each data
// centre as a seed.
func (s *Site) EntrySettings(perDC int) ([]*settings.Settings, error) {
	counts := make([]int, len(s.cfg.DataCentres))
	for i := range counts {
		counts[i] = perDC
	}
	return s.EntrySettingsFor(counts)
}

// EntrySettingsFor is Entries with the number of entry VMs of each data centre.
func (s *Site) EntrySettingsFor(counts []int) ([]*settings.Settings, error) {
	total := 0
	for _, n := range counts {
		total += n
	}
	addresses, err := freePorts(total * portsOfEntry)
	if err != nil {
		return nil, err
	}
	var all []*settings.Settings
	var seeds []string
	for at, dc := range s.cfg.DataCentres {
		for i := range counts[at] {
			entry := s.entry(dc, i, addresses[len(all)*portsOfEntry:])
			if i == 0 {
				seeds = append(seeds, entry.Listen.Peers)
			}
			all = append(all, entry)
		}
	}
	for _, entry := range all {
		entry.Peers = seeds
	}
	return all, nil
}

// entry returns the settings of one entry VM, on the first of ports.
func (s *Site) entry(dc api.DataCentre, i int, ports []string) *settings.Settings {
	e := settings.Default()
	e.NodeID = api.NodeID(fmt.Sprintf("%s-entry%d", dc, i))
	e.DataCentre = dc
	e.DataCentres = s.cfg.DataCentres
	e.Listen = settings.Listen{Callers: ports[0], Operators: ports[1], Peers: ports[2]}
	e.AdvertisePeer = ports[2]
	e.Log.URLs = []string{"http://" + s.LogAddress}
	s.VMList.Put(api.VM{ID: api.VMID(e.NodeID), DataCentre: dc, Address: e.Listen.Peers, State: api.VMLive})
	e.VMList.URL = "http://" + s.VMListAddress
	return e
}

// Ports for entry VMs lie below those that the kernel gives to outgoing
// connections (from 32768 on), so that none is taken between the choice and
// the listening, and after a node has stopped until it listens again.
const (
	firstPort = 10_000
	ports     = 20_000
	// processStride keeps processes that run side by side apart.
	processStride = 97
)

// lastPort counts the ports chosen by this process.
var lastPort atomic.Int64

// freePorts returns n addresses that this process has not given out before and
// on which nothing listens now.
func freePorts(n int) ([]string, error) {
	var addresses []string
	for range ports {
		if len(addresses) == n {
			return addresses, nil
		}
		port := firstPort + (os.Getpid()*processStride+int(lastPort.Add(1)))%ports
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			return nil, errors.Wrap(err, "free port")
		}
		addresses = append(addresses, address)
	}
	return nil, errors.Newf("no %d free ports from %d on", n, firstPort)
}
