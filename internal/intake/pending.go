package intake

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// enqueue adds a request to the pending ones, or fails with ErrNotStored.
func (in *Intake) enqueue(r *request) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.stopped {
		return errStopping
	}
	if len(in.pending) >= in.cfg.MaxPending {
		return errors.Wrap(ErrNotStored, "too many requests are pending")
	}
	if r.withdrawn {
		return nil // its client no longer waits
	}
	in.pending = append(in.pending, r)
	select {
	case in.wake <- struct{}{}:
	default:
	}
	return nil
}

// errStopping is the answer to requests that are pending when Run returns or arrive later. They would
// otherwise wait for the deadlines of their clients.
var errStopping = errors.Wrap(ErrNotStored, "the process is stopping")

// withdraw removes a pending request. It returns false if the request is already in progress.
func (in *Intake) withdraw(r *request) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if r.inProgress {
		return false
	}
	r.withdrawn = true
	in.pending = slices.DeleteFunc(in.pending, func(other *request) bool { return other == r })
	return true
}

// hasPending reports whether a request is pending.
func (in *Intake) hasPending() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return len(in.pending) > 0
}

// takeBatch returns the next requests, which share an append, and marks them as in progress.
func (in *Intake) takeBatch() []*request {
	in.mu.Lock()
	defer in.mu.Unlock()
	size, n := 0, 0
	for n < len(in.pending) && (n == 0 || size+len(in.pending[n].record.Value) <= in.cfg.MaxBatchBytes) {
		size += len(in.pending[n].record.Value)
		n++
	}
	batch := in.pending[:n:n]
	in.pending = in.pending[n:]
	for _, r := range batch {
		r.inProgress = true
	}
	return batch
}

// shutDown refuses the pending requests and all later ones.
func (in *Intake) shutDown() {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, r := range in.pending {
		r.fail(errStopping)
	}
	in.pending = nil
	in.stopped = true
}
