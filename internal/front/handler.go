package front

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/clientlimit"
	"github.com/skylarklock/skylarklock/internal/filter"
)

// Paths of the callers' listener.
const (
	servicesPrefix = "/v1/services/"
	jobsPath       = "/v1/jobs"
	readyPath      = "/v1/ready"
)

// Handler returns the handler for all of the server's paths. Service paths are
// passed on as the caller wrote them. They bypass http.ServeMux, which
// redirects paths that it would clean.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+jobsPath, s.submitJob)
	mux.HandleFunc("GET "+jobsPath+"/{id}", s.jobStatus)
	mux.HandleFunc("DELETE "+jobsPath+"/{id}", s.cancelJob)
	mux.HandleFunc("GET "+readyPath, s.ready)
	mux.HandleFunc("/", s.notFound)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if rest, ok := strings.CutPrefix(r.URL.EscapedPath(), servicesPrefix); ok {
			s.handleService(w, r, rest)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusOK
	if !s.Ready() {
		status = http.StatusServiceUnavailable
	}
	s.writeFull(w, status, nil)
}

func (s *Server) notFound(w http.ResponseWriter, r *http.Request) {
	s.refuse(w, api.NotRun(api.ReasonMalformed, 0, fmt.Sprintf("no such path or method: %s %s", r.Method, r.URL.Path)))
}

// handleService answers one request to a service. rest is the path after the
// prefix: the service, then the path at the endpoint.
func (s *Server) handleService(w http.ResponseWriter, r *http.Request, rest string) {
	held := s.reserveBody(w)
	defer held.end()
	body, refusal := s.readBody(w, r, held)
	if refusal != nil {
		s.refuse(w, refusal)
		return
	}
	name, path, _ := strings.Cut(rest, "/")
	x := &filter.Exchange{
		Header: r.Header,
		Request: &api.Request{
			Service: name,
			Method:  r.Method,
			Path:    endpointPath(path, r.URL.RawQuery),
			Header:  requestHeader(r.Header),
			Body:    body,
		},
	}
	answer, err := s.requests.Handle(r.Context(), x)
	if err != nil {
		s.writeRefusal(w, asRefusal(err))
		return
	}
	s.writeAnswer(w, r, answer)
}

func endpointPath(path, query string) string {
	if query == "" {
		return "/" + path
	}
	return "/" + path + "?" + query
}

// expiredDeadline is a deadline in the past.
var expiredDeadline = time.Unix(1, 0)

// reserveBody returns the reservation for the body of a request.
func (s *Server) reserveBody(w http.ResponseWriter) *reservation {
	control := http.NewResponseController(w)
	// An error means that the connection is closed, which ends the reading as well.
	return s.bodyBytes.begin(func() { _ = control.SetReadDeadline(expiredDeadline) })
}

// firstBodyBytes is the size of the buffer for a body before any of it has arrived.
const firstBodyBytes = 512

// readBody reads the whole body within the size and time limits. Memory is added to held as it arrives.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, held *reservation) ([]byte, *api.Refusal) {
	if r.ContentLength > s.settings.MaxBodyBytes {
		return nil, s.tooLarge(w)
	}
	if r.Body == nil || r.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(w)
	first := int64(firstBodyBytes)
	if r.ContentLength > 0 {
		first = min(first, r.ContentLength+1) // with a byte to read the end
	}
	if err := held.grow(min(first, s.settings.MaxBodyBytes+1)); err != nil {
		return nil, s.noMemory(r)
	}
	_ = control.SetReadDeadline(time.Now().Add(s.settings.ReadBodyTimeout))
	body, err := clientlimit.WhileReceiving(r, func() ([]byte, error) {
		return clientlimit.ReadGrowing(r, first, s.settings.MaxBodyBytes, held.grow)
	})
	if !held.complete() {
		err = errNoMemory
	}
	if err == nil {
		// Without a deadline net/http continues to read, which is how it
		// detects that the caller left.
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	}
	w.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, errNoMemory), errors.Is(err, clientlimit.ErrOverloaded):
		return nil, s.noMemory(r)
	case errors.Is(err, clientlimit.ErrBodyTooLarge):
		return nil, s.tooLarge(w)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, s.refuseUnmarked(r, api.NotRun(api.ReasonDeadlinePassed, 0, fmt.Sprintf("the body took longer than %s", s.settings.ReadBodyTimeout)))
	default:
		return nil, s.refuseUnmarked(r, api.NotRun(api.ReasonMalformed, 0, "the body broke off"))
	}
}

// noMemory returns the refusal of a request whose body finds no memory.
func (s *Server) noMemory(r *http.Request) *api.Refusal {
	return s.refuseUnmarked(r, api.NotRun(api.ReasonQueueFull, s.settings.RetryAfter, errNoMemory.Error()))
}

// refuseUnmarked calls filter.RefuseUnmarked for a request that has not
// reached the chain.
func (s *Server) refuseUnmarked(r *http.Request, refusal *api.Refusal) *api.Refusal {
	return filter.RefuseUnmarked(refusal, r.Header.Get(api.HeaderIdempotent) == "true", s.settings.RetryAfter)
}

func (s *Server) tooLarge(w http.ResponseWriter) *api.Refusal {
	w.Header().Set("Connection", "close")
	return api.NotRun(api.ReasonTooLarge, 0, fmt.Sprintf("the body has more than %d bytes", s.settings.MaxBodyBytes))
}

// asRefusal returns err as a refusal. Any other error becomes a refusal with
// outcome unknown.
func asRefusal(err error) *api.Refusal {
	var refusal *api.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return api.Unknown(api.ReasonInternal, err.Error())
}
