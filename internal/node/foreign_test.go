package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/skylarklock/skylarklock/platform/standin"
)

// callCounter is an HTTP server that counts the calls addressed to each executor and
// answers all of them with 503.
type callCounter struct {
	mu    sync.Mutex
	calls map[string]int
}

func (c *callCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[standin.TargetExecutorID(r)]++
	w.WriteHeader(http.StatusServiceUnavailable)
}

// count returns the number of calls to the executor with the given ID.
func (c *callCounter) count(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls[id]
}

// Malformed registry records by other writers are not taken for executors and don't
// keep other executors from being used. An executor of an unknown service is used once
// a later configuration contains the service.
func TestForeignRegistryRecordsAreIgnored(t *testing.T) {
	c := &callCounter{calls: make(map[string]int)}
	server := httptest.NewServer(c)
	t.Cleanup(server.Close)
	serverAddress := strings.TrimPrefix(server.URL, "http://")
	record := func(service, state string, milliCPU any) []byte {
		return standin.Registration{Service: service, Address: serverAddress, State: state, Rack: "r1-1", MilliCPU: milliCPU, MemoryMB: 131072}.Record()
	}
	const capacity = 64000
	foreign := map[string][]byte{
		"a-state":    record("svc", "parked", capacity),
		"a-capacity": record("svc", "ready", "64000"),
		"a-service":  record("later", "ready", capacity),
		"a-bytes":    append(record("svc", "ready", capacity), 0xff),
		"a-null":     []byte("null"),
		"a-nothing":  []byte("{}"),
		"\xff\xfe":   record("svc", "ready", capacity),
		"":           record("svc", "ready", capacity),
	}
	env := newTestEnv(t, 2)
	for key, value := range foreign {
		env.store.PutExecutor(key, value)
	}
	a := env.start(t, "a")
	a.awaitReady(t)
	a.submit(t, "00000000000000f1", "20ms", 5)
	a.awaitState(t, "00000000000000f1", "completed")
	for key, value := range foreign {
		env.store.PutExecutor(key, value) // now read record by record, not in the initial pass
	}
	e := env.executors[0]
	env.store.PutExecutor(e.ID, []byte("{}"))
	a.submit(t, "00000000000000f2", "20ms", 5)
	a.awaitState(t, "00000000000000f2", "completed")
	e.Register(env.store, "svc")
	a.submit(t, "00000000000000f3", "20ms", 5)
	a.awaitState(t, "00000000000000f3", "completed")
	for key := range foreign {
		if n := c.count(key); n > 0 {
			t.Errorf("executor %q was called %d times", key, n)
		}
	}
	env.store.ConfigureServices(2, "/q/", "svc", "later")
	eventually(t, "the executor of the added service is called", func() bool { return c.count("a-service") > 0 })
}
