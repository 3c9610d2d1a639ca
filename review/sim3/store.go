package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the platform's store, as on the sheets of the small sites.
const (
	answerDelay  = 4 * time.Millisecond // of each answer
	appendTime   = time.Millisecond     // that a partition takes for one append
	maxWaiting   = 2 * time.Second      // of appends that wait; beyond it an append is refused with 503
	newestPage   = 500                  // items
	maxReadBytes = 512 << 10
)

// store is a stand-in for the platform's store. Each machine calls it at an address of its own.
type store struct {
	log *recorder

	mu         sync.Mutex
	partitions map[string]*partition
	wake       chan struct{} // closed and replaced at every append
	losses     losses
	lastHolder int // machine that last wrote under a condition
}

// losses are the lost answers of a time. Appends of records of jobs are done later and not answered until a moment,
// those of a leader from another moment on.
type losses struct {
	until        time.Time
	leaderFrom   time.Time
	lateBy       time.Duration
	lost, writes int // writes since they began
}

type partition struct {
	records   [][]byte
	keyed     bool
	newest    map[string]int // offset of the newest record of each key
	producers map[string]*producer
	busyUntil time.Time // when the appends that wait will have been executed
}

type producer struct {
	epoch, next uint64
	offsets     map[uint64]int
}

func newStore(log *recorder) *store {
	return &store{log: log, partitions: make(map[string]*partition), wake: make(chan struct{})}
}

// loseAnswers leaves appends of records of jobs without an answer for a time, those of a leader after a while; they are
// done later.
func (s *store) loseAnswers(leaderAfter, length, lateBy time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.losses = losses{until: now.Add(length), leaderFrom: now.Add(leaderAfter), lateBy: lateBy}
}

// endLosses returns how many answers were lost, and of how many writes, since loseAnswers.
func (s *store) endLosses() (lost, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.losses.lost, s.losses.writes
}

func (s *store) holder() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastHolder
}

// partition returns a partition. s.mu is held.
func (s *store) partition(topic, part string) *partition {
	name := topic + "/" + part
	p := s.partitions[name]
	if p == nil {
		p = &partition{keyed: strings.HasPrefix(topic, "keyed."), newest: make(map[string]int), producers: make(map[string]*producer)}
		s.partitions[name] = p
	}
	return p
}

// put writes a record as the operator or an executor does; those are served without disturbance.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partition(topic, "0").add(append(append([]byte{byte(len(key))}, key...), value...))
	s.notify()
}

func (s *store) notify() {
	close(s.wake)
	s.wake = make(chan struct{})
}

func (p *partition) add(data []byte) {
	offset := len(p.records)
	p.records = append(p.records, data)
	if !p.keyed {
		return
	}
	key := string(data[1 : 1+data[0]])
	if len(data) == 1+len(key) {
		delete(p.newest, key)
		return
	}
	p.newest[key] = offset
}

// handler returns the store as one machine sees it.
func (s *store) handler(machine int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", func(w http.ResponseWriter, r *http.Request) { s.append(machine, w, r) })
	mux.HandleFunc("GET /v1/log-read", func(w http.ResponseWriter, r *http.Request) { s.read(w, r) })
	mux.HandleFunc("GET /v1/log-newest", func(w http.ResponseWriter, r *http.Request) { s.newest(w, r) })
	return mux
}

