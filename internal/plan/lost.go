package plan

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// Evidence says how it is known that the life of an executor is over.
type Evidence uint8

// Kinds of evidence.
const (
	// OtherIncarnation: another life of the executor answered a call to this one.
	OtherIncarnation Evidence = iota
	// AddressTaken: another life has answered at its address.
	AddressTaken
	// Unregistered: it gives no answer and its lease is over. It may still be alive, cut
	// off from the leader, and from the store where it isn't registered any more.
	Unregistered
)

// String returns the evidence's name in logs.
func (e Evidence) String() string {
	return [...]string{"other_life", "address_taken", "unregistered"}[e]
}

// mostRunsLogged bounds the runs that one line names.
const mostRunsLogged = 32

// logLost logs which runs an executor had when it was lost.
func (c *Cell) logLost(v *vm, l loss, now time.Time) {
	if len(v.claims) == 0 {
		return
	}
	c.events.WithFields(logrus.Fields{
		"executor": v.Ref.ID, "address": v.Ref.Address, "evidence": l.evidence.String(), "left": l.left,
		"silent_ms": now.Sub(v.clockAt).Milliseconds(), "runs": len(v.claims), "lost": v.describeRuns(),
	}).Info("executor is lost with its runs")
}

// describeRuns returns the runs on an executor as task/run:age, the youngest first. The age
// counts from the order to the executor's first sign of silence, in milliseconds; -1: not
// known.
func (v *vm) describeRuns() string {
	claims := v.youngestFirst()
	var text []string
	for _, cl := range claims[:min(len(claims), mostRunsLogged)] {
		age := int64(-1)
		if !cl.ordered.IsZero() {
			age = v.lastSign().Sub(cl.ordered).Milliseconds()
		}
		text = append(text, fmt.Sprintf("%v/%d:%d", cl.run.Task, cl.run.Number, age))
	}
	return strings.Join(text, " ")
}

// youngestFirst returns the executor's claims in the order of their orders, the newest first.
func (v *vm) youngestFirst() []*claim { return v.unlisted(nil) }

// unlisted does so for those whose runs aren't listed.
func (v *vm) unlisted(listed map[platform.Run]bool) []*claim {
	var claims []*claim
	for _, cl := range v.claims {
		if !listed[cl.run] {
			claims = append(claims, cl)
		}
	}
	slices.SortFunc(claims, func(a, b *claim) int {
		return cmp.Or(b.ordered.Compare(a.ordered), strings.Compare(a.run.Task.String(), b.run.Task.String()), cmp.Compare(a.run.Number, b.run.Number))
	})
	return claims
}

// lastSign returns when the executor was first found silent since its newest report, or
// when that report came.
func (v *vm) lastSign() time.Time {
	if v.silentFrom.After(v.clockAt) {
		return v.silentFrom
	}
	return v.clockAt
}

// HandleNoReport takes in that a hold had no answer.
func (c *Cell) HandleNoReport(h Hold, now time.Time) {
	if v := c.life(h.To, h.Order.Token); v != nil && !v.silentFrom.After(v.clockAt) {
		v.silentFrom = now
	}
}

// startFailures counts the start orders of a span of time that were not confirmed.
type startFailures struct {
	notReached int // the order certainly didn't reach the executor
	unanswered int
	refused    int
}

// count takes in the answer to a start order.
func (f *startFailures) count(err error) {
	var refused *platform.RefusedError
	switch {
	case err == nil:
	case errors.As(err, &refused):
		f.refused++
	case errors.Is(err, platform.ErrNotReached):
		f.notReached++
	default:
		f.unanswered++
	}
}
