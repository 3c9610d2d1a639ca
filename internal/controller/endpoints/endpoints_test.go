package endpoints

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/router"
)

// fakeSite is a directory with one endpoint, whose limits the test sets.
type fakeSite struct{ limit, later int }

var endpoint = api.Endpoint{ID: "e", Service: "s", Slots: 8, Connections: 60}

func (s *fakeSite) VMs() []api.VM                { return []api.VM{{ID: "v", Endpoints: []api.Endpoint{endpoint}}} }
func (s *fakeSite) Leaving(api.VMID) bool        { return false }
func (s *fakeSite) Retain(held []api.EndpointID) {}

func (s *fakeSite) SlotLimit(_ api.Endpoint, at time.Time) (int, api.Epoch) {
	if at.After(start) {
		return s.later, 1
	}
	return s.limit, 1
}

var start = time.Now()

// After a step, the router uses no more slots than ownership allows until the
// limits of the step expire.
func TestStepUsesLowerLimit(t *testing.T) {
	s := &fakeSite{}
	now := func() time.Time { return start }
	r := router.New(router.Config{Now: now, Rand: rand.NewPCG(1, 1)})
	c := New(s, s, r, s, now)
	for _, step := range []struct{ limit, later, want int }{
		{8, 8, 8},
		{8, 3, 3}, // the hold expires before the limits
		{0, 8, 0}, // a takeover wait ends before the limits expire
		{0, 0, 0}, // the endpoint is closed for a release
	} {
		s.limit, s.later = step.limit, step.later
		c.Step()
		if free := r.Free("s"); free != step.want {
			t.Errorf("limit %d now and %d later: got %d free slots, want %d", step.limit, step.later, free, step.want)
		}
	}
}
