// Package logserver is a small in-memory stand-in of the platform's log for
// tests and demonstrations: streams, limited retention, a size limit, a limit
// of appends a second and faults that can be switched.
package logserver

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// Defaults of Config.
const (
	DefaultMaxRecordBytes = 256 << 10
	DefaultMaxReadBytes   = 4 << 20
)

// Config holds the limits of a Server. Zero means no limit, but for the
// sizes, which take the defaults.
type Config struct {
	RetainRecords    int     // newest records kept, of each stream
	MaxRecordBytes   int     // of one record
	MaxReadBytes     int     // of the records in one read, besides the first
	AppendsPerSecond float64 // of all streams together
	AppendBurst      int     // appends that may follow each other at once
}

// Faults are the faults in force. The zero value is none.
type Faults struct {
	Down         bool          `json:"down,omitempty"`          // every call fails, certainly without effect
	Abort        bool          `json:"abort,omitempty"`         // every call breaks off, without effect; appends are uncertain
	RefuseWrites bool          `json:"refuse_writes,omitempty"` // appends fail, certainly without effect
	Delay        time.Duration `json:"slow_ns,omitempty"`       // delay of every call before its effect
	LoseAnswers  int           `json:"lose_answers,omitempty"`  // next appends that take effect and give no answer
	DropAppends  int           `json:"drop_appends,omitempty"`  // next appends that get lost and give no answer
	LateAppends  int           `json:"late_appends,omitempty"`  // next appends that give no answer and take effect after LateBy
	LateBy       time.Duration `json:"late_by_ns,omitempty"`
}

// Stats counts what has been asked of a Server.
type Stats struct {
	Appends     uint64 `json:"appends"`      // that took effect
	AppendCalls uint64 `json:"append_calls"` // with those that failed
	AppendBytes uint64 `json:"append_bytes"` // that took effect
	Reads       uint64 `json:"reads"`
}

// Server implements platform.Log in memory.
type Server struct {
	cfg     Config
	limiter *rate.Limiter

	mu      sync.Mutex
	streams map[string]*stream
	faults  Faults
	stats   Stats
}

var _ platform.Log = (*Server)(nil)

// stream is the kept part of one stream.
type stream struct {
	first   platform.Offset
	records [][]byte
	grown   chan struct{} // closed and renewed with each append
}

func (s *stream) next() platform.Offset {
	return s.first + platform.Offset(len(s.records))
}