// hang leaves a call without an answer; the channel returns nothing further.
func hang(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func (s *store) append(machine int, w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	q := r.URL.Query()
	execute := func() (int, []byte) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.execute(machine, s.partition(q.Get("topic"), q.Get("part")), q.Get, data)
	}
	s.mu.Lock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	now := time.Now()
	s.losses.writes++
	lost := len(data) > 0 && q.Get("topic") == "keyed.jobs" && now.Before(s.losses.until)
	if q.Get("producer") != "" && now.Before(s.losses.leaderFrom) {
		lost = false
	}
	if lost {
		s.losses.lost++
	}
	lateBy := s.losses.lateBy
	if p.busyUntil.Before(now) {
		p.busyUntil = now
	}
	wait := p.busyUntil.Sub(now)
	if !lost && wait <= maxWaiting {
		p.busyUntil = p.busyUntil.Add(appendTime)
		wait = p.busyUntil.Sub(now)
	}
	s.mu.Unlock()
	if lost {
		kind := "by " + q.Get("producer")
		if q.Get("producer") == "" {
			kind = "without a producer"
		}
		s.log.note("store", "append of machine %d %s stays without an answer", machine, kind)
		time.AfterFunc(lateBy, func() {
			status, _ := execute()
			s.log.note("store", "append of machine %d %s is done late: %d", machine, kind, status)
		})
		hang(r)
	}
	if wait > maxWaiting {
		time.Sleep(answerDelay)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(wait)
	status, body := execute()
	time.Sleep(answerDelay)
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// execute carries an append out. s.mu is held.
func (s *store) execute(machine int, p *partition, q func(string) string, data []byte) (int, []byte) {
	end := len(p.records)
	if at := q("at"); at != "" {
		if at != strconv.Itoa(end) {
			return http.StatusPreconditionFailed, fmt.Appendf(nil, `{"end_offset":%d}`, end)
		}
		s.lastHolder = machine
	}
	if name := q("producer"); name != "" {
		if status, body := p.checkProducer(name, q("epoch"), q("sequence"), len(data) > 0); status != 0 {
			return status, body
		}
	}
	for len(data) >= 4 {
		n := binary.BigEndian.Uint32(data)
		p.add(data[4 : 4+n])
		data = data[4+n:]
	}
	s.notify()
	return http.StatusOK, fmt.Appendf(nil, `{"offset":%d,"end_offset":%d}`, end, len(p.records))
}

func (p *partition) checkProducer(name, epochText, sequenceText string, hasRecords bool) (int, []byte) {
	epoch, _ := strconv.ParseUint(epochText, 10, 64)
	sequence, _ := strconv.ParseUint(sequenceText, 10, 64)
	current := p.producers[name]
	if current == nil || epoch > current.epoch {
		current = &producer{epoch: epoch, next: sequence, offsets: make(map[uint64]int)}
		p.producers[name] = current
	}
	switch {
	case epoch < current.epoch:
		return http.StatusConflict, []byte(`{"reason":"fenced"}`)
	case !hasRecords:
		return 0, nil
	}
	if offset, repeated := current.offsets[sequence]; repeated && sequence+5 >= current.next {
		return http.StatusOK, fmt.Appendf(nil, `{"offset":%d,"end_offset":%d}`, offset, len(p.records))
	}
	if sequence != current.next {
		return http.StatusConflict, fmt.Appendf(nil, `{"reason":"seq","sequence":%d}`, current.next)
	}
	current.offsets[sequence] = len(p.records)
	current.next++
	return 0, nil
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	waitMs, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	s.mu.Lock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	for waiting := waitMs > 0; waiting && from >= len(p.records); {
		wake := s.wake
		s.mu.Unlock()
		select {
		case <-wake:
		case <-r.Context().Done():
			waiting = false
		case <-timeout:
			waiting = false
		}
		s.mu.Lock()
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for _, rec := range p.records[min(from, len(p.records)):] {
		if len(body) > maxReadBytes {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(len(rec)))
		body = append(body, rec...)
	}
	s.mu.Unlock()
	time.Sleep(answerDelay)
	_, _ = w.Write(body)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	q := r.URL.Query()
	after := q.Get("after")
	s.mu.Lock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	var keys []string
	for k := range p.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	items := []item{}
	for _, k := range keys[:min(len(keys), newestPage)] {
		data := p.records[p.newest[k]]
		items = append(items, item{k, base64.StdEncoding.EncodeToString(data[1+len(k):]), p.newest[k]})
	}
	body, err := json.Marshal(map[string]any{"items": items, "more": len(keys) > newestPage, "end_offset": len(p.records)})
	s.mu.Unlock()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	time.Sleep(answerDelay)
	_, _ = w.Write(body)
}
