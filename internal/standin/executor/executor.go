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

// Defaults of Config: the sizes of the users' executors.
const (
	DefaultSlots       = 8
	DefaultConnections = 60
)

// Header and trailer that a stand-in adds to an answer.
const (
	// HeaderEndpoint names the endpoint that ran the request.
	HeaderEndpoint = "Standin-Endpoint"
	// TrailerChecksum is the CRC-32 of the answer's body, in hexadecimal.
	TrailerChecksum = "Standin-Checksum"
)

// maxRequestBody is the maximum size of a request body, in bytes.
const maxRequestBody = 16 << 20

// Config describes a stand-in. Zero Slots and Connections take their defaults.
type Config struct {
	ID          api.EndpointID
	Slots       int           // maximum requests running at once
	Connections int           // maximum open connections
	ServiceTime time.Duration // mean
	Spread      float64       // maximum deviation from ServiceTime in either direction, as a share of it, 0 to 1
	Seed        uint64        // of the random service times and failures
	// WaitForSlot makes requests wait while all slots are in use; the number of
	// waiting requests is bounded by the connections. Otherwise such requests
	// are refused in-band.
	WaitForSlot bool
}

// Executor is a stand-in endpoint. It is an http.Handler.
type Executor struct {
	cfg        Config
	recorder   recorder
	slotsInUse chan struct{} // one element for each slot in use; nil without WaitForSlot

	mu     sync.Mutex
	faults Faults
	rand   *rand.Rand
}

// New returns a stand-in without faults.
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
		e.slotsInUse = make(chan struct{}, cfg.Slots)
	}
	return e
}

// Serve accepts connections on l, up to the connection limit, until the
// returned server is closed.
func (e *Executor) Serve(l net.Listener) *http.Server {
	server := &http.Server{Handler: e}
	limited := &limitedListener{Listener: l, limit: e.cfg.Connections, recorder: &e.recorder}
	go func() { _ = server.Serve(limited) }()
	return server
}

// SetFaults replaces the faults in effect.
func (e *Executor) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Record returns a copy of the record of all requests so far.
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

// serveFaults replaces the faults by those in the request body.
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
		return // the request body was not received completely
	}
	faults, serviceTime, fails := e.sampleBehaviour()
	if faults.Leaving {
		w.Header().Set(api.HeaderLeaving, "true")
		writeRefusal(w, e.recorder.countRefusal())
		return
	}
	release, ok := e.acquireSlot(r.Context())
	if !ok {
		return // the caller disconnected
	}
	defer release()
	id := r.Header.Get(api.HeaderRequestID)
	busy, run, ok := e.recorder.startRun(id, e.cfg.Slots)
	if !ok {
		writeRefusal(w, busy)
		return
	}
	defer e.recorder.endRun(id, run)
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

// acquireSlot waits for a slot if requests may wait. It returns false if ctx
// ended first; otherwise the caller must call release to free the slot.
func (e *Executor) acquireSlot(ctx context.Context) (release func(), ok bool) {
	if e.slotsInUse == nil {
		return func() {}, true
	}
	select {
	case e.slotsInUse <- struct{}{}:
		return func() { <-e.slotsInUse }, true
	case <-ctx.Done():
		return nil, false
	}
}

// sampleBehaviour returns the faults in effect, a random service time and
// whether the request fails.
func (e *Executor) sampleBehaviour() (Faults, time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	factor := 1 + e.cfg.Spread*(2*e.rand.Float64()-1)
	if e.faults.SlowFactor > 0 {
		factor *= e.faults.SlowFactor
	}
	fails := e.faults.FailAll || e.rand.Float64() < e.faults.FailRate
	return e.faults, time.Duration(float64(e.cfg.ServiceTime) * factor), fails
}

// writeRefusal answers that the request was not run and reports the slots in
// use.
func writeRefusal(w http.ResponseWriter, busy int) {
	w.Header().Set(api.HeaderNotRun, "true")
	w.Header().Set(api.HeaderSlotsBusy, strconv.Itoa(busy))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// writeAnswer writes the request's ID and body as a chunked answer, with their
// checksum in a trailer. If broken is set, it aborts the connection halfway
// through the body.
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
