package config

import (
	"maps"
	"slices"
	"sync"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/schema"
)

// Change tells a subscriber of one accepted record or of a restored state.
type Change struct {
	Revision api.Revision
	Key      Key
	Deleted  bool        // the key has no record in force any more
	Spec     schema.Spec // what is in force of the key; empty when nothing is
	// Decoded is false when this binary can't decode the record, so that
	// Spec is what was in force before.
	Decoded bool
	// Restored: the whole state was replaced, read it anew. Key is empty.
	Restored bool
}

func changeOf(o *object) Change {
	return Change{
		Revision: o.revision(),
		Key:      o.key,
		Deleted:  o.deleted(),
		Spec:     o.spec,
		Decoded:  o.fault == nil,
	}
}

// subscribers holds the functions to call after each change.
type subscribers struct {
	mu   sync.Mutex
	next int
	fns  map[int]func(Change)
}

// Subscribe calls fn after each accepted record, in order, from the goroutine
// that applies the stream; fn must not block. The returned function ends the
// subscription; a call in progress may still end after it.
func (m *StateMachine) Subscribe(fn func(Change)) (cancel func()) {
	return m.subscribers.add(fn)
}

// Notify returns a channel that holds a value whenever the state changed
// since the last receive. The returned function ends it.
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

// current returns the functions in order of subscription.
func (s *subscribers) current() []func(Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]func(Change), 0, len(s.fns))
	for _, id := range slices.Sorted(maps.Keys(s.fns)) {
		out = append(out, s.fns[id])
	}
	return out
}
