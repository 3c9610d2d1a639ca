// Package fleet holds what executors report about themselves.
package fleet

import (
	"slices"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// Executor is one life of an executor as it last registered itself.
type Executor struct {
	Ref      platform.ExecutorRef
	Service  string
	Zone     string // data centre
	Labels   []string
	Capacity api.Resources
	Draining bool // it leaves soon and may be given no new work
}

// Equal reports whether two records say the same of an executor.
func (e *Executor) Equal(o *Executor) bool {
	return e.Ref == o.Ref && e.Service == o.Service && e.Zone == o.Zone && slices.Equal(e.Labels, o.Labels) &&
		e.Capacity == o.Capacity && e.Draining == o.Draining
}

// rackLabel is the place of the rack among the labels; the first is the kind.
const rackLabel = 1

// Rack returns the rack, or "" if the executor names none.
func (e *Executor) Rack() string {
	if len(e.Labels) <= rackLabel {
		return ""
	}
	return e.Labels[rackLabel]
}

// HasLabel reports whether the executor carries the label.
func (e *Executor) HasLabel(label string) bool {
	for _, l := range e.Labels {
		if l == label {
			return true
		}
	}
	return false
}
