package config

import (
	"bytes"
	"context"
	"encoding/json"

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
}

// NewPublisher returns a Publisher that proposes entries to p; m is the
// state machine that applies them.
func NewPublisher(m *StateMachine, p journal.Proposer) *Publisher {
	return &Publisher{machine: m, proposer: p}
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
//   - journal.ErrNotWritten if the record was certainly not accepted; the call
//     can be retried;
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
	proposeErr := p.proposer.Propose(ctx, entry)
	if rev, err := p.machine.knownOutcome(pub); rev > 0 || err != nil {
		return rev, err // the state determines the outcome, whatever Propose returned
	}
	if proposeErr == nil {
		proposeErr = errors.Wrap(journal.ErrUnsettled, "applied, but no longer remembered")
	}
	return 0, errors.Wrapf(proposeErr, "config: publish %s", pub.key())
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
