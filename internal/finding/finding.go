// Package finding collects every fault of an input with its place, so that
// all are reported together.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one fault of an input.
type Finding struct {
	File    string `json:"file,omitempty"`
	Path    string `json:"path"`            // of the field, such as "listen.callers"
	Value   string `json:"value,omitempty"` // as found
	Allowed string `json:"allowed"`         // what would be accepted
}

// String formats the finding on one line.
func (f Finding) String() string {
	place := f.Path
	if f.File != "" {
		place = f.File + ": " + f.Path
	}
	if f.Value == "" {
		return fmt.Sprintf("%s: want %s", place, f.Allowed)
	}
	return fmt.Sprintf("%s: found %s, want %s", place, f.Value, f.Allowed)
}

// List is a set of findings. The zero value is empty and ready for use.
type List struct {
	File     string // set on each finding that is added
	Findings []Finding
}

// Add records a fault at path.
func (l *List) Add(path string, value any, allowed string) {
	text := ""
	if value != nil {
		text = fmt.Sprintf("%v", value)
	}
	l.Findings = append(l.Findings, Finding{File: l.File, Path: path, Value: text, Allowed: allowed})
}

// Check records a fault at path unless ok holds.
func (l *List) Check(ok bool, path string, value any, allowed string) {
	if !ok {
		l.Add(path, value, allowed)
	}
}

// Err returns nil when there is no finding, and otherwise l itself.
func (l *List) Err() error {
	if len(l.Findings) == 0 {
		return nil
	}
	return l
}

// Error implements error, one finding to a line.
func (l *List) Error() string {
	lines := make([]string, len(l.Findings))
	for i, f := range l.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
