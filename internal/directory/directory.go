package directory

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/defaults"
	"github.com/skylarklock/skylarklock/internal/finding"
)

// Defaults of Config.
const (
	DefaultGracePeriod    = 10 * time.Second
	DefaultMaxShrink      = 0.2
	DefaultMinMissing     = 2
	DefaultMaxMissingTime = 10 * time.Minute
)

// Config configures Merge. Zero fields take their defaults.
type Config struct {
	GracePeriod    time.Duration // how long a missing VM is kept
	MaxShrink      float64       // share of missing VMs above which the list is not trusted, 0 to 1
	MinMissing     int           // with fewer missing VMs the list is always trusted
	MaxMissingTime time.Duration // how long a missing VM is kept at most, even if it answers
}

// WithDefaults returns c with its zero fields set to the defaults.
func (c Config) WithDefaults() Config {
	defaults.Set(&c.GracePeriod, DefaultGracePeriod)
	defaults.Set(&c.MaxShrink, DefaultMaxShrink)
	defaults.Set(&c.MinMissing, DefaultMinMissing)
	defaults.Set(&c.MaxMissingTime, DefaultMaxMissingTime)
	return c
}

// Validate adds the invalid fields of c to findings. The paths of the fields begin with
// path.
func (c Config) Validate(path string, findings *finding.List) {
	findings.Check(c.GracePeriod >= 0, path+".grace", c.GracePeriod, "a duration that is not negative")
	findings.Check(c.MaxShrink >= 0 && c.MaxShrink <= 1, path+".max_shrink", c.MaxShrink, "a share from 0 to 1")
	findings.Check(c.MinMissing >= 0, path+".min_missing", c.MinMissing, "a count that is not negative")
	findings.Check(c.MaxMissingTime >= 0, path+".max_suspense", c.MaxMissingTime, "a duration that is not negative")
}

// Entry is the known state of one VM.
type Entry struct {
	VM           api.VM
	MissingSince time.Time // when it was first missing from the list; zero if it is listed
	LastAnswer   time.Time // when the VM or one of its endpoints last answered; zero: never
	LastFailure  time.Time // when a contact last failed; zero: never
}

// IsMissing reports whether the VM is missing from the list.
func (e Entry) IsMissing() bool { return !e.MissingSince.IsZero() }

// IsUnresponsive reports whether the last contact with the VM failed. A VM that was never
// contacted is not unresponsive, since there may have been no work for it.
func (e Entry) IsUnresponsive() bool { return e.LastFailure.After(e.LastAnswer) }

// View is the known state of the VMs of one data centre. The zero value contains no VM.
// Merge and ApplyContacts never modify a view, but return a new one.
type View struct {
	Entries   map[api.VMID]Entry
	Untrusted bool // the last list lacked so many VMs that it is not trusted
}

// EventType is the type of a change between two views.
type EventType string

// Types of events.
const (
	EventAdded         EventType = "vm_added"
	EventLeaving       EventType = "vm_leaving"
	EventChanged       EventType = "vm_changed" // address, capacity or endpoints
	EventMissing       EventType = "vm_missing" // not listed any more, but kept for now
	EventReturned      EventType = "vm_returned"
	EventDropped       EventType = "vm_dropped"
	EventListUntrusted EventType = "vm_list_doubted"
	EventListTrusted   EventType = "vm_list_believed" // trusted again
)

// Event is one change between two views.
type Event struct {
	Type EventType
	VM   api.VMID // empty for events about the list
}

// Merge returns the view at time now, given the previous view and a new list. If the
// platform can't be reached, call it with a nil list and listed false; the previous view
// is kept then. The events are sorted by VM.
func Merge(cfg Config, prev View, list []api.VM, listed bool, now time.Time) (View, []Event) {
	if !listed {
		return prev, nil
	}
	cfg = cfg.WithDefaults()
	m := merge{
		cfg:  cfg,
		prev: prev,
		next: View{Entries: make(map[api.VMID]Entry, len(prev.Entries))},
		now:  now,
	}
	for _, vm := range list {
		m.addListed(vm)
	}
	m.checkShrinkage()
	for _, id := range slices.Sorted(maps.Keys(prev.Entries)) {
		if _, ok := m.next.Entries[id]; !ok {
			m.handleMissing(id)
		}
	}
	slices.SortStableFunc(m.events, func(a, b Event) int { return cmp.Compare(a.VM, b.VM) })
	return m.next, m.events
}

