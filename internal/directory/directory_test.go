package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

var start = time.Unix(1000, 0)

// vms returns n live VMs with one endpoint each.
func vms(n int) []api.VM {
	list := make([]api.VM, n)
	for i := range list {
		id := fmt.Sprintf("vm%02d", i)
		list[i] = api.VM{ID: api.VMID(id), State: api.VMLive, Endpoints: []api.Endpoint{{ID: api.EndpointID("e" + id), VM: api.VMID(id)}}}
	}
	return list
}

// count returns the number of events of a type.
func count(events []Event, eventType EventType) int {
	n := 0
	for _, e := range events {
		if e.Type == eventType {
			n++
		}
	}
	return n
}

// A list from which many VMs are missing is not trusted: VMs that still answer are kept
// until they have been missing for DefaultMaxMissingTime. Each case starts with a view of
// 50 VMs, changes the list, keeps it changed, and checks how many VMs are kept and whether
// the list is trusted; then the full list returns.
func TestShrinkingListIsVerified(t *testing.T) {
	full := vms(50)
	cases := []struct {
		name         string
		list         []api.VM
		listed       bool
		unresponsive int // the last VMs of the full list don't answer
		after        time.Duration
		kept         int
		untrusted    bool
	}{
		{"some missing within the grace period", full[:45], true, 0, DefaultGracePeriod / 2, 50, false},
		{"some missing after the grace period", full[:45], true, 0, DefaultGracePeriod, 45, false},
		{"many missing, all answer", full[:10], true, 0, time.Minute, 50, true},
		{"many missing, some unresponsive", full[:10], true, 15, time.Minute, 35, true},
		{"empty list", nil, true, 0, time.Minute, 50, true},
		{"empty list beyond the maximum missing time", nil, true, 0, DefaultMaxMissingTime, 0, true},
		{"platform unreachable", nil, false, 0, time.Hour, 50, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			view, events := Merge(Config{}, View{}, full, true, start)
			if count(events, EventAdded) != 50 {
				t.Fatalf("after the first list: events %v", events)
			}
			view, events = Merge(Config{}, view, tc.list, tc.listed, start)
			if tc.listed && count(events, EventMissing) != 50-len(tc.list) {
				t.Errorf("after the changed list: events %v", events)
			}
			var contacts []Contact
			for i, vm := range full {
				contacts = append(contacts, Contact{VM: vm.ID, At: start.Add(time.Second), Answered: i < 50-tc.unresponsive})
			}
			view, events = Merge(Config{}, view.ApplyContacts(contacts), tc.list, tc.listed, start.Add(tc.after))
			if len(view.Endpoints()) != tc.kept || view.Untrusted != tc.untrusted || count(events, EventDropped) != 50-tc.kept {
				t.Errorf("kept %d, untrusted %v, events %v", len(view.Endpoints()), view.Untrusted, events)
			}
			view, events = Merge(Config{}, view, full, true, start.Add(tc.after+time.Second))
			if len(view.Endpoints()) != 50 || view.Untrusted || (tc.untrusted && tc.kept > 0 && count(events, EventListTrusted) != 1) {
				t.Errorf("after the full list: kept %d, events %v", len(view.Endpoints()), events)
			}
		})
	}
}

// Leaving marks apply immediately, also in a list from which many VMs are missing. VMs
// that were leaving don't make the list untrusted when they disappear.
func TestLeavingMarksApplyImmediately(t *testing.T) {
	full := vms(10)
	view, _ := Merge(Config{}, View{}, full, true, start)
	marked := vms(10)
	for i := range 5 {
		marked[i].State = api.VMLeaving
	}
	view, events := Merge(Config{}, view, marked[:6], true, start)
	leaving := 0
	for _, ep := range view.Endpoints() {
		if ep.Leaving {
			leaving++
		}
	}
	if count(events, EventLeaving) != 5 || leaving != 5 || !view.Untrusted {
		t.Errorf("%d endpoints leaving, events %v", leaving, events)
	}
	view, _ = Merge(Config{}, view, marked[5:], true, start)
	view, events = Merge(Config{}, view, marked[5:], true, start.Add(DefaultGracePeriod))
	if len(view.Entries) != 5 || view.Untrusted || count(events, EventDropped) != 5 {
		t.Errorf("%d entries, events %v", len(view.Entries), events)
	}
}