// New returns an empty server without faults.
func New(cfg Config) *Server {
	if cfg.MaxRecordBytes == 0 {
		cfg.MaxRecordBytes = DefaultMaxRecordBytes
	}
	if cfg.MaxReadBytes == 0 {
		cfg.MaxReadBytes = DefaultMaxReadBytes
	}
	limit := rate.Inf
	if cfg.AppendsPerSecond > 0 {
		limit = rate.Limit(cfg.AppendsPerSecond)
	}
	return &Server{
		cfg:     cfg,
		limiter: rate.NewLimiter(limit, max(cfg.AppendBurst, 1)),
		streams: make(map[string]*stream),
	}
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the faults in force; counts show what is left of them.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Trim drops every record of a stream before offset.
func (s *Server) Trim(name string, offset platform.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stream(name).trim(offset)
}

// Corrupt replaces the data of a kept record, as damage at rest does.
func (s *Server) Corrupt(name string, offset platform.Offset, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	st.records[offset-st.first] = data
}

// stream returns the stream of that name, empty when it is new.
func (s *Server) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{grown: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

func (s *stream) trim(offset platform.Offset) {
	if offset <= s.first {
		return
	}
	drop := min(int(offset-s.first), len(s.records))
	s.records = append([][]byte(nil), s.records[drop:]...)
	s.first += platform.Offset(drop)
}

// Append implements platform.Log.
func (s *Server) Append(ctx context.Context, name string, data []byte) (platform.Offset, error) {
	if err := s.delay(ctx); err != nil {
		return 0, platform.ErrUncertain
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.AppendCalls++
	if err := s.refusal(data); err != nil {
		return 0, err
	}
	kept := append([]byte(nil), data...)
	if handled, err := s.faultyAppend(name, kept); handled {
		return 0, err
	}
	return s.write(name, kept), nil
}

// refusal returns why an append of data certainly has no effect, or breaks off.
func (s *Server) refusal(data []byte) error {
	switch {
	case s.faults.Abort:
		return platform.ErrUncertain
	case s.faults.Down, s.faults.RefuseWrites:
		return platform.ErrUnavailable
	case len(data) > s.cfg.MaxRecordBytes:
		return platform.ErrTooLarge
	case !s.limiter.Allow():
		return platform.ErrUnavailable
	}
	return nil
}

// faultyAppend handles an append whose answer is to be lost.
func (s *Server) faultyAppend(name string, data []byte) (bool, error) {
	f := &s.faults
	switch {
	case f.LoseAnswers > 0:
		f.LoseAnswers--
		s.write(name, data)
	case f.DropAppends > 0:
		f.DropAppends--
	case f.LateAppends > 0:
		f.LateAppends--
		time.AfterFunc(f.LateBy, func() { s.writeLate(name, data) })
	default:
		return false, nil
	}
	return true, platform.ErrUncertain
}

func (s *Server) writeLate(name string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(name, data)
}

// write adds a record and trims the stream.
func (s *Server) write(name string, data []byte) platform.Offset {
	st := s.stream(name)
	offset := st.next()
	st.records = append(st.records, data)
	s.stats.Appends++
	s.stats.AppendBytes += uint64(len(data))
	if retain := s.cfg.RetainRecords; retain > 0 && len(st.records) > retain+retain/8 {
		st.trim(st.next() - platform.Offset(retain))
	}
	close(st.grown)
	st.grown = make(chan struct{})
	return offset
}

// delay waits as long as the server is slow.
func (s *Server) delay(ctx context.Context) error {
	slow := s.Faults().Delay
	if slow <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(slow)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Read implements platform.Log.
func (s *Server) Read(ctx context.Context, name string, from platform.Offset, max int, wait time.Duration) (platform.LogBatch, error) {
	if err := s.delay(ctx); err != nil {
		return platform.LogBatch{}, platform.ErrUnavailable
	}
	s.count()
	expired := time.NewTimer(wait)
	defer expired.Stop()
	for {
		got, grown, err := s.readNow(name, from, max)
		if err != nil || len(got.Records) > 0 {
			return got, err
		}
		select {
		case <-grown:
		case <-expired.C:
			return s.readLast(name, from, max)
		case <-ctx.Done():
			return platform.LogBatch{}, platform.ErrUnavailable
		}
	}
}

func (s *Server) count() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Reads++
}

func (s *Server) readLast(name string, from platform.Offset, max int) (platform.LogBatch, error) {
	got, _, err := s.readNow(name, from, max)
	return got, err
}

// readNow returns what is there, and a channel that is closed by the next
// append.
func (s *Server) readNow(name string, from platform.Offset, max int) (platform.LogBatch, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down || s.faults.Abort {
		return platform.LogBatch{}, nil, platform.ErrUnavailable
	}
	st := s.stream(name)
	if from < st.first {
		return platform.LogBatch{}, nil, &platform.TrimmedError{From: from, First: st.first}
	}
	return st.read(from, max, s.cfg.MaxReadBytes), st.grown, nil
}

// read returns records from an offset on, within max records and maxBytes
// bytes, but at least one when there is one.
func (s *stream) read(from platform.Offset, max, maxBytes int) platform.LogBatch {
	got := platform.LogBatch{First: s.first, Next: s.next()}
	size := 0
	for offset := from; offset < s.next() && len(got.Records) < max; offset++ {
		data := s.records[offset-s.first]
		size += len(data)
		if size > maxBytes && len(got.Records) > 0 {
			break
		}
		got.Records = append(got.Records, platform.LogRecord{Offset: offset, Data: data})
	}
	return got
}
