package config

import (
	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/schema"
)

// storedRecord is one accepted record of a key, without the key.
type storedRecord struct {
	_             struct{} `cbor:",toarray"`
	Revision      api.Revision
	BasedOn       api.Revision
	SchemaVersion int
	Deleted       bool
	Spec          []byte
}

// object holds the retained records of one key. It is immutable once it is in a
// table.
type object struct {
	key Key
	// records holds, in order of revision, the newest record, the newest
	// record of each schema version (for binaries that know no newer version)
	// and the newest record that this binary can decode.
	records      []storedRecord
	decodedIndex int         // index in records of the newest decodable record, or -1
	spec         schema.Spec // of the record at decodedIndex
	decodeErr    error       // why the newest record cannot be decoded, or nil
}

func (o *object) newest() storedRecord { return o.records[len(o.records)-1] }

// revision returns the revision of the newest record, or 0 if o is nil.
func (o *object) revision() api.Revision {
	if o == nil {
		return 0
	}
	return o.newest().Revision
}

func (o *object) deleted() bool { return o != nil && o.newest().Deleted }

// inForce reports whether the key has a decoded record in force.
func (o *object) inForce() bool { return o != nil && o.decodedIndex >= 0 }

// unreadableCount returns 1 if the newest record cannot be decoded, else 0.
func (o *object) unreadableCount() int {
	if o == nil || o.decodeErr == nil {
		return 0
	}
	return 1
}

func (s storedRecord) record(k Key) api.Record {
	return api.Record{
		Kind:          k.Kind,
		Name:          k.Name,
		SchemaVersion: s.SchemaVersion,
		BasedOn:       s.BasedOn,
		Deleted:       s.Deleted,
		Spec:          s.Spec,
	}
}

// withRecord returns the object that replaces o (nil for a new key) when s is
// accepted. A deletion drops all earlier records.
func (o *object) withRecord(k Key, s storedRecord) *object {
	next := &object{key: k, decodedIndex: -1}
	if s.Deleted {
		next.records = []storedRecord{s}
		return next
	}
	if o != nil && !o.deleted() {
		next.records = append(next.records, o.records...)
		next.decodedIndex = o.decodedIndex
		next.spec = o.spec
	}
	next.records = append(next.records, s)
	spec, err := schema.Decode(s.record(k))
	next.decodeErr = err
	if err == nil {
		next.spec = spec
		next.decodedIndex = len(next.records) - 1
	}
	next.prune()
	return next
}

// prune drops records that are neither the newest of their schema version nor
// the newest decodable one.
func (o *object) prune() {
	kept := o.records[:0:0]
	decodedIndex := -1
	for i, s := range o.records {
		if i != o.decodedIndex && !o.isNewestOfVersion(i) {
			continue
		}
		if i == o.decodedIndex {
			decodedIndex = len(kept)
		}
		kept = append(kept, s)
	}
	o.records, o.decodedIndex = kept, decodedIndex
}

func (o *object) isNewestOfVersion(i int) bool {
	for _, later := range o.records[i+1:] {
		if later.SchemaVersion == o.records[i].SchemaVersion {
			return false
		}
	}
	return true
}

// objectFromRecords builds an object from the records of a snapshot, which may
// have been written by a binary of another version.
func objectFromRecords(k Key, records []storedRecord) *object {
	var o *object
	for _, s := range records {
		o = o.withRecord(k, s)
	}
	return o
}
