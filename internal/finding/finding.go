// Package finding collects validation errors with their positions in the input,
// so that all errors are reported together.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one validation error.
type Finding struct {
	File    string `json:"file,omitempty"`
	Path    string `json:"path"`            // of the field, such as "listen.callers"
	Value   string `json:"value,omitempty"` // as found
	Allowed string `json:"allowed"`         // description of the accepted values
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

// List is a list of findings. The zero value is empty and ready for use. A
// non-empty list is an error.
type List struct {
	File     string // set on each finding that is added
	Findings []Finding
}

// Add adds a finding for the field at path. A nil value means that the field is
// missing.
func (l *List) Add(path string, value any, allowed string) {
	text := ""
	if value != nil {
		text = fmt.Sprintf("%v", value)
	}
	l.Findings = append(l.Findings, Finding{File: l.File, Path: path, Value: text, Allowed: allowed})
}

// Check adds a finding for the field at path unless ok is true.
func (l *List) Check(ok bool, path string, value any, allowed string) {
	if !ok {
		l.Add(path, value, allowed)
	}
}

// Err returns l, or nil if l has no findings.
func (l *List) Err() error {
	if len(l.Findings) == 0 {
		return nil
	}
	return l
}

// maxReported is the number of findings that the text of a list has at most. More help nobody, and an input
// decides how many there are.
const maxReported = 100

// Error implements error. It formats each finding on its own line, up to maxReported.
func (l *List) Error() string {
	reported := l.Findings[:min(len(l.Findings), maxReported)]
	var lines []string
	for _, f := range reported {
		lines = append(lines, f.String())
	}
	if more := len(l.Findings) - len(reported); more > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(lines, "\n")
}
