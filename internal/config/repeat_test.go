package config

import (
	"context"
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
)

// scriptedJournal returns errors in order and applies nothing by itself.
type scriptedJournal struct {
	errs     []error
	proposed []journal.Entry
}

func (s *scriptedJournal) Propose(_ context.Context, e journal.Entry) error {
	s.proposed = append(s.proposed, e)
	err := s.errs[0]
	s.errs = s.errs[1:]
	return err
}

// A repeat that wasn't sent was answered as certainly not accepted, although an earlier copy of the same record
// was in the log and came into force.
func TestRepeatOfUnsettledPublicationStaysUnsettled(t *testing.T) {
	Convey("Given a publication that was answered unsettled", t, func() {
		m := NewStateMachine()
		j := &scriptedJournal{errs: []error{journal.ErrUnsettled, journal.ErrStopped, journal.ErrBacklogFull, journal.ErrNotWritten}}
		p := NewPublisher(m, j)
		rec := api.Record{Kind: api.KindQuota, Name: "q", SchemaVersion: 1, Spec: []byte(`{"max":{"milli_cpu":1000},"weight":1}`)}
		_, err := p.PublishWithID(t.Context(), "id", rec)
		So(err, ShouldWrap, journal.ErrUnsettled)

		Convey("repeats that aren't sent stay unsettled until the outcome is known", func() {
			for range 2 {
				_, err = p.PublishWithID(t.Context(), "id", rec)
				So(err, ShouldWrap, journal.ErrUnsettled)
				So(errors.Is(err, journal.ErrNotWritten), ShouldBeFalse)
			}
			So(m.Apply(journal.Position{}, j.proposed[0]), ShouldBeNil)
			revision, err := p.PublishWithID(t.Context(), "id", rec)
			So(err, ShouldBeNil)
			So(revision, ShouldEqual, 1)
		})
		Convey("another publication that isn't sent is not accepted", func() {
			other := rec
			other.Name = "other"
			_, err = p.PublishWithID(t.Context(), "id", other)
			So(err, ShouldWrap, journal.ErrNotWritten)
			_, err = p.PublishWithID(t.Context(), "another id", rec)
			So(err, ShouldWrap, journal.ErrNotWritten)
		})
	})
}
