package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/standin/executor"
)

// answerGrace is how long past its timeout a request is waited for.
const answerGrace = 2 * time.Second

// Runner sends the requests of one run.
type Runner struct {
	cfg     Config
	client  *http.Client
	open    chan struct{}
	targets *balancer
	// OnSample, when set, is called for every sample, from many goroutines.
	OnSample func(Sample)
	// KeepAnswers keeps the answers' bodies in the samples.
	KeepAnswers bool
	// PickEntry, when set, chooses the entry VM of each request, as a balancer
	// does, in place of taking turns.
	PickEntry func() string
}

// NewRunner returns a runner, or every finding in cfg.
func NewRunner(cfg Config) (*Runner, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: cfg.MaxOpen,
		MaxIdleConns:        cfg.MaxOpen,
		DisableCompression:  true,
	}
	return &Runner{
		cfg:     cfg,
		client:  &http.Client{Transport: transport},
		targets: newBalancer(cfg.Entries),
		open:    make(chan struct{}, cfg.MaxOpen),
	}, nil
}

// Run sends every stream until the duration is over or ctx ends, waits for
// the open requests and returns one result per stream.
func (r *Runner) Run(ctx context.Context) []*Result {
	results := make([]*Result, len(r.cfg.Streams))
	checking, stopChecks := context.WithCancel(ctx)
	defer stopChecks()
	if r.cfg.ReadinessInterval > 0 {
		r.targets.watch(checking, r.cfg.ReadinessInterval)
	}
	start := time.Now()
	var streams, requests sync.WaitGroup
	for i := range r.cfg.Streams {
		results[i] = newResult()
		rnd := rand.New(rand.NewPCG(r.cfg.Seed, uint64(i)))
		streams.Go(func() { r.stream(ctx, i, start, rnd, results[i], &requests) })
	}
	streams.Wait()
	requests.Wait()
	r.client.CloseIdleConnections()
	return results
}

// stream sends the requests of stream i when they are due, with exponential
// gaps between them.
func (r *Runner) stream(ctx context.Context, i int, start time.Time, rnd *rand.Rand, result *Result, requests *sync.WaitGroup) {
	s := r.cfg.Streams[i]
	due := time.Duration(0)
	for n := 0; ; n++ {
		due += time.Duration(rnd.ExpFloat64() / s.Rate * float64(time.Second))
		if due > r.cfg.Duration || !sleepUntil(ctx, start.Add(due)) {
			return
		}
		id := fmt.Sprintf("%s-%d-%d", r.cfg.IDPrefix, i, n)
		copies := 1
		if rnd.Float64() < s.RepeatShare {
			copies = 2
		}
		for range copies {
			r.launch(i, id, start, due, result, requests)
		}
	}
}

func (r *Runner) launch(i int, id string, start time.Time, due time.Duration, result *Result, requests *sync.WaitGroup) {
	select {
	case r.open <- struct{}{}:
	default:
		result.skip()
		return
	}
	requests.Go(func() {
		defer func() { <-r.open }()
		sample := r.request(i, id)
		sample.Due = due
		sample.Latency = time.Since(start) - due
		result.add(sample)
		if r.OnSample != nil {
			r.OnSample(sample)
		}
	})
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// request sends one request. One that certainly reached nobody, since no
// connection came about, goes to the next entry VM.
func (r *Runner) request(i int, id string) Sample {
	s := r.cfg.Streams[i]
	sample := Sample{ID: id, Stream: i}
	ctx, cancel := context.WithTimeout(context.Background(), s.Timeout+answerGrace)
	defer cancel()
	for range r.cfg.Entries {
		req, err := buildRequest(ctx, r.entry(), s, id)
		if err != nil {
			sample.Err = err
			return sample
		}
		resp, err := r.client.Do(req)
		if notConnected(err) && r.cfg.ReadinessInterval > 0 {
			continue
		}
		if err != nil {
			sample.Err = err
			return sample
		}
		sample.read(resp, s.Direct, r.KeepAnswers)
		return sample
	}
	return sample
}

// notConnected reports whether err is that of a dial.
func notConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func buildRequest(ctx context.Context, entry string, s Stream, id string) (*http.Request, error) {
	url := "http://" + entry + "/v1/services/" + s.Service + s.Path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(make([]byte, s.BodyBytes)))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // a repeat must be this runner's own decision
	req.Header.Set(api.HeaderRequestID, id)
	req.Header.Set(api.HeaderCaller, s.Caller)
	req.Header.Set(api.HeaderClass, s.Class)
	req.Header.Set(api.HeaderIdempotent, strconv.FormatBool(s.Idempotent))
	req.Header.Set(api.HeaderTimeout, strconv.FormatInt(s.Timeout.Milliseconds(), 10))
	return req, nil
}

// read takes a whole answer; one that breaks off is none.
func (s *Sample) read(resp *http.Response, direct, keep bool) {
	defer resp.Body.Close()
	body, err := readAnswer(resp.Body, keep)
	if err != nil {
		s.Err = err
		return
	}
	s.Answer = body
	s.Checksum = resp.Trailer.Get(executor.TrailerChecksum)
	s.Status = resp.StatusCode
	s.Outcome = api.Outcome(resp.Header.Get(api.HeaderOutcome))
	s.Reason = api.Reason(resp.Header.Get(api.HeaderReason))
	if direct {
		s.Outcome = api.OutcomeRan
	}
}

// entry returns the entry VM for the next request.
func (r *Runner) entry() string {
	if r.PickEntry != nil {
		return r.PickEntry()
	}
	return r.targets.next()
}

// readAnswer reads a whole body and returns it if it is to be kept.
func readAnswer(body io.Reader, keep bool) ([]byte, error) {
	if keep {
		return io.ReadAll(body)
	}
	_, err := io.Copy(io.Discard, body)
	return nil, err
}
