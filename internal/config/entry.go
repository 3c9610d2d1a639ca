// Package config holds the configuration records that operators publish.
//
// StateMachine applies published records in log order by compare-and-set: a record
// is accepted if its BasedOn equals the revision in force of its key. Acceptance
// never depends on which schemas this binary can decode, so binaries of different
// versions accept the same records. Publisher proposes records and determines
// their outcome when an answer of the log is lost.
package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/json"
	"fmt"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
)

// TypePublish is the entry type of a published record.
const TypePublish = journal.TypeConfigFirst

// Bounds that every reader of the log applies. They are part of the stored
// format.
const (
	maxEntryBytes = 96 << 10
	maxKindBytes  = 32
	maxNameBytes  = 128
	// maxRecentPublications is the number of latest accepted publications that
	// are remembered to recognise repeats.
	maxRecentPublications = 4096
	// maxTombstones is the number of latest deletions that are remembered. A
	// key whose deletion is older is treated as if it had never existed.
	maxTombstones = 16384
)

// Key identifies a configuration record by kind and name.
type Key struct {
	_    struct{} `cbor:",toarray"`
	Kind api.Kind `json:"kind"`
	Name string   `json:"name"`
}

// String formats the key as kind/name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

func (k Key) compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Kind, o.Kind), cmp.Compare(k.Name, o.Name))
}

// PublicationID identifies a publication, so that repeats are recognised. It is
// a hash of the publisher's ID and the whole record.
type PublicationID [16]byte

// publication is the body of a journal entry of TypePublish.
type publication struct {
	_             struct{} `cbor:",toarray"`
	ID            PublicationID
	Kind          api.Kind
	Name          string
	SchemaVersion int
	BasedOn       api.Revision
	Deleted       bool
	Spec          []byte // compact JSON
}

func newPublication(publisherID string, rec api.Record) publication {
	p := publication{
		Kind:          rec.Kind,
		Name:          rec.Name,
		SchemaVersion: rec.SchemaVersion,
		BasedOn:       rec.BasedOn,
		Deleted:       rec.Deleted,
		Spec:          rec.Spec,
	}
	sum := sha256.Sum256(journal.Encode([]any{publisherID, p}))
	copy(p.ID[:], sum[:])
	return p
}

func (p publication) key() Key { return Key{Kind: p.Kind, Name: p.Name} }

// decodePublication decodes a journal entry. It checks only the form, by rules
// that must not change in later versions, since all binaries must accept the
// same entries.
func decodePublication(e journal.Entry) (publication, error) {
	var p publication
	if e.Type != TypePublish {
		return p, &MalformedError{Detail: fmt.Sprintf("entry type %d", e.Type)}
	}
	if len(e.Body) > maxEntryBytes {
		return p, &MalformedError{Detail: fmt.Sprintf("%d bytes", len(e.Body))}
	}
	if err := journal.Decode(e.Body, &p); err != nil {
		return p, &MalformedError{Detail: err.Error()}
	}
	if p.Kind == "" || len(p.Kind) > maxKindBytes || p.Name == "" || len(p.Name) > maxNameBytes {
		return p, &MalformedError{Detail: fmt.Sprintf("key %q", p.key())}
	}
	if p.SchemaVersion < 1 {
		return p, &MalformedError{Detail: fmt.Sprintf("schema version %d", p.SchemaVersion)}
	}
	return p, p.checkSpec()
}

// checkSpec checks that a deletion names a revision and has no spec, and that
// any other record has a spec of valid JSON, so that the record can be shown
// and relayed.
func (p publication) checkSpec() error {
	switch {
	case p.Deleted && p.BasedOn == 0:
		return &MalformedError{Detail: "deletion of a key that doesn't exist"}
	case p.Deleted && len(p.Spec) > 0:
		return &MalformedError{Detail: "deletion with a spec"}
	case !p.Deleted && !json.Valid(p.Spec):
		return &MalformedError{Detail: "spec is not JSON"}
	}
	return nil
}
