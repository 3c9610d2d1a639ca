package operator

import (
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"strconv"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/config"
)

func (s *service) records(w http.ResponseWriter, r *http.Request) {
	kind := api.Kind(r.URL.Query().Get("kind"))
	writeJSON(w, http.StatusOK, emptyIfNil(s.Config.Records(kind)))
}

func (s *service) unreadable(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, emptyIfNil(s.Config.UnreadableRecords()))
}

// emptyIfNil returns an empty slice for nil, so that it is encoded as [] instead of
// null.
func emptyIfNil(states []api.RecordState) []api.RecordState {
	if states == nil {
		return []api.RecordState{}
	}
	return states
}

func (s *service) record(w http.ResponseWriter, r *http.Request) {
	k := config.Key{Kind: api.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
	state, ok := s.Config.Record(k)
	if !ok {
		writeJSON(w, http.StatusNotFound, api.Problem{Error: fmt.Sprintf("no record %s", k)})
		return
	}
	writeJSON(w, http.StatusOK, state)
}

func (s *service) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Reporter.Status())
}

func (s *service) explainJob(w http.ResponseWriter, r *http.Request) {
	id := api.JobID(r.PathValue("id"))
	e, ok := s.Explainer.ExplainJob(id)
	if !ok {
		writeJSON(w, http.StatusNotFound, api.Problem{Error: fmt.Sprintf("no job %s in this data centre", id)})
		return
	}
	writeJSON(w, http.StatusOK, e)
}

func (s *service) explainTask(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.ParseUint(r.PathValue("index"), 10, 32)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, api.Problem{Error: "index: " + err.Error()})
		return
	}
	id := api.TaskID{Job: api.JobID(r.PathValue("job")), Index: uint32(index)}
	e, ok := s.Explainer.ExplainTask(id)
	if !ok {
		writeJSON(w, http.StatusNotFound, api.Problem{Error: fmt.Sprintf("no task %s/%d in this data centre", id.Job, id.Index)})
		return
	}
	writeJSON(w, http.StatusOK, e)
}

// vars writes the expvar variables of the process and those of this node, which
// are not registered with expvar.
func (s *service) vars(w http.ResponseWriter, _ *http.Request) {
	all := map[string]json.RawMessage{}
	expvar.Do(func(kv expvar.KeyValue) {
		all[kv.Key] = json.RawMessage(kv.Value.String())
	})
	for name, v := range s.Vars {
		all[name] = json.RawMessage(v.String())
	}
	all["counters"] = json.RawMessage(s.Counters.String())
	writeJSON(w, http.StatusOK, all)
}

// healthz reports that the process is running.
func (s *service) healthz(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write([]byte("ok\n"))
}

// readyz reports whether the entry VM accepts callers.
func (s *service) readyz(w http.ResponseWriter, _ *http.Request) {
	status := s.Reporter.Status()
	if !status.Ready || status.Draining {
		writeJSON(w, http.StatusServiceUnavailable, status)
		return
	}
	writeJSON(w, http.StatusOK, status)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)+1))
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}
