package filter

import (
	"context"
	"hash/maphash"
	"slices"
	"sync"

	"github.com/skylarklock/skylarklock/api"
)

// requestShards is the number of independently locked parts of a requestTable.
const requestShards = 32

// requestTable holds the requests with an ID that this entry VM handles or has
// handled: those in flight, the finished ones, and the marks that were never
// used.
type requestTable struct {
	seed   maphash.Seed
	shards [requestShards]requestShard
}

type requestShard struct {
	mu             sync.Mutex
	flights        map[string]*flight
	kept           map[string]*keptResult
	keptOrder      []string // oldest first
	keptBytes      int64
	withdrawn      map[string][]uint32 // serials of this VM's marks that were never used
	withdrawnOrder []string            // oldest first
	maxKept        int
	maxBytes       int64
}

// result is the final result of a request; exactly one field is set.
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

// flight is one request in flight, with all callers that wait for it.
type flight struct {
	id         string
	digest     uint64
	idempotent bool
	cancel     context.CancelFunc
	waiters    int           // guarded by the shard's lock
	done       chan struct{} // closed after result is set
	result     result
}

func newRequestTable(maxKept int, maxBytes int64) *requestTable {
	r := &requestTable{seed: maphash.MakeSeed()}
	for i := range r.shards {
		r.shards[i] = requestShard{
			flights:   make(map[string]*flight),
			kept:      make(map[string]*keptResult),
			withdrawn: make(map[string][]uint32),
			maxKept:   max(maxKept/requestShards, 1),
			maxBytes:  max(maxBytes/requestShards, 1),
		}
	}
	return r
}

func (r *requestTable) shard(id string) *requestShard {
	return &r.shards[maphash.String(r.seed, id)%requestShards]
}

// lookupOutcome is the result of looking up a request's ID.
type lookupOutcome uint8

const (
	lookupNew    lookupOutcome = iota // the caller must run the flight and finish it
	lookupJoined                      // another request with this ID is in flight
	lookupKept                        // the request has finished
	lookupReused                      // the ID belongs to another request
)

// enter looks up the ID of x and joins its flight or starts one. cancel stops
// a new flight.
func (r *requestTable) enter(x *Exchange, cancel context.CancelFunc) (lookupOutcome, *flight, result) {
	id := x.Request.ID
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if f, ok := s.flights[id]; ok {
		if f.digest != x.Digest {
			return lookupReused, nil, result{}
		}
		f.waiters++
		return lookupJoined, f, result{}
	}
	if k, ok := s.kept[id]; ok {
		if k.digest != x.Digest {
			return lookupReused, nil, result{}
		}
		return lookupKept, nil, k.result
	}
	f := &flight{id: id, digest: x.Digest, idempotent: x.Request.Idempotent, cancel: cancel, waiters: 1, done: make(chan struct{})}
	s.flights[id] = f
	return lookupNew, f, result{}
}

// find returns the flight or the kept result of id, if there is one.
func (r *requestTable) find(id string) (*flight, *keptResult) {
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.flights[id], s.kept[id]
}

// leave removes one waiter from f. An idempotent flight without waiters is
// cancelled and can no longer be joined; a non-idempotent one continues.
func (r *requestTable) leave(f *flight) {
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
func (r *requestTable) finish(f *flight, res result, keep bool) {
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

// keptOverhead is added to the size of each kept result for its other memory,
// in bytes.
const keptOverhead = 256

func resultSize(id string, r result) int64 {
	n := keptOverhead + 2*len(id)
	if r.answer != nil {
		n += len(r.answer.Body)
		for name, value := range r.answer.Header {
			n += len(name) + len(value)
		}
		for name, value := range r.answer.Trailer {
			n += len(name) + len(value)
		}
	}
	return int64(n)
}

func (s *requestShard) keep(f *flight, res result) {
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

// withdraw records that nothing was or will be sent under the mark with the
// given serial of id. The oldest records are dropped; their IDs are then
// answered unknown.
func (r *requestTable) withdraw(id string, serial uint32) {
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.withdrawn[id]; !ok {
		s.withdrawnOrder = append(s.withdrawnOrder, id)
	}
	s.withdrawn[id] = append(s.withdrawn[id], serial)
	if len(s.withdrawnOrder) > s.maxKept {
		delete(s.withdrawn, s.withdrawnOrder[0])
		s.withdrawnOrder = s.withdrawnOrder[1:]
	}
}

// isWithdrawn reports whether the mark with the given serial of id was
// withdrawn.
func (r *requestTable) isWithdrawn(id string, serial uint32) bool {
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.withdrawn[id], serial)
}
