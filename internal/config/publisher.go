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

// Publisher proposes records to the config stream.
type Publisher struct {
	machine  *StateMachine
	proposer journal.Proposer
}

// NewPublisher returns a publisher whose entries m applies and p appends.
func NewPublisher(m *StateMachine, p journal.Proposer) *Publisher {
	return &Publisher{machine: m, proposer: p}
}

// Publish is PublishAs without an id of the publisher: an identical record
// counts as a repeat, whoever sends it.
func (p *Publisher) Publish(ctx context.Context, rec api.Record) (api.Revision, error) {
	return p.PublishWithID(ctx, "", rec)
}

// PublishWithID proposes rec and waits until it is applied. It returns the
// record's revision once it is accepted, or
//   - a *finding.List: the record breaks its schema, nothing was proposed;
//   - a *ConflictError: another revision is in force;
//   - journal.ErrNotWritten: certainly not accepted, try again;
//   - journal.ErrUnsettled: it may come to be accepted.
//
// Publishing the identical record under the same id again, through any entry
// VM, settles the last: a copy that was accepted is reported as such.
func (p *Publisher) PublishWithID(ctx context.Context, id string, rec api.Record) (api.Revision, error) {
	l := &finding.List{}
	schema.CheckRecord(rec, schema.AllowUnknownSchema, "", l)
	if err := l.Err(); err != nil {
		return 0, err
	}
	pub := newPublication(id, compact(rec))
	if rev, err := p.machine.settle(pub); rev > 0 || err != nil {
		return rev, err
	}
	entry := journal.Entry{Type: TypePublish, Body: journal.Encode(pub)}
	failure := p.proposer.Propose(ctx, entry)
	if rev, err := p.machine.settle(pub); rev > 0 || err != nil {
		return rev, err // certain, whatever became of the answer
	}
	if failure == nil {
		failure = errors.Wrap(journal.ErrUnsettled, "applied, but no longer remembered")
	}
	return 0, errors.Wrapf(failure, "config: publish %s", pub.key())
}

// compact removes insignificant space from the spec, which is valid JSON.
func compact(rec api.Record) api.Record {
	var out bytes.Buffer
	if json.Compact(&out, rec.Spec) == nil {
		rec.Spec = out.Bytes()
	}
	return rec
}
