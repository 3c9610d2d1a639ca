package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/skylarklock/skylarklock/platform/standin"
)

// visited is a server that notes which executor's calls reach it.
type visited struct {
	mu  sync.Mutex
	ids map[string]int
}

func (v *visited) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ids[standin.TargetExecutorID(r)]++
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
func TestForeignRegistryRecordsAreIgnored(t *testing.T) {
	v := &visited{ids: make(map[string]int)}
	server := httptest.NewServer(v)
	t.Cleanup(server.Close)
	there := strings.TrimPrefix(server.URL, "http://")
	record := func(service, state string, milliCPU any) []byte {
		return standin.Registration{Service: service, Address: there, State: state, Rack: "r1-1", MilliCPU: milliCPU, MemoryMB: 131072}.Record()
	}
	const room = 64000
	foreign := map[string][]byte{
		"a-state":    record("svc", "parked", room),
		"a-capacity": record("svc", "ready", "64000"),
		"a-service":  record("later", "ready", room),
		"a-bytes":    append(record("svc", "ready", room), 0xff),
		"a-null":     []byte("null"),
		"a-nothing":  []byte("{}"),
		"\xff\xfe":   record("svc", "ready", room),
		"":           record("svc", "ready", room),
	}
	o := newOutside(t, 2)
	for key, value := range foreign {
		o.store.PutExecutor(key, value)
	}
	a := o.start(t, "a")
	a.awaitReady(t)
	a.submit(t, "00000000000000f1", "20ms", 5)
	a.awaitState(t, "00000000000000f1", "completed")
	for key, value := range foreign {
		o.store.PutExecutor(key, value) // read record by record this time
	}
	e := o.executors[0]
	o.store.PutExecutor(e.ID, []byte("{}"))
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
	o.store.ConfigureServices(2, "/q/", "svc", "later")
	eventually(t, "the executor of the service that was added is called", func() bool { return v.seen("a-service") > 0 })
}
