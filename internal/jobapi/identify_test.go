package jobapi

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/replica"
	"github.com/skylarklock/skylarklock/internal/work"
	adapter "github.com/skylarklock/skylarklock/platform"
)

// applyingStore stores records by applying them to a replica.
type applyingStore struct {
	replica *replica.Replica
	next    platform.Offset
}

func (s *applyingStore) Store(_ context.Context, r platform.Record, _ time.Duration) error {
	s.replica.ApplyRecords(s.next, []platform.Record{r}, time.Now())
	s.next++
	return nil
}

// keyAPI is an API with a queue for clients with keys at /q/ and a public one at /p/.
type keyAPI struct {
	*API
	config queue.Configuration
	logged bytes.Buffer
}

func newKeyAPI(t *testing.T, workspaces string) *keyAPI {
	t.Helper()
	k := &keyAPI{}
	k.configure(t, workspaces)
	logger := logrus.New()
	logger.SetOutput(&k.logged)
	logger.SetLevel(logrus.DebugLevel)
	r := replica.New(time.Minute, logging.Nop())
	reader := &replica.Reader{Replica: r, Timing: replica.DefaultTiming(), Log: emptyLog{}}
	if err := reader.Restore(t.Context()); err != nil {
		t.Fatal(err)
	}
	k.API = &API{
		Codec: Codec{
			Remaining: adapter.RemainingTime, DecodeJob: adapter.DecodeSubmission, EncodeState: adapter.EncodeState,
			EncodePending: adapter.EncodePending, EncodeError: adapter.EncodeError, WorkspaceKey: adapter.WorkspaceKey,
		},
		CurrentConfig: func() *queue.Configuration { return &k.config },
		Replica:       r,
		Sync:          func(context.Context) error { return nil },
		Store:         &applyingStore{replica: r},
		Leaving:       func() bool { return false },
		Logger:        logrus.NewEntry(logger),
	}
	return k
}

// emptyLog is a store without records.
type emptyLog struct{ platform.PartitionLog }

func (emptyLog) Newest(context.Context, platform.Partition, string) (platform.NewestPage, error) {
	return platform.NewestPage{}, nil
}

func (emptyLog) Read(context.Context, platform.Partition, platform.Offset, time.Duration) (platform.RecordBatch, error) {
	return platform.RecordBatch{}, nil
}

func (k *keyAPI) configure(t *testing.T, workspaces string) {
	t.Helper()
	c, err := adapter.DecodeConfiguration([]byte(`{"version":1,"routes":[{"name":"q","host":"h","path_prefix":"/q/","service":"s"},{"name":"p","host":"h","path_prefix":"/p/","service":"s","public_access":true}],` +
		`"limits":{"max_body_bytes":9999},"tenants":` + workspaces + `}`))
	if err != nil {
		t.Fatal(err)
	}
	k.config = *c
}

// call returns the status and the body of the answer to a request with a key.
func (k *keyAPI) call(method, path, key string) (int, string) {
	if strings.HasPrefix(path, "/") {
		path = "http://h" + path
	}
	r := httptest.NewRequest(method, path, strings.NewReader(`{"specification":"x","steps":[{"count":1,"cpu":100}]}`))
	if key != "" {
		r.Header.Set("X-Api-Key", key)
	}
	w := httptest.NewRecorder()
	k.ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

// expect checks the status of an answer.
func (k *keyAPI) expect(t *testing.T, want int, method, path, key string) {
	t.Helper()
	if got, body := k.call(method, path, key); got != want {
		t.Errorf("%s %s with %q: %d %s, want %d", method, path, key, got, body, want)
	}
}

const (
	twoWorkspaces = `[{"name":"a","api_keys":["key-a1","key-a2"]},{"name":"b","api_keys":["key-b"]}]`
	jobPath       = "/q/00000000000000a1"
)

// Only keys in force open a queue that isn't public, for every call, and no key is logged.
func TestKeysOfCalls(t *testing.T) {
	k := newKeyAPI(t, twoWorkspaces)
	for _, key := range []string{"", "key-c", "key-a", "KEY-A1", "key-a1 "} {
		for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
			if strings.TrimSpace(key) == "key-a1" {
				continue // white space around a header's value has no meaning
			}
			k.expect(t, http.StatusUnauthorized, method, jobPath, key)
		}
		k.expect(t, http.StatusUnauthorized, http.MethodGet, "/q/", key)
		k.expect(t, http.StatusNotFound, http.MethodGet, "/other/", key)
	}
	k.expect(t, http.StatusOK, http.MethodPost, jobPath, "key-a1")
	if e, _ := k.Replica.Get(work.ID{0, 0, 0, 0, 0, 0, 0, 0xa1}); e.Workspace() != work.NewWorkspaceID("a") {
		t.Errorf("the job's workspace is %v", e.Workspace())
	}
	for _, key := range []string{"", "key-c", "key-b"} {
		k.expect(t, http.StatusOK, http.MethodPost, "/p/00000000000000b"+string('1'+rune(len(key))), key)
		k.expect(t, http.StatusOK, http.MethodGet, "/p/", key)
	}
	if strings.Contains(k.logged.String(), "key-") {
		t.Errorf("a key was logged:\n%s", k.logged.String())
	}
}

