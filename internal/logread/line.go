// Package logread reads the log lines that the processes of a cell write (package logging),
// orders the lines of all machines, and determines a job's outcome, its cause and the line
// that shows it.
package logread

import (
	"bufio"
	"bytes"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"

	"github.com/skylarklock/skylarklock/internal/logging"
)

// Line is one log line of a process.
type Line struct {
	Number    int       // line number in the input, from 1
	Timestamp time.Time // by the machine's clock
	Node      string
	Message   string
	Epoch     uint64 // epoch of the leader that wrote the line; 0: not written by a leader
	fields    map[string]string
}

// Field returns the value of a field, or the empty string if the line doesn't have it.
func (l *Line) Field(name string) string { return l.fields[name] }

// Int returns the value of an integer field, and whether the line has such a field.
func (l *Line) Int(name string) (int64, bool) {
	n, err := strconv.ParseInt(l.fields[name], 10, 64)
	return n, err == nil
}

// Keys of the fields that the logger adds to each line, and of the leader's epoch.
const (
	keyTime    = "time"
	keyMessage = "msg"
	keyLevel   = "level"
	keyEpoch   = "epoch"
)

// maxLineBytes is the maximum length of a line. Longer lines are skipped.
const maxLineBytes = 1 << 20

// Lines holds the log lines that were read.
type Lines struct {
	All     []*Line // in the order of the input
	Skipped int     // number of lines that hold no event
}

// Read reads the log lines of any number of machines. The lines of each machine must be in
// the order in which it wrote them. Text before the time of a line, such as the prefix of a
// log collector, is ignored. Lines that hold no event are counted and skipped. Read fails
// only if r does.
func Read(r io.Reader) (*Lines, error) {
	out := &Lines{}
	in := bufio.NewReaderSize(r, 64<<10)
	for number := 1; ; number++ {
		text, err := readLine(in)
		if len(text) > 0 {
			if l := parse(text); l != nil {
				l.Number = number
				out.All = append(out.All, l)
			} else {
				out.Skipped++
			}
		}
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return out, errors.Wrap(err, "logread")
		}
	}
}

// readLine returns the next line without its line break. Of a line that is too long it
// returns only the beginning, which holds no event.
func readLine(in *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := in.ReadSlice('\n')
		if len(line)+len(part) <= maxLineBytes {
			line = append(line, part...)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return bytes.TrimSpace(line), err
		}
	}
}

// parse returns the event of a line, or nil if it holds none.
func parse(text []byte) *Line {
	start := bytes.Index(text, []byte(keyTime+"="))
	if start < 0 {
		return nil
	}
	l := &Line{fields: make(map[string]string)}
	decoder := logfmt.NewDecoder(bytes.NewReader(text[start:]))
	if !decoder.ScanRecord() {
		return nil
	}
	for decoder.ScanKeyval() {
		l.fields[string(decoder.Key())] = string(decoder.Value())
	}
	if decoder.Err() != nil {
		return nil
	}
	at, err := time.Parse(time.RFC3339Nano, l.fields[keyTime])
	if err != nil || l.fields[keyMessage] == "" {
		return nil
	}
	l.Timestamp, l.Node, l.Message = at, l.fields[logging.KeyNode], l.fields[keyMessage]
	if epoch, err := strconv.ParseUint(l.fields[keyEpoch], 10, 64); err == nil {
		l.Epoch = epoch
	}
	return l
}

// mentions reports whether any field of the line names the job or one of its tasks.
func (l *Line) mentions(job string) bool {
	for _, value := range l.fields {
		if containsJobID(value, job) {
			return true
		}
	}
	return false
}

// containsJobID reports whether one of the words of a value is the job's ID or the name of
// one of its tasks, which begins with the ID.
func containsJobID(value, job string) bool {
	for _, word := range strings.Fields(value) {
		if word == job || strings.HasPrefix(word, job+".") {
			return true
		}
	}
	return false
}

// Describe returns the message and the event's own fields, sorted by name.
func (l *Line) Describe() string {
	var out strings.Builder
	out.WriteString(l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		switch name {
		case keyTime, keyMessage, keyLevel, logging.KeyNode, logging.KeyDataCentre:
		default:
			out.WriteString(" " + name + "=" + strconv.Quote(l.fields[name]))
		}
	}
	return out.String()
}
