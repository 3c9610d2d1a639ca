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

// Config holds the settings of Merge. Zero fields take their defaults.
type Config struct {
	GracePeriod    time.Duration // a missing VM is kept that long
	MaxShrink      float64       // share of the VMs missing above which the list is doubted, 0 to 1
	MinMissing     int           // fewer missing VMs never cast doubt on the list
	MaxMissingTime time.Duration // a missing VM is dropped after it, even if it answers
}

// WithDefaults returns c with its zero fields filled in.
func (c Config) WithDefaults() Config {
	defaults.Set(&c.GracePeriod, DefaultGracePeriod)
	defaults.Set(&c.MaxShrink, DefaultMaxShrink)
	defaults.Set(&c.MinMissing, DefaultMinMissing)
	defaults.Set(&c.MaxMissingTime, DefaultMaxMissingTime)
	return c
}

// Validate adds the faults of c to findings, with paths below path.
func (c Config) Validate(path string, findings *finding.List) {
	findings.Check(c.GracePeriod >= 0, path+".grace", c.GracePeriod, "a duration that is not negative")
	findings.Check(c.MaxShrink >= 0 && c.MaxShrink <= 1, path+".max_shrink", c.MaxShrink, "a share from 0 to 1")
	findings.Check(c.MinMissing >= 0, path+".min_missing", c.MinMissing, "a count that is not negative")
	findings.Check(c.MaxMissingTime >= 0, path+".max_suspense", c.MaxMissingTime, "a duration that is not negative")
}

// Entry is what is believed of one VM.
type Entry struct {
	VM           api.VM
	MissingSince time.Time // since when it is missing from the list; zero when listed
	LastAnswer   time.Time // when the VM or one of its endpoints last answered; zero: never
	LastFailure  time.Time // when it was last tried in vain; zero: never
}

// IsMissing reports whether the VM is missing from the list.
func (e Entry) IsMissing() bool { return !e.MissingSince.IsZero() }

// IsUnresponsive reports whether the VM did not answer when it was last tried. One
// that was not tried at all is not silent: nobody may have had work for it.
func (e Entry) IsUnresponsive() bool { return e.LastFailure.After(e.LastAnswer) }

// View is what is believed of the VMs of one data centre. The zero value
// knows none. A view is never changed; Merge returns a new one.
type View struct {
	Entries   map[api.VMID]Entry
	Untrusted bool // the last list was cut so short that it is not believed
}

// EventType says what changed.
type EventType string

// Types of events.
const (
	EventAdded         EventType = "vm_added"
	EventLeaving       EventType = "vm_leaving"
	EventChanged       EventType = "vm_changed" // address, capacity or endpoints
	EventMissing       EventType = "vm_missing" // kept as a suspect
	EventReturned      EventType = "vm_returned"
	EventDropped       EventType = "vm_dropped"
	EventListUntrusted EventType = "vm_list_doubted"
	EventListTrusted   EventType = "vm_list_believed" // again, after it was doubted
)

// Event is one change between two views.
type Event struct {
	Type EventType
	VM   api.VMID // empty for events of the list
}

// Merge returns what is believed at now, given what was believed and a new
// list. Call it with a nil list and listed false while the platform can't be
// reached: everything is kept. Events are in order of VM.
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
		m.take(vm)
	}
	m.judgeList()
	for _, id := range slices.Sorted(maps.Keys(prev.Entries)) {
		if _, ok := m.next.Entries[id]; !ok {
			m.suspect(id)
		}
	}
	slices.SortStableFunc(m.events, func(a, b Event) int { return cmp.Compare(a.VM, b.VM) })
	return m.next, m.events
}

// merge is one run of Merge.
type merge struct {
	cfg    Config
	prev   View
	next   View
	now    time.Time
	events []Event
}

// note records an event.
func (m *merge) note(kind EventType, id api.VMID) {
	m.events = append(m.events, Event{Type: kind, VM: id})
}

// take believes what the list says of a VM.
func (m *merge) take(vm api.VM) {
	old, known := m.prev.Entries[vm.ID]
	m.next.Entries[vm.ID] = Entry{VM: vm, LastAnswer: old.LastAnswer, LastFailure: old.LastFailure}
	switch {
	case !known:
		m.note(EventAdded, vm.ID)
	case old.IsMissing():
		m.note(EventReturned, vm.ID)
	}
	if vm.State == api.VMLeaving && old.VM.State != api.VMLeaving {
		m.note(EventLeaving, vm.ID)
	} else if known && !sameVM(old.VM, vm) {
		m.note(EventChanged, vm.ID)
	}
}

// sameVM reports whether nothing that matters differs.
func sameVM(a, b api.VM) bool {
	sameEndpoints := slices.Equal(a.Endpoints, b.Endpoints)
	a.Endpoints, b.Endpoints = nil, nil
	return sameEndpoints && a.ID == b.ID && a.DataCentre == b.DataCentre && a.Rack == b.Rack &&
		a.Address == b.Address && a.Capacity == b.Capacity && a.State == b.State
}

// judgeList doubts a list from which too many VMs are missing at once. VMs
// that were leaving are expected to go.
func (m *merge) judgeList() {
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
		m.note(EventListUntrusted, "")
	case !m.next.Untrusted && m.prev.Untrusted:
		m.note(EventListTrusted, "")
	}
}

// suspect keeps or drops a VM that is missing from the list.
func (m *merge) suspect(id api.VMID) {
	entry := m.prev.Entries[id]
	if !entry.IsMissing() {
		entry.MissingSince = m.now
		m.note(EventMissing, id)
	}
	if m.drops(entry) {
		m.note(EventDropped, id)
		return
	}
	m.next.Entries[id] = entry
}

// drops decides whether a missing VM is given up.
func (m *merge) drops(e Entry) bool {
	missing := m.now.Sub(e.MissingSince)
	if missing < m.cfg.GracePeriod {
		return false
	}
	if e.VM.State == api.VMLeaving || missing >= m.cfg.MaxMissingTime {
		return true
	}
	return !m.next.Untrusted || e.IsUnresponsive()
}

// Contact is the result of reaching a VM or one of its endpoints. Any answer,
// a refusal too, counts.
type Contact struct {
	VM       api.VMID
	At       time.Time
	Answered bool
}

// ApplyContacts returns a view that takes contacts into account.
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

// Endpoints returns the endpoints of all VMs, in order of their ids. Those on
// a VM that leaves are marked as leaving.
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
