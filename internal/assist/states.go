package assist

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/replica"
	"github.com/skylarklock/skylarklock/internal/work"
)

// A machine that has started knows no job. It gets the states of all jobs from a machine that knows them:
// if all machines of a large cell read the store at once, the records of all jobs times the machines would
// keep the store busy for many seconds, and the leader would wait for its own reads with them.

const methodStates = ServiceName + ".States"

// Limits on the machines that get the states of jobs from one machine.
const (
	// maxStatesReaders is how many machines a machine serves at a time. Those that are served serve
	// others, so that their number doubles with each round.
	maxStatesReaders = 2
	// statesLease is how long a machine counts as served, unless it is heard to know the states.
	statesLease = 300 * time.Millisecond
)

// StatesRequest asks for the states of a part of the jobs.
type StatesRequest struct {
	_          struct{} `cbor:",toarray"`
	Part       int      // from 0; below replica.StateParts
	Node       api.NodeID
	DataCentre api.DataCentre
	Redirected bool // the leader has named the called machine
}

// StatesAnswer holds the states of a part of the jobs, or names another machine to ask. It holds neither
// if the caller should ask again later.
type StatesAnswer struct {
	_        struct{}        `cbor:",toarray"`
	Complete bool            // the called machine knows the states of all jobs
	Position platform.Offset // up to which it knows them
	Jobs     work.Summaries
	AskAt    string // address of another machine to ask; empty: none
}

// States answers with the states of a part of the jobs. The leader sends callers to another machine if it
// can.
func (h *Handler) States(request *StatesRequest, reply *StatesAnswer) error {
	if request.Part < 0 || request.Part >= replica.StateParts {
		return errors.Newf("assist: there is no part %d of the jobs", request.Part)
	}
	if !request.Redirected && h.LeadingEpoch() == 0 {
		return errors.New("assist: this machine is not the leader")
	}
	if !request.Redirected {
		source, free := h.Peers.StatesSource(request.Node, request.DataCentre, time.Now())
		if !free || source != "" {
			reply.AskAt = source
			return nil
		}
	}
	position, jobs, complete := h.Receiver.States(request.Part)
	if complete {
		reply.Complete, reply.Position, reply.Jobs = true, position, work.PackSummaries(jobs)
	}
	return nil
}

// StatesOutcome is the outcome of an attempt to get the states of all jobs.
type StatesOutcome uint8

// Outcomes of FetchStates.
const (
	StatesUnavailable StatesOutcome = iota // the called machine doesn't lead, or gave no answer
	StatesPending                          // the leader answers, and another attempt should be made soon
	StatesFetched
)

// FetchStates gets the states of all jobs from the leader at the given address, or from the machine that
// the leader names, and passes each part to apply.
func FetchStates(ctx context.Context, c Caller, leader string, self Attachment, apply func(platform.Offset, []work.Summary)) StatesOutcome {
	address, redirected := leader, false
	for part := 0; part < replica.StateParts; {
		request := StatesRequest{Part: part, Node: self.Node, DataCentre: self.DataCentre, Redirected: redirected}
		var answer StatesAnswer
		if err := c.Call(ctx, address, methodStates, &request, &answer); err != nil {
			if redirected {
				return StatesPending
			}
			return StatesUnavailable
		}
		switch {
		case !answer.Complete && answer.AskAt != "" && !redirected:
			address, redirected = answer.AskAt, true
			continue
		case !answer.Complete:
			return StatesPending
		}
		jobs, readable := answer.Jobs.Unpack()
		if !readable {
			return StatesUnavailable // another version; the store has what both read
		}
		apply(answer.Position, jobs)
		redirected = true // the machine that has served the first part serves them all
		part++
	}
	return StatesFetched
}

// StatesSource decides where a machine gets the states of all jobs: at the returned address, at this
// machine, which leads, if the address is empty, or nowhere yet if free is false. A machine that knows them
// is preferred to the leader, and one of the caller's data centre to others.
func (p *Peers) StatesSource(node api.NodeID, dataCentre api.DataCentre, now time.Time) (address string, free bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var source *machine
	for _, m := range p.ordered {
		if m.node == node || !m.mayServeStates(now) || m.address == "" && source != nil {
			continue
		}
		if source == nil || m.dataCentre == dataCentre && source.dataCentre != dataCentre {
			source = m
		}
	}
	if source == nil {
		return "", false
	}
	source.servedStates = append(source.servedStates, now)
	return source.address, true
}

// mayServeStates reports whether the machine knows the states of all jobs and serves few others. It drops
// the readers that have been served.
func (m *machine) mayServeStates(now time.Time) bool {
	i := 0
	for i < len(m.servedStates) && now.Sub(m.servedStates[i]) >= statesLease {
		i++
	}
	m.servedStates = m.servedStates[i:]
	knowsStates := m.address == "" || m.fitness > 0 && !m.unresponsive(now)
	return knowsStates && len(m.servedStates) < maxStatesReaders
}