// A job's calls need a key of its workspace, any that is in force. To others the job is unknown.
func TestJobIsShownToItsWorkspaceOnly(t *testing.T) {
	k := newKeyAPI(t, twoWorkspaces)
	k.expect(t, http.StatusOK, http.MethodPost, jobPath, "key-a1")
	_, unknown := k.call(http.MethodGet, "/q/00000000000000a2", "key-b")
	if status, body := k.call(http.MethodGet, jobPath, "key-b"); status != http.StatusGone || body != unknown {
		t.Errorf("another workspace gets %d %s, want %s", status, body, unknown)
	}
	k.expect(t, http.StatusGone, http.MethodDelete, jobPath, "key-b")
	k.expect(t, http.StatusForbidden, http.MethodPost, jobPath, "key-b")
	k.expect(t, http.StatusOK, http.MethodPost, jobPath, "key-a2") // the same job again
	k.expect(t, http.StatusOK, http.MethodGet, jobPath, "key-a2")

	// The key that it came with is withdrawn: the job goes on and is shown to the other keys.
	k.configure(t, `[{"name":"a","api_keys":["key-a2"]},{"name":"b","api_keys":["key-b","key-a1"]}]`)
	k.expect(t, http.StatusGone, http.MethodGet, jobPath, "key-a1")
	k.expect(t, http.StatusOK, http.MethodGet, jobPath, "key-a2")
	k.expect(t, http.StatusOK, http.MethodDelete, jobPath, "key-a2")
}

// Jobs that were accepted without a workspace are shown to clients with any key.
func TestJobWithoutWorkspaceIsShownToAllWorkspaces(t *testing.T) {
	k := newKeyAPI(t, "null")
	k.expect(t, http.StatusOK, http.MethodPost, jobPath, "")
	k.configure(t, twoWorkspaces)
	k.expect(t, http.StatusOK, http.MethodGet, jobPath, "key-b")
	k.expect(t, http.StatusUnauthorized, http.MethodGet, jobPath, "")
}

// Where the platform has clients identify themselves, a configuration that lists no workspaces lets
// nobody in.
func TestKeysAreNeededWithoutWorkspaces(t *testing.T) {
	k := newKeyAPI(t, "null")
	k.RequireKeys = true
	k.expect(t, http.StatusUnauthorized, http.MethodPost, jobPath, "key-a1")
	k.expect(t, http.StatusOK, http.MethodPost, "/p/00000000000000b1", "")
}

// A machine whose configuration may be out of date takes no key for valid, but serves public queues.
func TestOutdatedKeys(t *testing.T) {
	k := newKeyAPI(t, twoWorkspaces)
	k.KeysOutdated = func() bool { return true }
	k.expect(t, http.StatusServiceUnavailable, http.MethodPost, jobPath, "key-a1")
	k.expect(t, http.StatusOK, http.MethodPost, "/p/00000000000000b1", "")
}

// A gang that needs more than its workspace's cap can never start and is refused at once. Other steps
// may be wider than the cap, since their tasks can start one after the other.
func TestGangWiderThanCapIsRefused(t *testing.T) {
	w := &queue.Workspace{Cap: api.Resources{MilliCPU: 4000, MemoryMB: 800}}
	for name, c := range map[string]struct {
		step work.Step
		want bool
	}{
		"a gang that fits":            {work.Step{TaskCount: 4, Gang: true, TaskResources: api.Resources{MilliCPU: 1000, MemoryMB: 200, Accelerators: 9}}, true},
		"too many processors":         {work.Step{TaskCount: 5, Gang: true, TaskResources: api.Resources{MilliCPU: 1000}}, false},
		"too much memory":             {work.Step{TaskCount: 4, Gang: true, TaskResources: api.Resources{MilliCPU: 1000, MemoryMB: 201}}, false},
		"a wide step that is no gang": {work.Step{TaskCount: 50, TaskResources: api.Resources{MilliCPU: 1000}}, true},
		"a task wider than the cap":   {work.Step{TaskCount: 1, TaskResources: api.Resources{MilliCPU: 4001}}, false},
	} {
		if got := w.CanRun(&work.Job{Steps: []work.Step{c.step}}); got != c.want {
			t.Errorf("%s: can run %v", name, got)
		}
	}
	k := newKeyAPI(t, `[{"name":"a","api_keys":["key-a1"],"cap":{"cpu":50}}]`)
	if status, body := k.call(http.MethodPost, jobPath, "key-a1"); status != http.StatusServiceUnavailable || !strings.Contains(body, "cap") {
		t.Errorf("a task wider than the cap: %d %s", status, body)
	}
}
