package work

import "strconv"

// Summary is what clients may query about a job. Machines that don't keep the
// content of records know nothing else about it.
type Summary struct {
	ID        ID
	Queue     string // name of the queue that accepted it
	Path      PathID // where it did
	Workspace WorkspaceID
	State     State
	Cancelled bool // a client has cancelled it, whatever its state
	Deleted   bool // its records were deleted
}

// Bits of packedSummary.Flags: the state and two flags.
const (
	summaryStateMask = 0x07
	summaryCancelled = 0x08
	summaryDeleted   = 0x10
)

// Summaries is the encoding of summaries between processes. Each queue is named
// once for each workspace, so a summary takes about 12 bytes; the records that it replaces take about
// 200 bytes each. The queues are followed by their paths, in the same order. Processes that know no paths
// skip these, since no job refers to them, and send none.
type Summaries struct {
	_      struct{}           `cbor:",toarray"`
	Queues []queueInWorkspace // the queues and, if any path is known, an entry for each whose name is the path's ID in decimal
	Jobs   []packedSummary
}

// queueKey is what jobs have in common that share an entry of Summaries.Queues.
type queueKey struct {
	queueInWorkspace
	path PathID
}

// queueInWorkspace names the queue and the workspace that some of the jobs have in common. It is
// encoded as the queue's name, tagged with the workspace if there is one.
type queueInWorkspace struct {
	queue     string
	workspace WorkspaceID
}

// MarshalCBOR implements cbor.Marshaler.
func (q queueInWorkspace) MarshalCBOR() ([]byte, error) {
	return marshalInWorkspace(q.workspace, q.queue)
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (q *queueInWorkspace) UnmarshalCBOR(data []byte) error {
	return unmarshalInWorkspace(data, &q.queue, &q.workspace)
}

type packedSummary struct {
	_     struct{} `cbor:",toarray"`
	ID    ID
	Queue int // index into Summaries.Queues
	Flags uint8
}

// PackSummaries encodes summaries for other processes.
func PackSummaries(summaries []Summary) Summaries {
	var out Summaries
	indexes := make(map[queueKey]int)
	var paths []queueInWorkspace
	hasPaths := false
	for _, s := range summaries {
		key := queueKey{queueInWorkspace{queue: s.Queue, workspace: s.Workspace}, s.Path}
		queue, known := indexes[key]
		if !known {
			queue = len(out.Queues)
			indexes[key] = queue
			out.Queues = append(out.Queues, key.queueInWorkspace)
			paths = append(paths, queueInWorkspace{queue: strconv.FormatUint(uint64(s.Path), 10)})
			hasPaths = hasPaths || s.Path != 0
		}
		flags := uint8(s.State) & summaryStateMask
		if s.Cancelled {
			flags |= summaryCancelled
		}
		if s.Deleted {
			flags |= summaryDeleted
		}
		out.Jobs = append(out.Jobs, packedSummary{ID: s.ID, Queue: queue, Flags: flags})
	}
	if hasPaths {
		out.Queues = append(out.Queues, paths...)
	}
	return out
}

// Unpack decodes the summaries. It returns false if any of them has an unknown
// state or queue, which means that another version has encoded them.
func (p *Summaries) Unpack() ([]Summary, bool) {
	out := make([]Summary, 0, len(p.Jobs))
	paths, known := p.paths()
	if !known {
		return nil, false
	}
	for _, j := range p.Jobs {
		state := State(j.Flags & summaryStateMask)
		if j.Queue < 0 || j.Queue >= len(p.Queues) || state > Cancelled {
			return nil, false
		}
		out = append(out, Summary{
			ID:        j.ID,
			Queue:     p.Queues[j.Queue].queue,
			Path:      paths[j.Queue],
			Workspace: p.Queues[j.Queue].workspace,
			State:     state,
			Cancelled: j.Flags&summaryCancelled != 0,
			Deleted:   j.Flags&summaryDeleted != 0,
		})
	}
	return out, true
}

// paths returns the path of each queue, or false if they can't be read. All are 0 if the sender knows none.
func (p *Summaries) paths() ([]PathID, bool) {
	paths := make([]PathID, len(p.Queues))
	queues := 0
	for _, j := range p.Jobs {
		queues = max(queues, j.Queue+1)
	}
	if len(p.Queues) < 2*queues {
		return paths, true
	}
	for i := range queues {
		id, err := strconv.ParseUint(p.Queues[queues+i].queue, 10, 64)
		if err != nil {
			return nil, false
		}
		paths[i] = PathID(id)
	}
	return paths, true
}
