// Package counter counts refusals, retries and waits by reason, over expvar.
//
// Each node owns a Set, so that several nodes in one process don't mix their
// counts and nothing is registered twice.
package counter

import (
	"expvar"
	"fmt"
	"sync"

	"github.com/skylarklock/skylarklock/api"
)

// Set holds the counters of one node, grouped by the part that counts. Its
// methods may be called from any goroutine.
type Set struct {
	groups expvar.Map // of *expvar.Map
	mu     sync.Mutex // serialises the creation of groups
}

// NewSet returns an empty set that is not yet published.
func NewSet() *Set {
	s := &Set{}
	s.groups.Init()
	return s
}

// Inc adds one to the counter of reason in group.
func (s *Set) Inc(group string, reason api.Reason) {
	s.Add(group, reason, 1)
}

// Add adds n to the counter of reason in group.
func (s *Set) Add(group string, reason api.Reason, n int64) {
	s.group(group).Add(string(reason), n)
}

// Value returns the count of reason in group; zero when never counted.
func (s *Set) Value(group string, reason api.Reason) int64 {
	g, ok := s.groups.Get(group).(*expvar.Map)
	if !ok {
		return 0
	}
	n, ok := g.Get(string(reason)).(*expvar.Int)
	if !ok {
		return 0
	}
	return n.Value()
}

// String returns all counters as JSON; Set is an expvar.Var.
func (s *Set) String() string {
	return s.groups.String()
}

// Publish registers the set with expvar under name. It fails when the name
// is taken in this process.
func (s *Set) Publish(name string) error {
	publishing.Lock()
	defer publishing.Unlock()
	if expvar.Get(name) != nil {
		return fmt.Errorf("counter: expvar name %q is taken", name)
	}
	expvar.Publish(name, s)
	return nil
}

// publishing makes the check and the registration one step; expvar.Publish
// ends the process on a name that is taken.
var publishing sync.Mutex

func (s *Set) group(name string) *expvar.Map {
	if g, ok := s.groups.Get(name).(*expvar.Map); ok {
		return g
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if g, ok := s.groups.Get(name).(*expvar.Map); ok {
		return g
	}
	g := new(expvar.Map).Init()
	s.groups.Set(name, g)
	return g
}
