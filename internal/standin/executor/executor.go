package executor

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// Sizes of the users' executors.
const (
	DefaultSlots       = 8
	DefaultConnections = 60
)

// Names of what a stand-in adds to an answer.
const (
	// HeaderEndpoint names the endpoint that ran the request.
	HeaderEndpoint = "Standin-Endpoint"
	// TrailerChecksum is the CRC-32 of the answer's body, in hexadecimal.
	TrailerChecksum = "Standin-Checksum"
)

// maxRequestBody bounds what a stand-in reads of a request, in bytes.
const maxRequestBody = 16 << 20

// Config describes a stand-in. Zero fields take their defaults.
type Config struct {
	ID          api.EndpointID
	Slots       int           // requests run at once
	Connections int           // connections accepted
	ServiceTime time.Duration // mean
	Spread      float64       // share of ServiceTime that varies either way, 0 to 1
	Seed        uint64        // of service times and failures
	// WaitForSlot lets requests beyond the slots wait for one, as many as there are
	// connections. Otherwise they are refused in-band.
	WaitForSlot bool
}

// Executor is a stand-in endpoint. It is an http.Handler.
type Executor struct {
	cfg      Config
	recorder recorder
	waiting  chan struct{} // one element for each slot in use; nil without Wait

	mu     sync.Mutex
	faults Faults
	rand   *rand.Rand
}

// New returns a sound stand-in.
func New(cfg Config) *Executor {
	if cfg.Slots == 0 {
		cfg.Slots = DefaultSlots
	}
	if cfg.Connections == 0 {
		cfg.Connections = DefaultConnections
	}
	e := &Executor{
		cfg:      cfg,
		recorder: recorder{record: Record{Runs: make(map[string][]Run)}},
		rand:     rand.New(rand.NewPCG(cfg.Seed, 1)),
	}
	if cfg.WaitForSlot {
		e.waiting = make(chan struct{}, cfg.Slots)
	}
	return e
}

// Serve serves on l, within the connection limit, until the returned server
// is closed.
func (e *Executor) Serve(l net.Listener) *http.Server {
	server := &http.Server{Handler: e}
	limited := &limitedListener{Listener: l, limit: e.cfg.Connections, recorder: &e.recorder}
	go func() { _ = server.Serve(limited) }()
	return server
}

// SetFaults replaces the faults.
func (e *Executor) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Record returns all that ran so far.
func (e *Executor) Record() Record {
	return e.recorder.copy()
}

// ServeHTTP implements http.Handler.
func (e *Executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/record":
		_ = json.NewEncoder(w).Encode(e.Record())
	case "/faults":
		e.serveFaults(w, r)
	default:
		e.serveRequest(w, r)
	}
}

// serveFaults takes new faults.
func (e *Executor) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	err := json.NewDecoder(r.Body).Decode(&faults)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(faults)
}

// serveRequest runs one request of the service.
func (e *Executor) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBody))
	if err != nil {
		return // the request never arrived whole
	}
	faults, serviceTime, fails := e.draw()
	if faults.Leaving {
		w.Header().Set(api.HeaderLeaving, "true")
		refuse(w, e.recorder.refuse())
		return
	}
	leave, ok := e.waitForSlot(r.Context())
	if !ok {
		return // the caller left
	}
	defer leave()
	id := r.Header.Get(api.HeaderRequestID)
	busy, run, ok := e.recorder.start(id, e.cfg.Slots)
	if !ok {
		refuse(w, busy)
		return
	}
	defer e.recorder.end(id, run)
	w.Header().Set(api.HeaderSlotsBusy, strconv.Itoa(busy))
	w.Header().Set(HeaderEndpoint, string(e.cfg.ID))
	if fails {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	if faults.CloseAfterRead {
		panic(http.ErrAbortHandler)
	}
	if faults.Hang {
		<-r.Context().Done()
		return
	}
	time.Sleep(serviceTime)
	writeAnswer(w, id, body, faults.BreakHalfway)
}

// waitForSlot waits for a slot when requests may wait. It reports false when
// ctx ended first; otherwise leave gives the slot back.
func (e *Executor) waitForSlot(ctx context.Context) (leave func(), ok bool) {
	if e.waiting == nil {
		return func() {}, true
	}
	select {
	case e.waiting <- struct{}{}:
		return func() { <-e.waiting }, true
	case <-ctx.Done():
		return nil, false
	}
}

// draw returns the faults, the service time and whether the request fails.
func (e *Executor) draw() (Faults, time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	vary := 1 + e.cfg.Spread*(2*e.rand.Float64()-1)
	if e.faults.SlowFactor > 0 {
		vary *= e.faults.SlowFactor
	}
	fails := e.faults.FailAll || e.rand.Float64() < e.faults.FailRate
	return e.faults, time.Duration(float64(e.cfg.ServiceTime) * vary), fails
}

// refuse answers that the request was not run.
func refuse(w http.ResponseWriter, busy int) {
	w.Header().Set(api.HeaderNotRun, "true")
	w.Header().Set(api.HeaderSlotsBusy, strconv.Itoa(busy))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// writeAnswer answers with the request's id and body, chunked, and their
// checksum in a trailer, or aborts half way through.
func writeAnswer(w http.ResponseWriter, id string, body []byte, broken bool) {
	w.Header().Set("Trailer", TrailerChecksum)
	sum := crc32.NewIEEE()
	out := io.MultiWriter(w, sum)
	_, _ = io.WriteString(out, id+"\n")
	_, _ = out.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	if broken {
		panic(http.ErrAbortHandler)
	}
	_, _ = out.Write(body[len(body)/2:])
	w.Header().Set(TrailerChecksum, fmt.Sprintf("%08x", sum.Sum32()))
}
