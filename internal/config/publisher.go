package config

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/finding"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/schema"
)

// Publisher publishes records by proposing them to the config stream.
type Publisher struct {
	machine  *StateMachine
	proposer journal.Proposer

	mu     sync.Mutex
	copies map[PublicationID]*pendingCopies
}

// pendingCopies are the copies of one publication that were proposed here and may still be accepted.
type pendingCopies struct {
	publication publication
	count       int
}

// maxSettledCopies is the number of publications with pending copies above which those that have an outcome
// are looked for and dropped.
const maxSettledCopies = 1024

// NewPublisher returns a Publisher that proposes entries to p; m is the
// state machine that applies them.
func NewPublisher(m *StateMachine, p journal.Proposer) *Publisher {
	return &Publisher{machine: m, proposer: p, copies: make(map[PublicationID]*pendingCopies)}
}

// Publish calls PublishWithID with an empty ID, so that an identical record
// counts as a repeat whoever publishes it.
func (p *Publisher) Publish(ctx context.Context, rec api.Record) (api.Revision, error) {
	return p.PublishWithID(ctx, "", rec)
}

// PublishWithID proposes rec and waits until it is applied. It returns the
// record's revision if it is accepted, or one of these errors:
//   - a *finding.List if the record violates its schema; nothing was proposed;
//   - a *ConflictError if another revision is in force;
//   - journal.ErrNotWritten if the record was certainly not accepted, neither this
//     copy of it nor one that was published here before; the call can be retried;
//   - journal.ErrUnsettled if the record may still be accepted.
//
// To resolve journal.ErrUnsettled, publish the identical record again with the
// same ID, through any entry VM: if a copy was accepted, its revision is returned.
func (p *Publisher) PublishWithID(ctx context.Context, id string, rec api.Record) (api.Revision, error) {
	l := &finding.List{}
	schema.CheckRecord(rec, schema.AllowUnknownSchema, "", l)
	if err := l.Err(); err != nil {
		return 0, err
	}
	pub := newPublication(id, compactSpec(rec))
	if rev, err := p.machine.knownOutcome(pub); rev > 0 || err != nil {
		return rev, err
	}
	entry := journal.Entry{Type: TypePublish, Body: journal.Encode(pub)}
	p.addCopy(pub)
	proposeErr := p.proposer.Propose(ctx, entry)
	if rev, err := p.machine.knownOutcome(pub); rev > 0 || err != nil {
		p.forgetCopies(pub)
		return rev, err // the state determines the outcome, whatever Propose returned
	}
	if errors.Is(proposeErr, journal.ErrNotWritten) && p.removeCopy(pub) {
		proposeErr = errors.Wrapf(journal.ErrUnsettled, "an earlier copy may still be accepted; this one: %v", proposeErr)
	}
	if proposeErr == nil {
		proposeErr = errors.Wrap(journal.ErrUnsettled, "applied, but no longer remembered")
	}
	return 0, errors.Wrapf(proposeErr, "config: publish %s", pub.key())
}

// addCopy counts a copy that is about to be proposed.
func (p *Publisher) addCopy(pub publication) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.copies) >= maxSettledCopies {
		for id, c := range p.copies {
			if rev, err := p.machine.knownOutcome(c.publication); rev > 0 || err != nil {
				delete(p.copies, id)
			}
		}
	}
	c := p.copies[pub.ID]
	if c == nil {
		c = &pendingCopies{publication: pub}
		p.copies[pub.ID] = c
	}
	c.count++
}

// removeCopy uncounts a copy that is certainly not accepted, and reports whether another one may have been.
func (p *Publisher) removeCopy(pub publication) (othersPending bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.copies[pub.ID]
	if c == nil {
		return true // another call has learnt an outcome in the meantime
	}
	c.count--
	if c.count == 0 {
		delete(p.copies, pub.ID)
	}
	return c.count > 0
}

// forgetCopies drops the copies of a publication with a known outcome.
func (p *Publisher) forgetCopies(pub publication) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.copies, pub.ID)
}

// compactSpec removes insignificant whitespace from the spec, if it is valid
// JSON.
func compactSpec(rec api.Record) api.Record {
	var out bytes.Buffer
	if json.Compact(&out, rec.Spec) == nil {
		rec.Spec = out.Bytes()
	}
	return rec
}
