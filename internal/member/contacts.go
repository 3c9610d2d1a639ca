package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// Bounds of what is kept and told of other data centres.
const (
	maxContacts       = 128             // kept in all
	maxContactsOfDC   = 9               // kept for each data centre
	maxContactsToTell = 12              // in one message
	contactLife       = 2 * time.Minute // a contact not heard of for so long is forgotten
)

// Contact is the address of an entry VM's peer service.
type Contact struct {
	_          struct{} `cbor:",toarray"`
	DataCentre api.DataCentre
	Address    string
	Age        uint16 // seconds since it spoke for itself, rounded up
}

// contacts keeps entry addresses by data centre. It is pure and doesn't lock.
type contacts struct {
	self Contact
	seen map[string]contactSeen // by address
}

// contactSeen is what is kept of one contact.
type contactSeen struct {
	dataCentre api.DataCentre
	spoke      time.Time
}

func newContacts(self Contact) *contacts {
	return &contacts{self: self, seen: make(map[string]contactSeen)}
}

// learn takes contacts told by a peer.
func (c *contacts) learn(told []Contact, now time.Time) {
	for _, contact := range told[:min(len(told), maxContactsToTell+1)] {
		c.learnOne(contact, now)
	}
	c.forget(now)
}

// learnOne takes one contact, unless there is fresher word or no room.
func (c *contacts) learnOne(contact Contact, now time.Time) {
	if contact.Address == "" || contact.Address == c.self.Address {
		return
	}
	spoke := now.Add(-time.Duration(contact.Age) * time.Second)
	known, ok := c.seen[contact.Address]
	if ok && !spoke.After(known.spoke) {
		return
	}
	if !ok && (len(c.seen) >= maxContacts || len(c.of(contact.DataCentre)) >= maxContactsOfDC) {
		return
	}
	c.seen[contact.Address] = contactSeen{dataCentre: contact.DataCentre, spoke: spoke}
}

// forget drops the contacts not heard of for long.
func (c *contacts) forget(now time.Time) {
	for address, seen := range c.seen {
		if now.Sub(seen.spoke) > contactLife {
			delete(c.seen, address)
		}
	}
}

// of returns the addresses known in dc, the latest heard of first.
func (c *contacts) of(dc api.DataCentre) []string {
	var addresses []string
	for address, seen := range c.seen {
		if seen.dataCentre == dc {
			addresses = append(addresses, address)
		}
	}
	slices.SortFunc(addresses, func(a, b string) int {
		return cmp.Or(c.seen[b].spoke.Compare(c.seen[a].spoke), cmp.Compare(a, b))
	})
	return addresses
}

// tell returns this process and some random contacts.
func (c *contacts) tell(random *rand.Rand, now time.Time) []Contact {
	told := []Contact{c.self}
	for _, address := range c.pick(random, maxContactsToTell) {
		seen := c.seen[address]
		age := now.Sub(seen.spoke) + time.Second - 1
		told = append(told, Contact{DataCentre: seen.dataCentre, Address: address, Age: uint16(age / time.Second)})
	}
	return told
}

// pick returns up to n random addresses.
func (c *contacts) pick(random *rand.Rand, n int) []string {
	addresses := make([]string, 0, len(c.seen))
	for address := range c.seen {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(n, len(addresses))]
}
