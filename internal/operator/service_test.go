package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/config"
	"github.com/skylarklock/skylarklock/internal/counter"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/settings"
)

// fakeNode replaces the other parts of an entry VM. As a journal it applies each
// entry, unless dropEntries is set, and then returns err.
type fakeNode struct {
	machine     *config.StateMachine
	dropEntries bool // don't apply
	err         error
	ready       bool
}

func (f *fakeNode) Propose(_ context.Context, e journal.Entry) error {
	if f.dropEntries {
		return f.err
	}
	return errors.Join(f.machine.Apply(journal.Position{}, e), f.err)
}

func (f *fakeNode) Status() api.Status { return api.Status{Node: "n1", Ready: f.ready} }

func (f *fakeNode) ExplainJob(id api.JobID) (api.Explanation, bool) {
	return api.Explanation{Job: id, State: "pending", Reason: api.ReasonNoCapacity}, id == "j"
}

func (f *fakeNode) ExplainTask(id api.TaskID) (api.Explanation, bool) {
	return api.Explanation{Job: id.Job, Task: &id.Index, VM: "vm1"}, id.Job == "j"
}

func TestOperatorService(t *testing.T) {
	Convey("The operator service of an entry VM", t, func() {
		m := config.NewStateMachine()
		node := &fakeNode{machine: m}
		counters := counter.NewSet()
		log, err := logging.New(io.Discard, "info")
		So(err, ShouldBeNil)
		h := NewHandler(Dependencies{
			Config: m, Publisher: config.NewPublisher(m, node), Explainer: node, Reporter: node,
			Counters: counters, Logger: logging.ForNode(log, "n1", "dc"),
		}, Options{MaxBodyBytes: 2000})
		call := func(method, path, body string) *httptest.ResponseRecorder {
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
			return w
		}
		publish := func(timeout int, basedOn int) (*httptest.ResponseRecorder, api.PublishAnswer) {
			w := call("POST", "/v1/records", fmt.Sprintf(
				`{"kind":"service","name":"a","schema_version":2,"based_on":%d,"spec":{"timeout_ms":%d}}`, basedOn, timeout))
			var a api.PublishAnswer
			So(json.Unmarshal(w.Body.Bytes(), &a), ShouldBeNil)
			return w, a
		}

		Convey("answers each outcome of publishing with its own status", func() {
			w, a := publish(5, 0)
			So(w.Code, ShouldEqual, http.StatusOK)
			So(a, ShouldResemble, api.PublishAnswer{Outcome: api.PublishAccepted, Revision: 1})

			w, a = publish(6, 0)
			So(w.Code, ShouldEqual, http.StatusConflict)
			So(a.InForce, ShouldEqual, 1)
			So(counters.Value(CounterGroup, api.ReasonConflict), ShouldEqual, 1)

			w, a = publish(0, 1)
			So(w.Code, ShouldEqual, http.StatusBadRequest)
			So(a.Findings[0].Path, ShouldEqual, "spec.timeout_ms")

			node.dropEntries, node.err = true, journal.ErrNotWritten
			w, _ = publish(7, 1)
			So(w.Code, ShouldEqual, http.StatusServiceUnavailable)
			So(w.Header().Get("Retry-After"), ShouldEqual, "2")

			node.err = journal.ErrUnsettled
			w, a = publish(7, 1)
			So(w.Code, ShouldEqual, http.StatusAccepted)
			So(a.Outcome, ShouldEqual, api.PublishUnsettled)

			node.dropEntries = false // written, but the answer is lost
			w, a = publish(7, 1)
			So(w.Code, ShouldEqual, http.StatusOK)
			So(a.Revision, ShouldEqual, 2)
		})

		Convey("refuses a body that is too large, is malformed or does not hold exactly one record", func() {
			So(call("POST", "/v1/records", strings.Repeat(" ", 2001)).Code, ShouldEqual, http.StatusRequestEntityTooLarge)
			So(call("POST", "/v1/records", "[]").Code, ShouldEqual, http.StatusBadRequest)
			So(call("POST", "/v1/records", "{").Code, ShouldEqual, http.StatusBadRequest)
			So(m.Revision(), ShouldEqual, 0)
		})

		Convey("returns records, explanations, counters and readiness", func() {
			publish(5, 0)
			So(call("GET", "/v1/config/service/a", "").Body.String(), ShouldContainSubstring, `"in_force":1`)
			So(call("GET", "/v1/config/service/b", "").Code, ShouldEqual, http.StatusNotFound)
			So(call("GET", "/v1/config?kind=quota", "").Body.String(), ShouldEqual, "[]\n")
			So(call("GET", "/v1/unreadable", "").Body.String(), ShouldEqual, "[]\n")
			So(call("GET", "/v1/explain/job/j", "").Body.String(), ShouldContainSubstring, "no_capacity")
			So(call("GET", "/v1/explain/task/j/3", "").Body.String(), ShouldContainSubstring, `"task":3`)
			So(call("GET", "/v1/explain/task/j/x", "").Code, ShouldEqual, http.StatusBadRequest)
			So(call("GET", "/v1/explain/job/k", "").Code, ShouldEqual, http.StatusNotFound)
			So(call("GET", "/healthz", "").Code, ShouldEqual, http.StatusOK)
			So(call("GET", "/readyz", "").Code, ShouldEqual, http.StatusServiceUnavailable)
			node.ready = true
			So(call("GET", "/readyz", "").Code, ShouldEqual, http.StatusOK)
			counters.Inc("router", api.ReasonQueueFull)
			var vars map[string]any
			So(json.Unmarshal(call("GET", "/debug/vars", "").Body.Bytes(), &vars), ShouldBeNil)
			So(vars["counters"], ShouldResemble, map[string]any{"router": map[string]any{"queue_full": 1.0}})
		})

		Convey("has timeouts on its server", func() {
			srv := NewServer(h, settings.Default().Limits)
			So(srv.ReadHeaderTimeout, ShouldBeGreaterThan, 0)
			So(srv.WriteTimeout, ShouldBeGreaterThan, DefaultPublishTimeout)
		})
	})
}
