package logserver

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/platform/httplog"
)

// maxFaultsBytes bounds the body of POST /faults.
const maxFaultsBytes = 4 << 10

// Handler serves the protocol of package httplog. In addition, GET /faults and
// POST /faults read and replace the Faults, and GET /stats returns the Stats,
// all as JSON.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream...}", s.handleAppend)
	mux.HandleFunc("GET /streams/{stream...}", s.handleRead)
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Faults()) })
	mux.HandleFunc("POST /faults", s.handleFaults)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Stats()) })
	return mux
}

const recordsSuffix = "/records"

// streamName returns the stream name in the path of a request; the name may
// contain slashes. If there is none, it answers 404 and returns false.
func streamName(w http.ResponseWriter, req *http.Request) (string, bool) {
	name, ok := strings.CutSuffix(req.PathValue("stream"), recordsSuffix)
	if !ok {
		http.NotFound(w, req)
	}
	return name, ok
}

func (s *Server) handleAppend(w http.ResponseWriter, req *http.Request) {
	name, ok := streamName(w, req)
	if !ok {
		return
	}
	data, err := io.ReadAll(io.LimitReader(req.Body, int64(s.cfg.MaxRecordBytes)+1))
	if err != nil || (req.ContentLength >= 0 && int64(len(data)) < min(req.ContentLength, int64(s.cfg.MaxRecordBytes)+1)) {
		panic(http.ErrAbortHandler)
	}
	offset, err := s.Append(req.Context(), name, data)
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, httplog.AppendAnswer{Offset: uint64(offset)})
	case errors.Is(err, platform.ErrTooLarge):
		writeRefusal(w, http.StatusRequestEntityTooLarge, err)
	case errors.Is(err, platform.ErrUnavailable):
		writeRefusal(w, http.StatusServiceUnavailable, err)
	default:
		panic(http.ErrAbortHandler) // uncertain: abort without an answer
	}
}

// writeRefusal answers with an error and the header which says that the request
// had no effect.
func writeRefusal(w http.ResponseWriter, status int, err error) {
	w.Header().Set(httplog.HeaderRefused, "true")
	http.Error(w, err.Error(), status)
}

func (s *Server) handleRead(w http.ResponseWriter, req *http.Request) {
	name, ok := streamName(w, req)
	if !ok {
		return
	}
	query := req.URL.Query()
	from, err1 := strconv.ParseUint(query.Get(httplog.ParamFrom), 10, 64)
	maxRecords, err2 := strconv.Atoi(query.Get(httplog.ParamMax))
	waitMs, err3 := strconv.ParseInt(query.Get(httplog.ParamWaitMs), 10, 64)
	if err := errors.Join(err1, err2, err3); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	batch, err := s.Read(req.Context(), name, platform.Offset(from), maxRecords, time.Duration(waitMs)*time.Millisecond)
	var trimmed *platform.TrimmedError
	switch {
	case errors.As(err, &trimmed):
		writeJSON(w, http.StatusGone, httplog.TrimmedAnswer{From: uint64(trimmed.From), First: uint64(trimmed.First)})
	case err != nil && s.Faults().Abort:
		panic(http.ErrAbortHandler)
	case err != nil:
		writeRefusal(w, http.StatusServiceUnavailable, err)
	default:
		writeBatch(w, batch, query.Get(httplog.ParamMaxBytes))
	}
}

// writeBatch sends as many records as the client's limit in bytes allows, but
// at least one if there are any.
func writeBatch(w http.ResponseWriter, batch platform.LogBatch, maxBytes string) {
	limit, err := strconv.Atoi(maxBytes)
	if err != nil {
		limit = DefaultMaxReadBytes
	}
	answer := httplog.ReadAnswer{First: uint64(batch.First), Next: uint64(batch.Next)}
	size := 0
	for i, rec := range batch.Records {
		size += len(rec.Data)
		if i > 0 && size > limit {
			break
		}
		answer.Records = append(answer.Records, httplog.Record{Offset: uint64(rec.Offset), Data: rec.Data})
	}
	data, err := cbor.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	_, _ = w.Write(data) // a client that disconnected repeats the read
}

func (s *Server) handleFaults(w http.ResponseWriter, req *http.Request) {
	var f Faults
	if err := json.NewDecoder(io.LimitReader(req.Body, maxFaultsBytes)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeJSON(w, http.StatusOK, f)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a client that disconnected repeats the request
}