// merge is the state of one call of Merge.
type merge struct {
	cfg    Config
	prev   View
	next   View
	now    time.Time
	events []Event
}

// addEvent appends an event.
func (m *merge) addEvent(eventType EventType, id api.VMID) {
	m.events = append(m.events, Event{Type: eventType, VM: id})
}

// addListed adds a listed VM to the new view.
func (m *merge) addListed(vm api.VM) {
	old, known := m.prev.Entries[vm.ID]
	m.next.Entries[vm.ID] = Entry{VM: vm, LastAnswer: old.LastAnswer, LastFailure: old.LastFailure}
	switch {
	case !known:
		m.addEvent(EventAdded, vm.ID)
	case old.IsMissing():
		m.addEvent(EventReturned, vm.ID)
	}
	if vm.State == api.VMLeaving && old.VM.State != api.VMLeaving {
		m.addEvent(EventLeaving, vm.ID)
	} else if known && !sameVM(old.VM, vm) {
		m.addEvent(EventChanged, vm.ID)
	}
}

// sameVM reports whether two VMs are equal in all fields that matter here.
func sameVM(a, b api.VM) bool {
	sameEndpoints := slices.Equal(a.Endpoints, b.Endpoints)
	a.Endpoints, b.Endpoints = nil, nil
	return sameEndpoints && a.ID == b.ID && a.DataCentre == b.DataCentre && a.Rack == b.Rack &&
		a.Address == b.Address && a.Capacity == b.Capacity && a.State == b.State
}

// checkShrinkage marks the view as untrusted if too many VMs are missing from the list at
// once. VMs that were leaving don't count, since they are expected to disappear.
func (m *merge) checkShrinkage() {
	missing, expected := 0, 0
	for id, old := range m.prev.Entries {
		if old.VM.State == api.VMLeaving {
			continue
		}
		expected++
		if _, ok := m.next.Entries[id]; !ok {
			missing++
		}
	}
	tooMany := float64(missing) > m.cfg.MaxShrink*float64(expected)
	m.next.Untrusted = tooMany && missing >= m.cfg.MinMissing
	switch {
	case m.next.Untrusted && !m.prev.Untrusted:
		m.addEvent(EventListUntrusted, "")
	case !m.next.Untrusted && m.prev.Untrusted:
		m.addEvent(EventListTrusted, "")
	}
}

// handleMissing keeps or drops a VM that is missing from the list.
func (m *merge) handleMissing(id api.VMID) {
	entry := m.prev.Entries[id]
	if !entry.IsMissing() {
		entry.MissingSince = m.now
		m.addEvent(EventMissing, id)
	}
	if m.shouldDrop(entry) {
		m.addEvent(EventDropped, id)
		return
	}
	m.next.Entries[id] = entry
}

// shouldDrop reports whether a missing VM is dropped from the view.
func (m *merge) shouldDrop(e Entry) bool {
	missing := m.now.Sub(e.MissingSince)
	if missing < m.cfg.GracePeriod {
		return false
	}
	if e.VM.State == api.VMLeaving || missing >= m.cfg.MaxMissingTime {
		return true
	}
	return !m.next.Untrusted || e.IsUnresponsive()
}

// Contact is the result of a call to a VM or one of its endpoints. Any answer counts as
// answered, also a refusal.
type Contact struct {
	VM       api.VMID
	At       time.Time
	Answered bool
}

// ApplyContacts returns a copy of the view that is updated with contacts.
func (v View) ApplyContacts(contacts []Contact) View {
	next := View{Entries: maps.Clone(v.Entries), Untrusted: v.Untrusted}
	for _, c := range contacts {
		entry, ok := next.Entries[c.VM]
		if !ok {
			continue
		}
		if c.Answered && c.At.After(entry.LastAnswer) {
			entry.LastAnswer = c.At
		}
		if !c.Answered && c.At.After(entry.LastFailure) {
			entry.LastFailure = c.At
		}
		next.Entries[c.VM] = entry
	}
	return next
}

// Endpoints returns the endpoints of all VMs, sorted by ID. Endpoints on a leaving VM are
// marked as leaving.
func (v View) Endpoints() []api.Endpoint {
	var all []api.Endpoint
	for _, entry := range v.Entries {
		for _, ep := range entry.VM.Endpoints {
			ep.Leaving = ep.Leaving || entry.VM.State == api.VMLeaving
			all = append(all, ep)
		}
	}
	slices.SortFunc(all, func(a, b api.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
