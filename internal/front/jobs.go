package front

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/skylarklock/skylarklock/api"
)

// submitJob handles POST /v1/jobs with an api.JobSpec.
func (s *Server) submitJob(w http.ResponseWriter, r *http.Request) {
	if refusal := s.gate.Enter(); refusal != nil {
		refusal.RetryAfter = s.settings.RetryAfter
		s.refuse(w, refusal)
		return
	}
	defer s.gate.Leave()
	spec, refusal := s.readJob(w, r)
	if refusal != nil {
		s.refuse(w, refusal)
		return
	}
	if err := s.jobs.Submit(r.Context(), spec); err != nil {
		s.refuse(w, asRefusal(err))
		return
	}
	w.Header().Set(api.HeaderOutcome, string(api.OutcomeRan))
	w.Header().Set("Location", jobsPath+"/"+string(spec.ID))
	s.writeFull(w, http.StatusAccepted, nil)
}

func (s *Server) readJob(w http.ResponseWriter, r *http.Request) (api.JobSpec, *api.Refusal) {
	var spec api.JobSpec
	held := s.reserveBody(w)
	defer held.end()
	body, refusal := s.readBody(w, r, held)
	if refusal != nil {
		return spec, refusal
	}
	if err := decodeStrict(body, &spec); err != nil {
		return spec, api.NotRun(api.ReasonMalformed, 0, fmt.Sprintf("body: %v", err))
	}
	return spec, nil
}

// decodeStrict decodes a single JSON value without unknown fields and fails if
// anything follows it.
func decodeStrict(body []byte, to any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(to); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more than one JSON value")
	}
	return nil
}

// cancelJob handles DELETE /v1/jobs/{id}.
func (s *Server) cancelJob(w http.ResponseWriter, r *http.Request) {
	if err := s.jobs.Cancel(r.Context(), api.JobID(r.PathValue("id"))); err != nil {
		s.refuse(w, asRefusal(err))
		return
	}
	w.Header().Set(api.HeaderOutcome, string(api.OutcomeRan))
	s.writeFull(w, http.StatusAccepted, nil)
}

// jobStatus handles GET /v1/jobs/{id}.
func (s *Server) jobStatus(w http.ResponseWriter, r *http.Request) {
	status, err := s.jobs.Status(r.Context(), api.JobID(r.PathValue("id")))
	if err != nil {
		s.refuse(w, asRefusal(err))
		return
	}
	w.Header().Set(api.HeaderOutcome, string(api.OutcomeRan))
	s.writeJSON(w, http.StatusOK, status)
}
