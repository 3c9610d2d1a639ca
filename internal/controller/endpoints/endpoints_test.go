package endpoints

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/router"
)

// site is a directory of one endpoint whose limit the test sets.
type site struct{ limit, later int }

var endpoint = api.Endpoint{ID: "e", Service: "s", Slots: 8, Connections: 60}

func (s *site) VMs() []api.VM                { return []api.VM{{ID: "v", Endpoints: []api.Endpoint{endpoint}}} }
func (s *site) Leaving(api.VMID) bool        { return false }
func (s *site) Retain(held []api.EndpointID) {}

func (s *site) SlotLimit(_ api.Endpoint, at time.Time) (int, api.Epoch) {
	if at.After(start) {
		return s.later, 1
	}
	return s.limit, 1
}

var start = time.Now()

// After a round nothing starts beyond what ownership allows, now and until the
// round's limits run out.
func TestStepUsesLowerLimit(t *testing.T) {
	s := &site{}
	now := func() time.Time { return start }
	r := router.New(router.Config{Now: now, Rand: rand.NewPCG(1, 1)})
	c := New(s, s, r, s, now)
	for _, step := range []struct{ limit, later, want int }{
		{8, 8, 8},
		{8, 3, 3}, // the hold runs out meanwhile
		{0, 8, 0}, // a takeover wait ends meanwhile
		{0, 0, 0}, // closed for a release
	} {
		s.limit, s.later = step.limit, step.later
		c.Step()
		if free := r.Free("s"); free != step.want {
			t.Errorf("limit %d, then %d: %d slots free, want %d", step.limit, step.later, free, step.want)
		}
	}
}
