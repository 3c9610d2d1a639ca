package vmlist_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform/httpvmlist"
	"github.com/skylarklock/skylarklock/internal/standin/vmlist"
)

func TestListLagAndOutage(t *testing.T) {
	now := time.Unix(0, 0)
	l := vmlist.New(func() time.Time { return now }, 10*time.Second)
	server := httptest.NewServer(l)
	defer server.Close()
	client := httpvmlist.New(server.URL)
	read := func() []api.VM {
		vms, err := client.List(t.Context(), "cas1")
		if err != nil {
			t.Fatal(err)
		}
		return vms
	}
	l.Put(api.VM{ID: "a", DataCentre: "cas1", State: api.VMLive})
	l.Put(api.VM{ID: "b", DataCentre: "cas2", State: api.VMLive})
	if got := read(); len(got) != 0 {
		t.Error("VM is visible before the lag: ", got)
	}
	now = now.Add(10 * time.Second)
	l.MarkLeaving("a")
	if got := read(); len(got) != 1 || got[0].State != api.VMLive {
		t.Error("want the VM live until the lag has passed: ", got)
	}
	now = now.Add(10 * time.Second)
	l.Remove("a")
	if got := read(); len(got) != 1 || got[0].State != api.VMLeaving {
		t.Error("want the VM leaving until the lag has passed: ", got)
	}
	l.SetDown(true)
	if _, err := client.List(t.Context(), "cas1"); err == nil {
		t.Error("list answers while it is down")
	}
}
