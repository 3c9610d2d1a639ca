package jobapi

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/skylarklock/skylarklock/internal/work"
	adapter "github.com/skylarklock/skylarklock/platform"
)

// route is a queue of a configuration.
type route struct{ name, host, prefix, service string }

// setRoutes puts a configuration with these queues in force.
func (k *keyAPI) setRoutes(t *testing.T, routes ...route) {
	t.Helper()
	var list []string
	for _, r := range routes {
		list = append(list, fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":%q,"service":%q}`, r.name, r.host, r.prefix, r.service))
	}
	c, err := adapter.DecodeConfiguration([]byte(`{"version":2,"routes":[` + strings.Join(list, ",") + `],"limits":{"max_body_bytes":9999}}`))
	if err != nil {
		t.Fatal(err)
	}
	k.config = *c
}

// A client knows a job by the path at which it was accepted. Accepted jobs were answered 410 once the operator
// had given the queue at that path another name, and couldn't be cancelled.
func TestJobIsFoundByItsPath(t *testing.T) {
	const id = "00000000000000a1"
	accepted := route{"q", "h", "/q/", "s"}
	other := route{"other", "h", "/other/", "s"}
	for _, c := range []struct {
		name    string
		routes  []route
		path    string
		status  int
		pending string // of the queue that the path selects; empty: there is none
	}{
		{"the queue is unchanged", []route{other, accepted}, "/q/", http.StatusOK, `{"pending":1}`},
		{"the queue has another name", []route{other, {"q-2", "h", "/q/", "s"}}, "/q/", http.StatusOK, `{"pending":1}`},
		{"the queue has another name and service", []route{other, {"q-2", "h", "/q/", "s-2"}}, "/q/", http.StatusOK, `{"pending":1}`},
		{"two queues have swapped their names", []route{{"q", "h", "/other/", "s"}, {"other", "h", "/q/", "s"}}, "/q/", http.StatusOK, `{"pending":1}`},
		{"the other of these isn't the job's", []route{{"q", "h", "/other/", "s"}, {"other", "h", "/q/", "s"}}, "/other/", http.StatusGone, `{"pending":0}`},
		{"a further queue has the name", []route{{"q-2", "h", "/q/", "s"}, {"q", "h", "/new/", "s"}}, "/new/", http.StatusGone, `{"pending":0}`},
		{"another prefix isn't the job's", []route{other, accepted}, "/other/", http.StatusGone, `{"pending":0}`},
		{"the same prefix on another host isn't the job's", []route{{"q-2", "h", "/q/", "s"}, {"q-3", "elsewhere", "/q/", "s"}}, "http://elsewhere/q/", http.StatusGone, `{"pending":0}`},
		{"the queue is removed", []route{other}, "/q/", http.StatusNotFound, ""},
		{"the queue has moved to a path where no queue was", []route{{"q", "h", "/moved/", "s"}}, "/moved/", http.StatusOK, `{"pending":1}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := newKeyAPI(t, "null")
			k.setRoutes(t, other, accepted)
			k.expect(t, http.StatusOK, http.MethodPost, "/q/"+id, "")
			k.setRoutes(t, c.routes...)
			k.expect(t, c.status, http.MethodGet, c.path+id, "")
			if c.pending != "" {
				if _, body := k.call(http.MethodGet, c.path, ""); body != c.pending {
					t.Errorf("the number of pending jobs is %s, want %s", body, c.pending)
				}
			}
			submitted := map[int]int{http.StatusOK: http.StatusOK, http.StatusGone: http.StatusConflict, http.StatusNotFound: http.StatusNotFound}
			k.expect(t, submitted[c.status], http.MethodPost, c.path+id, "") // the same job again, or another one with its ID
			k.expect(t, c.status, http.MethodDelete, c.path+id, "")
			if e, _ := k.Replica.Get(work.ID{7: 0xa1}); e.Cancelled != (c.status == http.StatusOK) {
				t.Errorf("cancelled: %v", e.Cancelled)
			}
			k.setRoutes(t, accepted)
			k.expect(t, http.StatusOK, http.MethodGet, "/q/"+id, "")
		})
	}
}
