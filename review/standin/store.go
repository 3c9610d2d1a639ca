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

// Limits and times of the store, as in the site files of small deployments.
const (
	recordBytes   = 262144
	callBytes     = 2097152
	answerDelay   = 4 * time.Millisecond
	appendTime    = time.Millisecond
	writesPerS    = 800
	readsPerS     = 2000
	newestItems   = 500
	newestBytes   = 1 << 20
	defaultReadKB = 1024
)

// store is a stand-in of the platform's store in the form of a log.
type store struct {
	rec *recorder

	mu         sync.Mutex
	partitions map[string]*partition
	wake       chan struct{} // closed and replaced at every append
	busy       bool          // every call is answered with status 503 and has no effect
	second     int64
	writes     int
	reads      int
	calls      map[string]int // by path and status
}

type partition struct {
	serial    sync.Mutex // appends are processed one at a time
	records   [][]byte
	keyed     bool
	newest    map[string]int
	producers map[string]*producer
}

type producer struct {
	epoch, next uint64
	sequences   []uint64 // of the last five appends
	offsets     []int
	ends        []int
}

func newStore(rec *recorder) *store {
	return &store{rec: rec, partitions: make(map[string]*partition), wake: make(chan struct{}), calls: make(map[string]int)}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.serve(true, s.append))
	mux.HandleFunc("GET /v1/log-read", s.serve(false, s.read))
	mux.HandleFunc("GET /v1/log-newest", s.serve(false, s.readNewest))
	return mux
}

// setBusy makes the store refuse every call with status 503, or serve again.
func (s *store) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
}

// put writes a record to a keyed topic, as the operator or an executor does. It does nothing while
// the store is down.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy {
		return
	}
	data := append([]byte{byte(len(key))}, key...)
	s.partition(topic, "0").add(append(data, value...))
	s.wakeReaders()
}

func (s *store) wakeReaders() {
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *store) partition(topic, number string) *partition {
	name := topic + "/" + number
	p := s.partitions[name]
	if p == nil {
		p = &partition{keyed: strings.HasPrefix(topic, "keyed."), newest: make(map[string]int), producers: make(map[string]*producer)}
		s.partitions[name] = p
	}
	return p
}

func (p *partition) add(data []byte) {
	p.records = append(p.records, data)
	if !p.keyed {
		return
	}
	key := string(data[1 : 1+int(data[0])])
	if len(data) == 1+len(key) {
		delete(p.newest, key)
		return
	}
	p.newest[key] = len(p.records) - 1
}

// serve applies what all calls have in common: the store's delay, its outage and its rates.
func (s *store) serve(write bool, handle func(*http.Request) (int, []byte)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(answerDelay)
		status, body := s.admit(write)
		if status == 0 {
			status, body = handle(r)
		}
		s.mu.Lock()
		s.calls[fmt.Sprintf("%s %d", r.URL.Path, status)]++
		s.mu.Unlock()
		w.WriteHeader(status)
		_, _ = w.Write(body) // an error means that the caller has disconnected
	}
}

// admit returns the status of a call that is refused, or 0.
func (s *store) admit(write bool) (int, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy {
		return http.StatusServiceUnavailable, nil
	}
	if now := time.Now().Unix(); now != s.second {
		s.second, s.writes, s.reads = now, 0, 0
	}
	if write {
		s.writes++
	} else {
		s.reads++
	}
	if s.writes > writesPerS || s.reads > readsPerS {
		return http.StatusTooManyRequests, nil
	}
	return 0, nil
}

