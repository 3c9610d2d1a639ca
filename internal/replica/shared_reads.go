package replica

import (
	"context"
	"sync"
)

// sharedReads lets concurrent calls share reads. A call may only rely on a read that
// begins after the call, so calls that arrive during a read share the next one.
type sharedReads struct {
	mu      sync.Mutex
	next    *sharedRead // not started yet; nil: no call waits for one
	running bool
}

// sharedRead is one read and its result.
type sharedRead struct {
	done chan struct{} // closed when the read has ended
	err  error
}

// join returns when a read has ended that began after the call, or when ctx ends.
func (s *sharedReads) join(ctx context.Context, read func() error) error {
	s.mu.Lock()
	if s.next == nil {
		s.next = &sharedRead{done: make(chan struct{})}
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

// run makes reads as long as a call waits for one.
func (s *sharedReads) run(read func() error) {
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
