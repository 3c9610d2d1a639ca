package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the time since the beginning.
type recorder struct {
	mu    sync.Mutex
	begun time.Time
	file  *os.File
	out   *bufio.Writer
}

func newRecorder(path string, begun time.Time) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{begun: begun, file: f, out: bufio.NewWriter(f)}, nil
}

// note writes one line.
func (r *recorder) note(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %-10s %s\n", time.Since(r.begun).Seconds(), who, fmt.Sprintf(format, args...))
}

// say writes one line, also to standard output.
func (r *recorder) say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.note("case", format, args...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush() // nothing could be done about an error
	_ = r.file.Close()
}
