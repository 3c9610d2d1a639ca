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

// dialTimeout limits a connection attempt to an entry VM when the request can be
// sent to another one.
const dialTimeout = time.Second

// answerGracePeriod is how long the runner waits for an answer beyond the
// request's timeout.
const answerGracePeriod = 2 * time.Second

// Runner sends the requests of one run.
type Runner struct {
	cfg           Config
	client        *http.Client
	openRequests  chan struct{}
	entryBalancer *balancer
	// OnSample, if set, is called for every sample, from several goroutines at
	// the same time.
	OnSample func(Sample)
	// KeepAnswers stores the bodies of the answers in the samples.
	KeepAnswers bool
	// PickEntry, if set, selects the entry VM of each request instead of the
	// round-robin order.
	PickEntry func() string
}

// NewRunner returns a runner, or an error that lists every invalid field of cfg.
func NewRunner(cfg Config) (*Runner, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	var dialer net.Dialer // without another entry VM to try, only the request's own timeout limits it
	if cfg.ReadinessInterval > 0 {
		dialer.Timeout = dialTimeout
	}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: cfg.MaxOpen,
		MaxIdleConns:        cfg.MaxOpen,
		DisableCompression:  true,
	}
	return &Runner{
		cfg:           cfg,
		client:        &http.Client{Transport: transport},
		entryBalancer: newBalancer(cfg.Entries),
		openRequests:  make(chan struct{}, cfg.MaxOpen),
	}, nil
}

// Run sends the requests of all streams until the duration has passed or ctx
// ends. It then waits for the open requests and returns one result per stream.
func (r *Runner) Run(ctx context.Context) []*Result {
	results := make([]*Result, len(r.cfg.Streams))
	checkCtx, stopChecks := context.WithCancel(ctx)
	defer stopChecks()
	if r.cfg.ReadinessInterval > 0 {
		r.entryBalancer.watchReadiness(checkCtx, r.cfg.ReadinessInterval)
	}
	start := time.Now()
	var streams, requests sync.WaitGroup
	for i := range r.cfg.Streams {
		results[i] = newResult()
		rng := rand.New(rand.NewPCG(r.cfg.Seed, uint64(i)))
		streams.Go(func() { r.sendStream(ctx, i, start, rng, results[i], &requests) })
	}
	streams.Wait()
	requests.Wait()
	r.client.CloseIdleConnections()
	return results
}

// sendStream sends the requests of stream i at their scheduled times. The
// intervals between requests are distributed exponentially.
func (r *Runner) sendStream(ctx context.Context, i int, start time.Time, rng *rand.Rand, result *Result, requests *sync.WaitGroup) {
	s := r.cfg.Streams[i]
	due := time.Duration(0)
	for n := 0; ; n++ {
		due += time.Duration(rng.ExpFloat64() / s.Rate * float64(time.Second))
		if due > r.cfg.Duration || !sleepUntil(ctx, start.Add(due)) {
			return
		}
		id := fmt.Sprintf("%s-%d-%d", r.cfg.IDPrefix, i, n)
		copies := 1
		if rng.Float64() < s.RepeatShare {
			copies = 2
		}
		for range copies {
			r.startRequest(i, id, start, due, result, requests)
		}
	}
}

// startRequest sends a request in the background, or counts it as skipped if the
// limit on open requests is reached.
func (r *Runner) startRequest(i int, id string, start time.Time, due time.Duration, result *Result, requests *sync.WaitGroup) {
	select {
	case r.openRequests <- struct{}{}:
	default:
		result.countSkipped()
		return
	}
	requests.Go(func() {
		defer func() { <-r.openRequests }()
		sample := r.sendRequest(i, id)
		sample.Due = due
		sample.Latency = time.Since(start) - due
		result.add(sample)
		if r.OnSample != nil {
			r.OnSample(sample)
		}
	})
}

// sleepUntil waits until a time and returns false if ctx ended first.
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

// sendRequest sends one request. With readiness checks, a request whose connection
// failed certainly reached no entry VM and is sent to the next one.
func (r *Runner) sendRequest(i int, id string) Sample {
	s := r.cfg.Streams[i]
	sample := Sample{ID: id, Stream: i}
	ctx, cancel := context.WithTimeout(context.Background(), s.Timeout+answerGracePeriod)
	defer cancel()
	for range r.cfg.Entries {
		req, err := buildRequest(ctx, r.nextEntry(), s, id)
		if err != nil {
			sample.Err = err
			return sample
		}
		resp, err := r.client.Do(req)
		if isDialError(err) && r.cfg.ReadinessInterval > 0 {
			continue
		}
		if err != nil {
			sample.Err = err
			return sample
		}
		sample.readResponse(resp, s.Direct, r.KeepAnswers)
		return sample
	}
	return sample
}

// isDialError reports whether err is the failure to connect.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func buildRequest(ctx context.Context, entry string, s Stream, id string) (*http.Request, error) {
	url := "http://" + entry + "/v1/services/" + s.Service + s.Path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(make([]byte, s.BodyBytes)))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // prevents the transport from sending the request again by itself
	req.Header.Set(api.HeaderRequestID, id)
	req.Header.Set(api.HeaderCaller, s.Caller)
	req.Header.Set(api.HeaderClass, s.Class)
	req.Header.Set(api.HeaderIdempotent, strconv.FormatBool(s.Idempotent))
	req.Header.Set(api.HeaderTimeout, strconv.FormatInt(s.Timeout.Milliseconds(), 10))
	return req, nil
}

// readResponse reads an answer into the sample. An answer that breaks off counts
// as no answer.
func (s *Sample) readResponse(resp *http.Response, direct, keep bool) {
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

// nextEntry returns the address of the entry VM for the next request.
func (r *Runner) nextEntry() string {
	if r.PickEntry != nil {
		return r.PickEntry()
	}
	return r.entryBalancer.next()
}

// readAnswer reads a body to its end and returns it if keep is set.
func readAnswer(body io.Reader, keep bool) ([]byte, error) {
	if keep {
		return io.ReadAll(body)
	}
	_, err := io.Copy(io.Discard, body)
	return nil, err
}
