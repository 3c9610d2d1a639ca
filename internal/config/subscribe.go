package config

import (
	"maps"
	"slices"
	"sync"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/schema"
)

// Change describes an accepted record or a restored state to a subscriber.
type Change struct {
	Revision api.Revision
	Key      Key
	Deleted  bool        // the record deletes the key
	Spec     schema.Spec // the spec in force of the key; empty if there is none
	// Decoded is false if this binary cannot decode the record. Spec is then
	// the spec that was in force before.
	Decoded bool
	// Restored is true if the whole state was replaced by a snapshot and must
	// be read again. Key is then empty.
	Restored bool
}

func changeOf(o *object) Change {
	return Change{
		Revision: o.revision(),
		Key:      o.key,
		Deleted:  o.deleted(),
		Spec:     o.spec,
		Decoded:  o.decodeErr == nil,
	}
}

// subscribers is the set of functions that are called after each change.
type subscribers struct {
	mu   sync.Mutex
	next int
	fns  map[int]func(Change)
}

// Subscribe calls fn after each accepted record, in log order, from the goroutine
// that applies the stream; fn must not block. The returned function cancels the
// subscription; a call of fn that is in progress may return after it.
func (m *StateMachine) Subscribe(fn func(Change)) (cancel func()) {
	return m.subscribers.add(fn)
}

// Notify returns a channel from which a value can be received if the state has
// changed since the last receive. The returned function cancels the
// notifications.
func (m *StateMachine) Notify() (changed <-chan struct{}, cancel func()) {
	ch := make(chan struct{}, 1)
	cancel = m.Subscribe(func(Change) {
		select {
		case ch <- struct{}{}:
		default:
		}
	})
	return ch, cancel
}

func (s *subscribers) add(fn func(Change)) (cancel func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fns == nil {
		s.fns = make(map[int]func(Change))
	}
	id := s.next
	s.next++
	s.fns[id] = fn
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.fns, id)
	}
}

func (s *subscribers) notify(c Change) {
	for _, fn := range s.current() {
		fn(c)
	}
}

// current returns the subscribed functions in order of subscription.
func (s *subscribers) current() []func(Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]func(Change), 0, len(s.fns))
	for _, id := range slices.Sorted(maps.Keys(s.fns)) {
		out = append(out, s.fns[id])
	}
	return out
}
