package config

import (
	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/schema"
)

// stored is one accepted record of a key.
type stored struct {
	_             struct{} `cbor:",toarray"`
	Revision      api.Revision
	BasedOn       api.Revision
	SchemaVersion int
	Deleted       bool
	Spec          []byte
}

// object is all that is kept of one key. It is immutable once it is in a
// table.
type object struct {
	key Key
	// records holds, in order of revision: the newest record, the newest of
	// each schema version (for binaries that know no newer one), and the
	// newest that this binary understands.
	records    []stored
	understood int // index in records, or -1
	spec       schema.Spec
	fault      error // why the newest record isn't understood; nil when it is
}

func (o *object) newest() stored { return o.records[len(o.records)-1] }

// revision returns the revision in force of the key.
func (o *object) revision() api.Revision {
	if o == nil {
		return 0
	}
	return o.newest().Revision
}

func (o *object) deleted() bool { return o != nil && o.newest().Deleted }

// inForce reports whether the key has a record that decisions may use.
func (o *object) inForce() bool { return o != nil && o.understood >= 0 }

// unreadable returns 1 for a key whose newest record isn't understood, else 0.
func (o *object) unreadable() int {
	if o == nil || o.fault == nil {
		return 0
	}
	return 1
}

func (s stored) record(k Key) api.Record {
	return api.Record{
		Kind:          k.Kind,
		Name:          k.Name,
		SchemaVersion: s.SchemaVersion,
		BasedOn:       s.BasedOn,
		Deleted:       s.Deleted,
		Spec:          s.Spec,
	}
}

// with returns the object that follows o (nil for a new key) once s is
// accepted. A deletion forgets all earlier records.
func (o *object) with(k Key, s stored) *object {
	next := &object{key: k, understood: -1}
	if s.Deleted {
		next.records = []stored{s}
		return next
	}
	if o != nil && !o.deleted() {
		next.records = append(next.records, o.records...)
		next.understood = o.understood
		next.spec = o.spec
	}
	next.records = append(next.records, s)
	spec, err := schema.Decode(s.record(k))
	next.fault = err
	if err == nil {
		next.spec = spec
		next.understood = len(next.records) - 1
	}
	next.prune()
	return next
}

// prune drops the records that nobody needs any more.
func (o *object) prune() {
	kept := o.records[:0:0]
	understood := -1
	for i, s := range o.records {
		if i != o.understood && !o.newestOfVersion(i) {
			continue
		}
		if i == o.understood {
			understood = len(kept)
		}
		kept = append(kept, s)
	}
	o.records, o.understood = kept, understood
}

func (o *object) newestOfVersion(i int) bool {
	for _, later := range o.records[i+1:] {
		if later.SchemaVersion == o.records[i].SchemaVersion {
			return false
		}
	}
	return true
}

// rebuild makes an object from the records of a snapshot, which a binary of
// another version may have written.
func rebuild(k Key, records []stored) *object {
	var o *object
	for _, s := range records {
		o = o.with(k, s)
	}
	return o
}
