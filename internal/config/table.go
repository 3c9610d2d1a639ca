package config

import (
	"hash/maphash"
	"slices"
	"sync"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/schema"
)

const shardCount = 16 // shards per table

// table holds objects by key, divided into shards that each have their own lock.
type table struct {
	seed   maphash.Seed
	shards [shardCount]shard
}

type shard struct {
	mu      sync.RWMutex
	objects map[Key]*object
}

func newTable() *table {
	t := &table{seed: maphash.MakeSeed()}
	for i := range t.shards {
		t.shards[i].objects = make(map[Key]*object)
	}
	return t
}

func (t *table) shard(name string) *shard {
	return &t.shards[maphash.String(t.seed, name)%shardCount]
}

// get returns the object of key k, or nil.
func (t *table) get(k Key) *object {
	s := t.shard(k.Name)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.objects[k]
}

func (t *table) put(o *object) {
	s := t.shard(o.key.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[o.key] = o
}

func (t *table) remove(k Key) {
	s := t.shard(k.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, k)
}

// sortedObjects returns all objects, sorted by key.
func (t *table) sortedObjects() []*object {
	var out []*object
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.RLock()
		for _, o := range s.objects {
			out = append(out, o)
		}
		s.mu.RUnlock()
	}
	slices.SortFunc(out, func(a, b *object) int { return a.key.compare(b.key) })
	return out
}

// tables holds one table for each kind that this binary knows and one for all
// other kinds.
type tables struct {
	known        map[api.Kind]*table
	unknownKinds *table
}

func newTables() *tables {
	t := &tables{known: make(map[api.Kind]*table), unknownKinds: newTable()}
	for _, k := range schema.Kinds() {
		t.known[k] = newTable()
	}
	return t
}

// tableFor returns the table that holds objects of kind k.
func (t *tables) tableFor(k api.Kind) *table {
	if known := t.known[k]; known != nil {
		return known
	}
	return t.unknownKinds
}

func (t *tables) get(k Key) *object { return t.tableFor(k.Kind).get(k) }

func (t *tables) put(o *object) { t.tableFor(o.key.Kind).put(o) }

func (t *tables) remove(k Key) { t.tableFor(k.Kind).remove(k) }

// objects returns the objects of all kinds: the known kinds in order, then the
// others, each table sorted by key.
func (t *tables) objects() []*object {
	var out []*object
	for _, k := range schema.Kinds() {
		out = append(out, t.known[k].sortedObjects()...)
	}
	return append(out, t.unknownKinds.sortedObjects()...)
}
