// Package logserver implements a small in-memory stand-in for the platform's
// log, for tests and demonstrations. It has streams, limited retention, limits
// on record size and append rate, and faults that can be switched on.
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

// Config holds the limits of a Server. Zero means no limit, except for
// MaxRecordBytes and MaxReadBytes, which take their defaults.
type Config struct {
	RetainRecords    int     // newest records kept in each stream
	MaxRecordBytes   int     // size of one record
	MaxReadBytes     int     // total size of the records in one read; the first is always returned
	AppendsPerSecond float64 // over all streams
	AppendBurst      int     // appends accepted in a burst
}

// Faults are the faults in effect. The zero value means no faults.
type Faults struct {
	Down         bool          `json:"down,omitempty"`          // every call fails with the certainty that it had no effect
	Abort        bool          `json:"abort,omitempty"`         // every call is aborted without effect; appends end with an uncertain outcome
	RefuseWrites bool          `json:"refuse_writes,omitempty"` // appends fail with the certainty that they had no effect
	Delay        time.Duration `json:"slow_ns,omitempty"`       // delay of every call before it takes effect
	LoseAnswers  int           `json:"lose_answers,omitempty"`  // number of next appends that take effect without an answer
	DropAppends  int           `json:"drop_appends,omitempty"`  // number of next appends that are lost without an answer
	LateAppends  int           `json:"late_appends,omitempty"`  // number of next appends that take effect after LateBy, without an answer
	LateBy       time.Duration `json:"late_by_ns,omitempty"`
}

// Stats counts the calls of a Server.
type Stats struct {
	Appends     uint64 `json:"appends"`      // appends that took effect
	AppendCalls uint64 `json:"append_calls"` // all append calls, failed ones included
	AppendBytes uint64 `json:"append_bytes"` // bytes of the appends that took effect
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

// stream holds the retained records of one stream.
type stream struct {
	firstOffset platform.Offset
	records     [][]byte
	appended    chan struct{} // closed and replaced with each append
}

func (s *stream) nextOffset() platform.Offset {
	return s.firstOffset + platform.Offset(len(s.records))
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

// SetFaults replaces the faults in effect.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the faults in effect. Faults that are counted in appends show
// the number of appends that remain.
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

// Trim removes every record of a stream before offset.
func (s *Server) Trim(name string, offset platform.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stream(name).trim(offset)
}

// Corrupt replaces the data of a retained record, to simulate corruption at
// rest.
func (s *Server) Corrupt(name string, offset platform.Offset, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	st.records[offset-st.firstOffset] = data
}

// stream returns the stream with this name and creates it if necessary.
func (s *Server) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{appended: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

func (s *stream) trim(offset platform.Offset) {
	if offset <= s.firstOffset {
		return
	}
	drop := min(int(offset-s.firstOffset), len(s.records))
	s.records = append([][]byte(nil), s.records[drop:]...)
	s.firstOffset += platform.Offset(drop)
}

// Append implements platform.Log.
func (s *Server) Append(ctx context.Context, name string, data []byte) (platform.Offset, error) {
	if err := s.applyDelay(ctx); err != nil {
		return 0, platform.ErrUncertain
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.AppendCalls++
	if err := s.checkAppend(data); err != nil {
		return 0, err
	}
	record := append([]byte(nil), data...)
	if handled, err := s.applyAppendFault(name, record); handled {
		return 0, err
	}
	return s.write(name, record), nil
}

// checkAppend returns the error of an append that is rejected or aborted without
// effect, nil for one that may go ahead.
func (s *Server) checkAppend(data []byte) error {
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

// applyAppendFault applies the fault that is due for this append. It returns
// false if there is none; otherwise the caller gets no answer.
func (s *Server) applyAppendFault(name string, data []byte) (bool, error) {
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

// write appends a record and trims the stream. Trimming starts an eighth above
// the retention limit, so that not every append copies the stream.
func (s *Server) write(name string, data []byte) platform.Offset {
	st := s.stream(name)
	offset := st.nextOffset()
	st.records = append(st.records, data)
	s.stats.Appends++
	s.stats.AppendBytes += uint64(len(data))
	if retain := s.cfg.RetainRecords; retain > 0 && len(st.records) > retain+retain/8 {
		st.trim(st.nextOffset() - platform.Offset(retain))
	}
	close(st.appended)
	st.appended = make(chan struct{})
	return offset
}

// applyDelay waits for the delay of the faults in effect, or until ctx ends.
func (s *Server) applyDelay(ctx context.Context) error {
	delay := s.Faults().Delay
	if delay <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Read implements platform.Log.
func (s *Server) Read(ctx context.Context, name string, from platform.Offset, maxRecords int, wait time.Duration) (platform.LogBatch, error) {
	if err := s.applyDelay(ctx); err != nil {
		return platform.LogBatch{}, platform.ErrUnavailable
	}
	s.countRead()
	expired := time.NewTimer(wait)
	defer expired.Stop()
	for {
		batch, appended, err := s.readNow(name, from, maxRecords)
		if err != nil || len(batch.Records) > 0 {
			return batch, err
		}
		select {
		case <-appended:
		case <-expired.C:
			return s.readAvailable(name, from, maxRecords)
		case <-ctx.Done():
			return platform.LogBatch{}, platform.ErrUnavailable
		}
	}
}

func (s *Server) countRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Reads++
}

func (s *Server) readAvailable(name string, from platform.Offset, maxRecords int) (platform.LogBatch, error) {
	batch, _, err := s.readNow(name, from, maxRecords)
	return batch, err
}

// readNow returns the records available now and a channel that the next append
// closes.
func (s *Server) readNow(name string, from platform.Offset, maxRecords int) (platform.LogBatch, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down || s.faults.Abort {
		return platform.LogBatch{}, nil, platform.ErrUnavailable
	}
	st := s.stream(name)
	if from < st.firstOffset {
		return platform.LogBatch{}, nil, &platform.TrimmedError{From: from, First: st.firstOffset}
	}
	return st.read(from, maxRecords, s.cfg.MaxReadBytes), st.appended, nil
}

// read returns the records from an offset on, at most maxRecords records and
// maxBytes bytes, but at least one record if there are any.
func (s *stream) read(from platform.Offset, maxRecords, maxBytes int) platform.LogBatch {
	batch := platform.LogBatch{First: s.firstOffset, Next: s.nextOffset()}
	size := 0
	for offset := from; offset < s.nextOffset() && len(batch.Records) < maxRecords; offset++ {
		data := s.records[offset-s.firstOffset]
		size += len(data)
		if size > maxBytes && len(batch.Records) > 0 {
			break
		}
		batch.Records = append(batch.Records, platform.LogRecord{Offset: offset, Data: data})
	}
	return batch
}
