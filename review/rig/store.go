package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLatency is how long the store takes for an answer, as on the users' sheets.
const storeLatency = 4 * time.Millisecond

// Limits of a page of the newest records, and the default of a read.
const (
	pageItems     = 500
	pageBytes     = 1 << 20
	readKilobytes = 1024
)

// store stands in for the platform's metadata store: a log of partitions.
type store struct {
	address string
	server  *http.Server

	mu    sync.Mutex
	parts map[string]*partition
	wake  chan struct{} // closed and replaced with each append

	// refuse is called for each call; a status other than 0 is answered at once, and nothing is done.
	refuse func(r *http.Request) int
}

// partition is one partition of a topic. It keeps all of its records: a play is shorter than keep_s.
type partition struct {
	keyed     bool
	records   [][]byte
	newest    map[string]int // by key: offset of its newest record
	producers map[string]*producer
}

type producer struct {
	epoch, next uint64
	answers     map[uint64]int // by sequence number: offset of the append
}

func newStore(l net.Listener) *store {
	s := &store{address: l.Addr().String(), parts: make(map[string]*partition), wake: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.call(s.append))
	mux.HandleFunc("GET /v1/log-read", s.call(s.read))
	mux.HandleFunc("GET /v1/log-newest", s.call(s.page))
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s
}

func (s *store) call(handle func(*http.Request, []byte) (int, []byte)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		time.Sleep(storeLatency)
		s.mu.Lock()
		if s.refuse != nil {
			if status := s.refuse(r); status != 0 {
				s.mu.Unlock()
				w.WriteHeader(status)
				return
			}
		}
		status, answer := handle(r, body)
		s.mu.Unlock()
		w.WriteHeader(status)
		_, _ = w.Write(answer)
	}
}

// part returns a partition, which is created on first use. The caller holds s.mu.
func (s *store) part(topic, number string) *partition {
	name := topic + "/" + number
	p := s.parts[name]
	if p == nil {
		p = &partition{keyed: strings.HasPrefix(topic, "keyed."), newest: make(map[string]int), producers: make(map[string]*producer)}
		s.parts[name] = p
	}
	return p
}

func (p *partition) add(rec []byte) {
	offset := len(p.records)
	p.records = append(p.records, rec)
	if !p.keyed {
		return
	}
	key := string(rec[1 : 1+int(rec[0])])
	if len(rec) == 1+len(key) {
		delete(p.newest, key)
		return
	}
	p.newest[key] = offset
}

// put writes a record of a keyed topic, as the operator and the executors do.
func (s *store) put(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	rec := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part(topic, "0").add(append(rec, data...))
	s.wakeReaders()
}

// drop writes a record without a value, which removes the key.
func (s *store) drop(topic, key string) {
	rec := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part(topic, "0").add(rec)
	s.wakeReaders()
}

func (s *store) wakeReaders() {
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *store) append(r *http.Request, body []byte) (int, []byte) {
	q := r.URL.Query()
	p := s.part(q.Get("topic"), q.Get("part"))
	end := len(p.records)
	if at := q.Get("at"); at != "" && at != strconv.Itoa(end) {
		return http.StatusPreconditionFailed, fmt.Appendf(nil, `{"end_offset":%d}`, end)
	}
	if name := q.Get("producer"); name != "" {
		if status, answer, ended := p.checkProducer(name, q.Get("epoch"), q.Get("sequence"), len(body) > 0); ended {
			return status, answer
		}
	}
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		p.add(body[4 : 4+n])
		body = body[4+n:]
	}
	s.wakeReaders()
	return http.StatusOK, fmt.Appendf(nil, `{"offset":%d,"end_offset":%d}`, end, len(p.records))
}

func (p *partition) checkProducer(name, epochText, sequenceText string, hasRecords bool) (int, []byte, bool) {
	epoch, _ := strconv.ParseUint(epochText, 10, 64)
	sequence, _ := strconv.ParseUint(sequenceText, 10, 64)
	c := p.producers[name]
	if c == nil || epoch > c.epoch {
		c = &producer{epoch: epoch, next: sequence, answers: make(map[uint64]int)}
		p.producers[name] = c
	}
	if epoch < c.epoch {
		return http.StatusConflict, []byte(`{"reason":"fenced"}`), true
	}
	if !hasRecords {
		return 0, nil, false
	}
	if offset, repeated := c.answers[sequence]; repeated && sequence+5 >= c.next {
		return http.StatusOK, fmt.Appendf(nil, `{"offset":%d,"end_offset":%d}`, offset, len(p.records)), true
	}
	if sequence != c.next {
		return http.StatusConflict, fmt.Appendf(nil, `{"reason":"seq","sequence":%d}`, c.next), true
	}
	c.answers[sequence] = len(p.records)
	c.next++
	return 0, nil, false
}

func (s *store) read(r *http.Request, _ []byte) (int, []byte) {
	q := r.URL.Query()
	p := s.part(q.Get("topic"), q.Get("part"))
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	limit := readKilobytes << 10
	if kb, err := strconv.Atoi(q.Get("max_kilobytes")); err == nil {
		limit = kb << 10
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := wait > 0; waiting && from >= len(p.records); {
		wake := s.wake
		s.mu.Unlock()
		select {
		case <-wake:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		s.mu.Lock()
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, rec := range p.records[min(from, len(p.records)):] {
		if len(out) > 16 && len(out)+4+len(rec) > limit {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(len(rec)))
		out = append(out, rec...)
	}
	return http.StatusOK, out
}

func (s *store) page(r *http.Request, _ []byte) (int, []byte) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	q := r.URL.Query()
	p := s.part(q.Get("topic"), q.Get("part"))
	var keys []string
	for k := range p.newest {
		if k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size := []item{}, 0
	for _, k := range keys {
		rec := p.records[p.newest[k]]
		if len(items) == pageItems || len(items) > 0 && size+len(rec) > pageBytes {
			break
		}
		size += len(rec)
		items = append(items, item{Key: k, Value: base64.StdEncoding.EncodeToString(rec[1+len(k):]), Offset: p.newest[k]})
	}
	answer, err := json.Marshal(map[string]any{"items": items, "more": len(items) < len(keys), "end_offset": len(p.records)})
	if err != nil {
		return http.StatusInternalServerError, nil
	}
	return http.StatusOK, answer
}
