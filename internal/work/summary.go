package work

// Summary is what clients may ask of a job: machines that don't plan know no more.
type Summary struct {
	ID        ID
	Queue     string // name of the queue that took it
	State     State
	Cancelled bool // a client has cancelled it, whatever its state
	Deleted   bool // its records were deleted
}

// Bits of a summary's flags beside its state.
const (
	summaryState     = 0x07
	summaryCancelled = 0x08
	summaryGone      = 0x10
)

// Summaries is the form of summaries between processes. Queues are named once: a
// summary then takes about 12 bytes, where the records that it stands for take
// some 200 each.
type Summaries struct {
	_      struct{} `cbor:",toarray"`
	Queues []string
	Jobs   []packedSummary
}

type packedSummary struct {
	_     struct{} `cbor:",toarray"`
	ID    ID
	Queue int // index into Summaries.Queues
	Flags uint8
}

// PackSummaries returns summaries in the form between processes.
func PackSummaries(summaries []Summary) Summaries {
	var out Summaries
	places := make(map[string]int)
	for _, s := range summaries {
		queue, known := places[s.Queue]
		if !known {
			queue = len(out.Queues)
			places[s.Queue] = queue
			out.Queues = append(out.Queues, s.Queue)
		}
		flags := uint8(s.State) & summaryState
		if s.Cancelled {
			flags |= summaryCancelled
		}
		if s.Deleted {
			flags |= summaryGone
		}
		out.Jobs = append(out.Jobs, packedSummary{ID: s.ID, Queue: queue, Flags: flags})
	}
	return out
}

// Unpack returns the summaries. One with a state or queue that doesn't exist
// makes all unreadable: it was made by another version.
func (p *Summaries) Unpack() ([]Summary, bool) {
	out := make([]Summary, 0, len(p.Jobs))
	for _, j := range p.Jobs {
		state := State(j.Flags & summaryState)
		if j.Queue < 0 || j.Queue >= len(p.Queues) || state > Cancelled {
			return nil, false
		}
		out = append(out, Summary{
			ID:        j.ID,
			Queue:     p.Queues[j.Queue],
			State:     state,
			Cancelled: j.Flags&summaryCancelled != 0,
			Deleted:   j.Flags&summaryGone != 0,
		})
	}
	return out, true
}
