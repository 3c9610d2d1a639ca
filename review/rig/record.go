package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the file in which a play says what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
	lines   []string // the newest ones
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), started: time.Now()}, nil
}

// line adds a line with the time since the start of the play.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%8.3f ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.out, text)
	r.lines = append(r.lines, text)
	if len(r.lines) > 16 {
		r.lines = r.lines[1:]
	}
}

// last returns the last n lines.
func (r *record) last(n int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.lines[max(0, len(r.lines)-n):], "\n")
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, "rig: record:", err)
	}
	_ = r.file.Close()
}
