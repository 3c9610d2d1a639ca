package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

var start = time.Unix(1000, 0)

func vms(n int) []api.VM {
	list := make([]api.VM, n)
	for i := range list {
		id := fmt.Sprintf("vm%02d", i)
		list[i] = api.VM{ID: api.VMID(id), State: api.VMLive, Endpoints: []api.Endpoint{{ID: api.EndpointID("e" + id), VM: api.VMID(id)}}}
	}
	return list
}

func count(events []Event, kind EventType) int {
	n := 0
	for _, e := range events {
		if e.Type == kind {
			n++
		}
	}
	return n
}

// Fifty VMs are believed; each case shows what becomes of them when the list
// changes and stays so.
func TestShrinkingListIsVerified(t *testing.T) {
	full := vms(50)
	cases := []struct {
		name    string
		list    []api.VM
		listed  bool
		silent  int // VMs from the last on that are tried in vain
		after   time.Duration
		kept    int
		doubted bool
	}{
		{"within the grace time", full[:45], true, 0, DefaultGracePeriod / 2, 50, false},
		{"a few go", full[:45], true, 0, DefaultGracePeriod, 45, false},
		{"many go missing, all answer", full[:10], true, 0, time.Minute, 50, true},
		{"many go missing, some are silent", full[:10], true, 15, time.Minute, 35, true},
		{"an empty list", nil, true, 0, time.Minute, 50, true},
		{"an empty list for very long", nil, true, 0, DefaultMaxMissingTime, 0, true},
		{"the platform is down", nil, false, 0, time.Hour, 50, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			view, events := Merge(Config{}, View{}, full, true, start)
			if count(events, EventAdded) != 50 {
				t.Fatalf("events %v", events)
			}
			view, events = Merge(Config{}, view, tc.list, tc.listed, start)
			if tc.listed && count(events, EventMissing) != 50-len(tc.list) {
				t.Errorf("events %v", events)
			}
			var contacts []Contact
			for i, vm := range full {
				contacts = append(contacts, Contact{VM: vm.ID, At: start.Add(time.Second), Answered: i < 50-tc.silent})
			}
			view, events = Merge(Config{}, view.ApplyContacts(contacts), tc.list, tc.listed, start.Add(tc.after))
			if len(view.Endpoints()) != tc.kept || view.Untrusted != tc.doubted || count(events, EventDropped) != 50-tc.kept {
				t.Errorf("kept %d, doubted %v, events %v", len(view.Endpoints()), view.Untrusted, events)
			}
			view, events = Merge(Config{}, view, full, true, start.Add(tc.after+time.Second))
			if len(view.Endpoints()) != 50 || view.Untrusted || (tc.doubted && tc.kept > 0 && count(events, EventListTrusted) != 1) {
				t.Errorf("after the full list: kept %d, events %v", len(view.Endpoints()), events)
			}
		})
	}
}

// Marks are believed at once, also together with a short list, and VMs that
// were leaving cast no doubt on the list when they go.
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
		t.Errorf("leaving %d, events %v", leaving, events)
	}
	view, _ = Merge(Config{}, view, marked[5:], true, start)
	view, events = Merge(Config{}, view, marked[5:], true, start.Add(DefaultGracePeriod))
	if len(view.Entries) != 5 || view.Untrusted || count(events, EventDropped) != 5 {
		t.Errorf("entries %d, events %v", len(view.Entries), events)
	}
}
