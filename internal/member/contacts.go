package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// Limits of the contacts that are kept and sent.
const (
	maxContacts           = 128             // kept in total
	maxContactsPerDC      = 9               // kept for each data centre
	maxContactsPerMessage = 12              // sent in one message, in addition to the sender
	contactTTL            = 2 * time.Minute // time since a contact was last seen after which it is dropped
)

// Contact is the address of an entry VM's peer service.
type Contact struct {
	_          struct{} `cbor:",toarray"`
	DataCentre api.DataCentre
	Address    string
	Age        uint16 // seconds since the contact itself last sent a message, rounded up
}

// contacts keeps the addresses of entry VMs by data centre. It reads no clock and does no
// locking.
type contacts struct {
	self      Contact
	byAddress map[string]contactState
}

// contactState is the stored state of one contact.
type contactState struct {
	dataCentre api.DataCentre
	lastSeen   time.Time
}

func newContacts(self Contact) *contacts {
	return &contacts{self: self, byAddress: make(map[string]contactState)}
}

// merge merges contacts received from a peer and drops expired ones.
func (c *contacts) merge(received []Contact, now time.Time) {
	for _, contact := range received[:min(len(received), maxContactsPerMessage+1)] {
		c.mergeOne(contact, now)
	}
	c.expire(now)
}

// mergeOne merges one contact, unless a more recent state is known or a limit is reached.
func (c *contacts) mergeOne(contact Contact, now time.Time) {
	if contact.Address == "" || contact.Address == c.self.Address {
		return
	}
	lastSeen := now.Add(-time.Duration(contact.Age) * time.Second)
	known, ok := c.byAddress[contact.Address]
	if ok && !lastSeen.After(known.lastSeen) {
		return
	}
	if !ok && (len(c.byAddress) >= maxContacts || len(c.addressesIn(contact.DataCentre)) >= maxContactsPerDC) {
		return
	}
	c.byAddress[contact.Address] = contactState{dataCentre: contact.DataCentre, lastSeen: lastSeen}
}

// expire drops the contacts that were not seen within contactTTL.
func (c *contacts) expire(now time.Time) {
	for address, state := range c.byAddress {
		if now.Sub(state.lastSeen) > contactTTL {
			delete(c.byAddress, address)
		}
	}
}

// addressesIn returns the known addresses in dc, the most recently seen first.
func (c *contacts) addressesIn(dc api.DataCentre) []string {
	var addresses []string
	for address, state := range c.byAddress {
		if state.dataCentre == dc {
			addresses = append(addresses, address)
		}
	}
	slices.SortFunc(addresses, func(a, b string) int {
		return cmp.Or(c.byAddress[b].lastSeen.Compare(c.byAddress[a].lastSeen), cmp.Compare(a, b))
	})
	return addresses
}

// sample returns this process and up to maxContactsPerMessage random contacts.
func (c *contacts) sample(random *rand.Rand, now time.Time) []Contact {
	sampled := []Contact{c.self}
	for _, address := range c.pick(random, maxContactsPerMessage) {
		state := c.byAddress[address]
		age := now.Sub(state.lastSeen) + time.Second - 1
		sampled = append(sampled, Contact{DataCentre: state.dataCentre, Address: address, Age: uint16(age / time.Second)})
	}
	return sampled
}

// pick returns up to n random addresses.
func (c *contacts) pick(random *rand.Rand, n int) []string {
	addresses := make([]string, 0, len(c.byAddress))
	for address := range c.byAddress {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(n, len(addresses))]
}
