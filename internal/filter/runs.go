package filter

import (
	"context"
	"hash/maphash"
	"slices"
	"sync"

	"github.com/skylarklock/skylarklock/api"
)

// runShards is the number of independently locked parts of runs.
const runShards = 32

// runs remembers the requests with an id that are or were on this entry VM:
// those in flight, the finished ones, and the marks that were never used.
type runs struct {
	seed   maphash.Seed
	shards [runShards]runShard
}

type runShard struct {
	mu        sync.Mutex
	flights   map[string]*flight
	kept      map[string]*keptResult
	keptOrder []string // oldest first
	keptBytes int64
	withdrawn map[string][]uint32 // serials of this VM's marks that were never used
	drawOrder []string            // oldest first
	maxKept   int
	maxBytes  int64
}

// result is the final word on a request; one of both is set.
type result struct {
	answer  *api.Answer
	refusal *api.Refusal
}

func (r result) unpack() (*api.Answer, error) {
	if r.refusal != nil {
		return nil, r.refusal
	}
	return r.answer, nil
}

type keptResult struct {
	digest uint64
	result result
	size   int64
}

// flight is one request in flight and everyone who waits for it.
type flight struct {
	id         string
	digest     uint64
	idempotent bool
	cancel     context.CancelFunc
	waiters    int           // guarded by the shard's lock
	done       chan struct{} // closed after result is set
	result     result
}

func newRuns(maxKept int, maxBytes int64) *runs {
	r := &runs{seed: maphash.MakeSeed()}
	for i := range r.shards {
		r.shards[i] = runShard{
			flights:   make(map[string]*flight),
			kept:      make(map[string]*keptResult),
			withdrawn: make(map[string][]uint32),
			maxKept:   max(maxKept/runShards, 1),
			maxBytes:  max(maxBytes/runShards, 1),
		}
	}
	return r
}

func (r *runs) shard(id string) *runShard {
	return &r.shards[maphash.String(r.seed, id)%runShards]
}

// entryKind is what a request finds under its id.
type entryKind uint8

const (
	entryNew    entryKind = iota // the caller must run the flight and finish it
	entryJoined                  // another request of this id is in flight
	entryKept                    // it has finished
	entryReused                  // the id belongs to another request
)

// enter looks id up and joins or starts its flight. cancel stops a new one.
func (r *runs) enter(x *Exchange, cancel context.CancelFunc) (entryKind, *flight, result) {
	id := x.Request.ID
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if f, ok := s.flights[id]; ok {
		if f.digest != x.Digest {
			return entryReused, nil, result{}
		}
		f.waiters++
		return entryJoined, f, result{}
	}
	if k, ok := s.kept[id]; ok {
		if k.digest != x.Digest {
			return entryReused, nil, result{}
		}
		return entryKept, nil, k.result
	}
	f := &flight{id: id, digest: x.Digest, idempotent: x.Request.Idempotent, cancel: cancel, waiters: 1, done: make(chan struct{})}
	s.flights[id] = f
	return entryNew, f, result{}
}

// find returns the flight or the kept result of id, if there is one.
func (r *runs) find(id string) (*flight, *keptResult) {
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.flights[id], s.kept[id]
}

// leave takes one waiter off f. An idempotent flight that nobody waits for is
// cancelled and no longer joined; another one goes on.
func (r *runs) leave(f *flight) {
	s := r.shard(f.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	f.waiters--
	if f.waiters > 0 || !f.idempotent {
		return
	}
	if s.flights[f.id] == f {
		delete(s.flights, f.id)
	}
	f.cancel()
}

// finish publishes the result of f and keeps it when keep is set.
func (r *runs) finish(f *flight, res result, keep bool) {
	s := r.shard(f.id)
	s.mu.Lock()
	if s.flights[f.id] == f {
		delete(s.flights, f.id)
		if keep {
			s.keep(f, res)
		}
	}
	s.mu.Unlock()
	f.result = res
	close(f.done)
}

// keptOverhead is charged for each kept result besides its texts, bytes.
const keptOverhead = 256

func resultSize(id string, r result) int64 {
	n := keptOverhead + 2*len(id)
	if r.answer != nil {
		n += len(r.answer.Body)
		for name, value := range r.answer.Header {
			n += len(name) + len(value)
		}
	}
	return int64(n)
}

func (s *runShard) keep(f *flight, res result) {
	k := &keptResult{digest: f.digest, result: res, size: resultSize(f.id, res)}
	s.kept[f.id] = k
	s.keptOrder = append(s.keptOrder, f.id)
	s.keptBytes += k.size
	for len(s.keptOrder) > s.maxKept || s.keptBytes > s.maxBytes {
		oldest := s.keptOrder[0]
		s.keptOrder = s.keptOrder[1:]
		s.keptBytes -= s.kept[oldest].size
		delete(s.kept, oldest)
	}
}

// withdraw remembers that nothing was or will be sent under the mark serial
// of id. The oldest are forgotten; their ids are then answered unknown.
func (r *runs) withdraw(id string, serial uint32) {
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.withdrawn[id]; !ok {
		s.drawOrder = append(s.drawOrder, id)
	}
	s.withdrawn[id] = append(s.withdrawn[id], serial)
	if len(s.drawOrder) > s.maxKept {
		delete(s.withdrawn, s.drawOrder[0])
		s.drawOrder = s.drawOrder[1:]
	}
}

// isWithdrawn reports whether the mark serial of id was never used.
func (r *runs) isWithdrawn(id string, serial uint32) bool {
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.withdrawn[id], serial)
}
