package work

// Summary is what clients may query about a job. Machines that don't keep the
// content of records know nothing else about it.
type Summary struct {
	ID        ID
	Queue     string // name of the queue that accepted it
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
// 200 bytes each.
type Summaries struct {
	_      struct{} `cbor:",toarray"`
	Queues []queueInWorkspace
	Jobs   []packedSummary
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
	indexes := make(map[queueInWorkspace]int)
	for _, s := range summaries {
		key := queueInWorkspace{queue: s.Queue, workspace: s.Workspace}
		queue, known := indexes[key]
		if !known {
			queue = len(out.Queues)
			indexes[key] = queue
			out.Queues = append(out.Queues, key)
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
	return out
}

// Unpack decodes the summaries. It returns false if any of them has an unknown
// state or queue, which means that another version has encoded them.
func (p *Summaries) Unpack() ([]Summary, bool) {
	out := make([]Summary, 0, len(p.Jobs))
	for _, j := range p.Jobs {
		state := State(j.Flags & summaryStateMask)
		if j.Queue < 0 || j.Queue >= len(p.Queues) || state > Cancelled {
			return nil, false
		}
		out = append(out, Summary{
			ID:        j.ID,
			Queue:     p.Queues[j.Queue].queue,
			Workspace: p.Queues[j.Queue].workspace,
			State:     state,
			Cancelled: j.Flags&summaryCancelled != 0,
			Deleted:   j.Flags&summaryDeleted != 0,
		})
	}
	return out, true
}
