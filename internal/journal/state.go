package journal

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// State is the whole state of a replica after all records before Position.
// Peers exchange it, and snapshots contain its Data.
type State struct {
	Stream   string
	Position platform.Offset
	Checksum uint64 // xxhash of Data
	Data     []byte // CBOR
}

// stateBody is the content of State.Data.
type stateBody struct {
	_        struct{} `cbor:",toarray"`
	Stream   string
	Position platform.Offset
	Origins  []originEntry
	Sections []section
}

// section is the state of one state machine, identified by its lowest entry
// type.
type section struct {
	_    struct{} `cbor:",toarray"`
	Type EntryType
	Data []byte
}

func sectionType(m StateMachine) EntryType {
	return slices.Min(m.Types())
}

// snapshot returns the state at c.next.
func (c *core) snapshot() (State, error) {
	if c.damaged || c.skippedUnknown {
		return State{}, ErrIncompleteState
	}
	body := stateBody{Stream: c.stream, Position: c.next, Origins: c.dedup.export()}
	for _, m := range c.machines {
		data, err := m.Snapshot()
		if err != nil {
			return State{}, fmt.Errorf("journal: snapshot of state machine %d: %w", sectionType(m), err)
		}
		body.Sections = append(body.Sections, section{Type: sectionType(m), Data: data})
	}
	data := Encode(body)
	return State{Stream: c.stream, Position: c.next, Checksum: xxhash.Sum64(data), Data: data}, nil
}

// restore replaces the state with st, which must not be older. After an error
// other than ErrInvalidState and ErrStaleState the core is damaged until a
// later restore succeeds.
func (c *core) restore(st State) error {
	body, err := c.validateState(st)
	if err != nil {
		return err
	}
	c.damaged = true
	sections := make(map[EntryType][]byte, len(body.Sections))
	for _, s := range body.Sections {
		sections[s.Type] = s.Data
	}
	for _, m := range c.machines {
		data, ok := sections[sectionType(m)]
		if !ok {
			continue // the snapshot is older than this state machine and thus than its first entry
		}
		if err := m.Restore(data); err != nil {
			return fmt.Errorf("journal: restore of state machine %d: %w", sectionType(m), err)
		}
		delete(sections, sectionType(m))
	}
	c.skippedUnknown = len(sections) > 0
	c.dedup.restore(body.Origins)
	c.next = body.Position
	c.damaged = false
	return nil
}

// validateState decodes and validates st without changing c.
func (c *core) validateState(st State) (stateBody, error) {
	var body stateBody
	if xxhash.Sum64(st.Data) != st.Checksum {
		return body, fmt.Errorf("%w: checksum mismatch", ErrInvalidState)
	}
	if err := Decode(st.Data, &body); err != nil {
		return body, fmt.Errorf("%w: %v", ErrInvalidState, err)
	}
	if body.Stream != c.stream || body.Position != st.Position {
		return body, fmt.Errorf("%w: stream %q position %d", ErrInvalidState, body.Stream, body.Position)
	}
	if body.Position < c.next {
		return body, fmt.Errorf("%w: position %d, local position %d", ErrStaleState, body.Position, c.next)
	}
	return body, nil
}
