// Package counter counts refusals, retries and waits by reason, using expvar.
//
// Each node owns a Set, so that the counts of several nodes in one process are
// separate and no expvar name is registered twice.
package counter

import (
	"expvar"
	"fmt"
	"sync"

	"github.com/skylarklock/skylarklock/api"
)

// Set holds the counters of one node, grouped by component. It is safe for
// concurrent use.
type Set struct {
	groups expvar.Map // of *expvar.Map
	mu     sync.Mutex // serializes the creation of groups
}

// NewSet returns an empty set that is not published yet.
func NewSet() *Set {
	s := &Set{}
	s.groups.Init()
	return s
}

// Inc adds 1 to the counter of reason in group.
func (s *Set) Inc(group string, reason api.Reason) {
	s.Add(group, reason, 1)
}

// Add adds n to the counter of reason in group.
func (s *Set) Add(group string, reason api.Reason, n int64) {
	s.group(group).Add(string(reason), n)
}

// Value returns the count of reason in group, or 0 if it was never counted.
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

// String returns all counters as JSON. It implements expvar.Var.
func (s *Set) String() string {
	return s.groups.String()
}

// Publish registers the set with expvar under name. It fails if the name is
// already registered in this process.
func (s *Set) Publish(name string) error {
	publishMu.Lock()
	defer publishMu.Unlock()
	if expvar.Get(name) != nil {
		return fmt.Errorf("counter: expvar name %q is taken", name)
	}
	expvar.Publish(name, s)
	return nil
}

// publishMu makes the check and the registration in Publish atomic, because
// expvar.Publish ends the process if the name is already registered.
var publishMu sync.Mutex

// group returns the counters of a group and creates the group if necessary.
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
