package work

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// WorkspaceID identifies the workspace that a job belongs to. 0 means none: the job was
// accepted without a key, or by a process that knows no workspaces.
type WorkspaceID uint64

// workspaceIDBit is set in every ID. It keeps IDs apart from 0 and, as CBOR tag numbers,
// from all registered ones.
const workspaceIDBit = 1 << 63

// NewWorkspaceID returns the ID of the workspace with a name. It is a hash of the name, so
// that all processes agree on it, and records take 9 bytes for it whatever the name.
func NewWorkspaceID(name string) WorkspaceID {
	sum := sha256.Sum256([]byte(name))
	return WorkspaceID(binary.BigEndian.Uint64(sum[:]) | workspaceIDBit)
}

// String returns the ID as hexadecimal digits.
func (w WorkspaceID) String() string { return strconv.FormatUint(uint64(w), 16) }

// marshalInWorkspace encodes a value that belongs to a workspace as a tagged item whose
// number is the workspace's ID. Processes that know no workspaces skip the tag. They would
// refuse a further field, since records are encoded by position.
func marshalInWorkspace(w WorkspaceID, value any) ([]byte, error) {
	if w == 0 {
		return cbor.Marshal(value)
	}
	return cbor.Marshal(cbor.Tag{Number: uint64(w), Content: value})
}

// cborTagMajorType is the major type of a tagged item, in the highest three bits of its
// first byte.
const cborTagMajorType = 6

// isTagged reports whether an encoded item is a tagged one.
func isTagged(data []byte) bool { return len(data) > 0 && data[0]>>5 == cborTagMajorType }

// unmarshalInWorkspace decodes an item that marshalInWorkspace has encoded into value, and its
// workspace into w.
func unmarshalInWorkspace(data []byte, value any, w *WorkspaceID) error {
	if !isTagged(data) {
		return cbor.Unmarshal(data, value)
	}
	var tag cbor.RawTag
	if err := cbor.Unmarshal(data, &tag); err != nil {
		return err
	}
	if tag.Number&workspaceIDBit == 0 {
		return errors.Newf("tag %d is no workspace", tag.Number)
	}
	if err := cbor.Unmarshal(tag.Content, value); err != nil {
		return err
	}
	*w = WorkspaceID(tag.Number)
	return nil
}
