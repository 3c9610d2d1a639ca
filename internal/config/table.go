package config

import (
	"hash/maphash"
	"slices"
	"sync"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/schema"
)

const shardCount = 16 // of each table

// table holds the objects of one kind, in shards each under its own lock.
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

// get returns the object of a key, or nil.
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

// all returns the objects in order of their keys.
func (t *table) all() []*object {
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

// tables holds one table for each kind that this binary knows and one for
// all others.
type tables struct {
	known map[api.Kind]*table
	other *table
}

func newTables() *tables {
	t := &tables{known: make(map[api.Kind]*table), other: newTable()}
	for _, k := range schema.Kinds() {
		t.known[k] = newTable()
	}
	return t
}

// of returns the table of a kind.
func (t *tables) of(k api.Kind) *table {
	if known := t.known[k]; known != nil {
		return known
	}
	return t.other
}

func (t *tables) get(k Key) *object { return t.of(k.Kind).get(k) }

func (t *tables) put(o *object) { t.of(o.key.Kind).put(o) }

func (t *tables) remove(k Key) { t.of(k.Kind).remove(k) }

// objects returns all objects of every kind, sorted by kind and name.
func (t *tables) objects() []*object {
	var out []*object
	for _, k := range schema.Kinds() {
		out = append(out, t.known[k].all()...)
	}
	return append(out, t.other.all()...)
}
