package site

import (
	"fmt"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/settings"
)

// portsPerEntry is the number of listeners of an entry VM.
const portsPerEntry = 3

// EntrySettings returns the settings of perDC entry VMs for each data centre of
// the site, on free ports of 127.0.0.1. Every entry VM has the first entry VM of
// each data centre as a seed.
func (s *Site) EntrySettings(perDC int) ([]*settings.Settings, error) {
	counts := make([]int, len(s.cfg.DataCentres))
	for i := range counts {
		counts[i] = perDC
	}
	return s.EntrySettingsFor(counts)
}

// EntrySettingsFor is like EntrySettings; counts holds the number of entry VMs of
// each data centre, in the order of the data centres.
func (s *Site) EntrySettingsFor(counts []int) ([]*settings.Settings, error) {
	total := 0
	for _, n := range counts {
		total += n
	}
	addresses, err := ports.reserve(total * portsPerEntry)
	if err != nil {
		return nil, err
	}
	var all []*settings.Settings
	var seeds []string
	for dcIndex, dc := range s.cfg.DataCentres {
		for i := range counts[dcIndex] {
			e := s.newEntrySettings(dc, i, addresses[len(all)*portsPerEntry:])
			if i == 0 {
				seeds = append(seeds, e.Listen.Peers)
			}
			all = append(all, e)
		}
	}
	for _, e := range all {
		e.Peers = seeds
	}
	return all, nil
}

// newEntrySettings returns the settings of the i-th entry VM of a data centre,
// which listens on the first of the addresses, and adds it to the VM list.
func (s *Site) newEntrySettings(dc api.DataCentre, i int, addresses []string) *settings.Settings {
	e := settings.Default()
	e.NodeID = api.NodeID(fmt.Sprintf("%s-entry%d", dc, i))
	e.DataCentre = dc
	e.DataCentres = s.cfg.DataCentres
	e.Listen = settings.Listen{Callers: addresses[0], Operators: addresses[1], Peers: addresses[2]}
	e.AdvertisePeer = addresses[2]
	e.Log.URLs = []string{"http://" + s.LogAddress}
	s.VMList.Put(api.VM{ID: api.VMID(e.NodeID), DataCentre: dc, Address: e.Listen.Peers, State: api.VMLive})
	e.VMList.URL = "http://" + s.VMListAddress
	return e
}
