package replica

import (
	"context"
	"sync"
)

// syncs has calls share readings. A call may only rely on a reading that
// begins after it, so those that come while one is under way share the next.
type syncs struct {
	mu      sync.Mutex
	next    *reading // that has not begun; nil: nobody waits for one
	running bool
}

// reading is one reading and how it ended.
type reading struct {
	done chan struct{} // closed when it has ended
	err  error
}

// join returns when a reading has ended that began after the call, or when ctx
// ends.
func (s *syncs) join(ctx context.Context, read func() error) error {
	s.mu.Lock()
	if s.next == nil {
		s.next = &reading{done: make(chan struct{})}
	}
	mine := s.next
	if !s.running {
		s.running = true
		go s.run(read)
	}
	s.mu.Unlock()
	select {
	case <-mine.done:
		return mine.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run makes readings while somebody waits for one.
func (s *syncs) run(read func() error) {
	for {
		s.mu.Lock()
		r := s.next
		s.next = nil
		s.running = r != nil
		s.mu.Unlock()
		if r == nil {
			return
		}
		r.err = read()
		close(r.done)
	}
}
