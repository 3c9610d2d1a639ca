// Package logread reads the lines that the processes of a cell write (package logging), puts
// those of all machines in order, and tells what became of a job and which line decided it.
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

// Line is one line of a process.
type Line struct {
	Number    int       // in the input, from 1
	Timestamp time.Time // by the machine's clock
	Node      string
	Message   string
	Epoch     uint64 // of the leader that wrote it; 0: no leader did
	fields    map[string]string
}

// Field returns the value of a field; empty: it has none.
func (l *Line) Field(name string) string { return l.fields[name] }

// Int returns the value of a field that is a whole number.
func (l *Line) Int(name string) (int64, bool) {
	n, err := strconv.ParseInt(l.fields[name], 10, 64)
	return n, err == nil
}

// Keys of the fields that the logger itself writes, and of the leader's epoch.
const (
	keyTime    = "time"
	keyMessage = "msg"
	keyLevel   = "level"
	keyEpoch   = "epoch"
)

// longestLine bounds a line, in bytes; a longer one is skipped.
const longestLine = 1 << 20

// Lines are the lines that were read.
type Lines struct {
	All     []*Line // in the order of the input
	Skipped int     // lines that hold no event
}

// Read reads lines of all machines, each machine's in the order in which it wrote them.
// What stands before a line's time, such as a collector's prefix, is passed over. Lines
// that hold no event are counted and skipped; it fails only where r does.
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

// readLine returns the next line without its end; only the beginning of one that is too
// long, which holds no event then.
func readLine(in *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := in.ReadSlice('\n')
		if len(line)+len(part) <= longestLine {
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

// mentions reports whether a value of the line names the job or a task of it.
func (l *Line) mentions(job string) bool {
	for _, value := range l.fields {
		if names(value, job) {
			return true
		}
	}
	return false
}

// names reports whether a value holds a job's ID as a word of its own, also as the beginning
// of a task's name.
func names(value, job string) bool {
	for _, word := range strings.Fields(value) {
		if word == job || strings.HasPrefix(word, job+".") {
			return true
		}
	}
	return false
}

// Describe returns the message with the fields that belong to the event itself, in the order
// of their names.
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