func (s *store) append(r *http.Request) (int, []byte) {
	data, err := io.ReadAll(io.LimitReader(r.Body, 2*callBytes))
	if err != nil {
		return http.StatusBadRequest, nil
	}
	records, total := [][]byte(nil), 0
	for rest := data; len(rest) >= 4; {
		n := int(binary.BigEndian.Uint32(rest))
		if n > recordBytes {
			s.rec.eventf("store refuses a record of %d bytes", n)
			return http.StatusRequestEntityTooLarge, nil
		}
		if n > len(rest)-4 {
			return http.StatusBadRequest, nil
		}
		records = append(records, rest[4:4+n])
		total += n
		rest = rest[4+n:]
	}
	if total > callBytes {
		s.rec.eventf("store refuses a call of %d bytes", total)
		return http.StatusRequestEntityTooLarge, nil
	}
	q := r.URL.Query()
	s.mu.Lock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	s.mu.Unlock()
	p.serial.Lock()
	defer p.serial.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(p.records)
	if at := q.Get("at"); at != "" && at != strconv.Itoa(end) {
		return http.StatusPreconditionFailed, fmt.Appendf(nil, `{"end_offset":%d}`, end)
	}
	var from *producer
	if name := q.Get("producer"); name != "" {
		var status int
		var body []byte
		if from, status, body = p.checkProducer(name, q.Get("epoch"), q.Get("sequence"), len(records) > 0); status != 0 {
			return status, body
		}
	}
	for _, rec := range records {
		p.add(rec)
	}
	if from != nil && len(records) > 0 {
		from.remember(end, len(p.records))
	}
	s.wakeReaders()
	return http.StatusOK, fmt.Appendf(nil, `{"offset":%d,"end_offset":%d}`, end, len(p.records))
}

// checkProducer returns the producer, or the status and body of an answer without effect.
func (p *partition) checkProducer(name, epochText, sequenceText string, hasRecords bool) (*producer, int, []byte) {
	epoch, _ := strconv.ParseUint(epochText, 10, 64)
	sequence, _ := strconv.ParseUint(sequenceText, 10, 64)
	current := p.producers[name]
	if current == nil || epoch > current.epoch {
		current = &producer{epoch: epoch, next: sequence}
		p.producers[name] = current
	}
	if epoch < current.epoch {
		return nil, http.StatusConflict, []byte(`{"reason":"fenced"}`)
	}
	if !hasRecords {
		return current, 0, nil
	}
	if i := slices.Index(current.sequences, sequence); i >= 0 {
		return nil, http.StatusOK, fmt.Appendf(nil, `{"offset":%d,"end_offset":%d}`, current.offsets[i], current.ends[i])
	}
	if sequence != current.next {
		return nil, http.StatusConflict, fmt.Appendf(nil, `{"reason":"seq","sequence":%d}`, current.next)
	}
	return current, 0, nil
}

// remember keeps the answer to the newest of the last five appends.
func (c *producer) remember(offset, end int) {
	c.sequences, c.offsets, c.ends = append(c.sequences, c.next), append(c.offsets, offset), append(c.ends, end)
	c.next++
	if len(c.sequences) > 5 {
		c.sequences, c.offsets, c.ends = c.sequences[1:], c.offsets[1:], c.ends[1:]
	}
}

func (s *store) read(r *http.Request) (int, []byte) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	waitMs, _ := strconv.Atoi(q.Get("wait_ms"))
	maxKB, err := strconv.Atoi(q.Get("max_kilobytes"))
	if err != nil {
		maxKB = defaultReadKB
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for waitMs > 0 && from >= len(p.records) {
		wake := s.wake
		s.mu.Unlock()
		select {
		case <-wake:
		case <-r.Context().Done():
			waitMs = 0
		case <-timeout:
			waitMs = 0
		}
		s.mu.Lock()
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for i := from; i < len(p.records); i++ {
		if i > from && len(body)+len(p.records[i]) > maxKB<<10 {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(len(p.records[i])))
		body = append(body, p.records[i]...)
	}
	return http.StatusOK, body
}

func (s *store) readNewest(r *http.Request) (int, []byte) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	var keys []string
	for k := range p.newest {
		if k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	items, size := []item{}, 0
	for _, k := range keys {
		data := p.records[p.newest[k]]
		if len(items) == newestItems || len(items) > 0 && size+len(data) > newestBytes {
			break
		}
		size += len(data)
		items = append(items, item{Key: k, Value: base64.StdEncoding.EncodeToString(data[1+len(k):]), Offset: p.newest[k]})
	}
	body, err := json.Marshal(map[string]any{"items": items, "more": len(items) < len(keys), "end_offset": len(p.records)})
	if err != nil {
		return http.StatusInternalServerError, nil
	}
	return http.StatusOK, body
}
