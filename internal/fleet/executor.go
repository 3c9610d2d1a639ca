// Package fleet describes the registered executors.
package fleet

import (
	"slices"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// Executor is one incarnation of an executor as it last registered itself.
type Executor struct {
	Ref      platform.ExecutorRef
	Service  string
	Zone     string // data centre
	Labels   []string
	Capacity api.Resources
	Draining bool // it leaves soon and must get no new work
}

// Equal reports whether two registrations of an executor are identical.
func (e *Executor) Equal(o *Executor) bool {
	return e.Ref == o.Ref && e.Service == o.Service && e.Zone == o.Zone && slices.Equal(e.Labels, o.Labels) &&
		e.Capacity == o.Capacity && e.Draining == o.Draining
}

// rackLabelIndex is the index of the rack among the labels; the first label is the kind of the executor.
const rackLabelIndex = 1

// Rack returns the rack, or "" if the executor has none.
func (e *Executor) Rack() string {
	if len(e.Labels) <= rackLabelIndex {
		return ""
	}
	return e.Labels[rackLabelIndex]
}

// HasLabel reports whether the executor has the label.
func (e *Executor) HasLabel(label string) bool {
	for _, l := range e.Labels {
		if l == label {
			return true
		}
	}
	return false
}
