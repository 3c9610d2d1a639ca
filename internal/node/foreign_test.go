package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
)

// visited is a server that notes which executor's calls reach it.
type visited struct {
	mu  sync.Mutex
	ids map[string]int
}

func (v *visited) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ids[r.Header.Get("X-Skylarklock-Expected-Instance")]++
	w.WriteHeader(http.StatusServiceUnavailable)
}

// seen returns how many calls reached the server.
func (v *visited) seen(id string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ids[id]
}

// Records in the registry that other writers made name no executor, and keep
// none of the others from being used. One of a service that comes with a later
// configuration is used from then on.
func TestRecordsOfOtherWritersInTheRegistry(t *testing.T) {
	v := &visited{ids: make(map[string]int)}
	server := httptest.NewServer(v)
	t.Cleanup(server.Close)
	there := strings.TrimPrefix(server.URL, "http://")
	record := func(service, state, capacity string) []byte {
		return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"z1","state":%q,"capacity":%s,"labels":["a","r1-1"]}`, service, there, state, capacity)
	}
	const room = `{"cpu":64000,"requested_memory_mb":131072}`
	foreign := map[string][]byte{
		"a-state":    record("svc", "parked", room),
		"a-capacity": record("svc", "ready", `{"cpu":"64000","requested_memory_mb":131072}`),
		"a-service":  record("later", "ready", room),
		"a-bytes":    append(record("svc", "ready", room), 0xff),
		"a-null":     []byte("null"),
		"a-nothing":  []byte("{}"),
		"\xff\xfe":   record("svc", "ready", room),
		"":           record("svc", "ready", room),
	}
	o := newOutside(t, 2)
	for key, value := range foreign {
		o.store.Put("keyed.servers", key, value)
	}
	a := o.start(t, "a")
	a.awaitReady(t)
	a.submit(t, "00000000000000f1", "20ms", 5)
	a.awaitState(t, "00000000000000f1", "completed")
	for key, value := range foreign {
		o.store.Put("keyed.servers", key, value) // read record by record this time
	}
	e := o.executors[0]
	o.store.Put("keyed.servers", e.ID, []byte("{}"))
	a.submit(t, "00000000000000f2", "20ms", 5)
	a.awaitState(t, "00000000000000f2", "completed")
	e.Register(o.store, "svc")
	a.submit(t, "00000000000000f3", "20ms", 5)
	a.awaitState(t, "00000000000000f3", "completed")
	for key := range foreign {
		if n := v.seen(key); n > 0 {
			t.Errorf("executor %q was called %d times", key, n)
		}
	}
	o.store.Put("keyed.op", "config", []byte(`{"version":2,"routes":[{"name":"q","host":"h.example","path_prefix":"/q/","service":"svc","attempts":2}],"services":[{"name":"svc"},{"name":"later"}]}`))
	eventually(t, "the executor of the service that was added is called", func() bool { return v.seen("a-service") > 0 })
}
