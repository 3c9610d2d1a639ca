package entry

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// unreadableLog fails all reads.
type unreadableLog struct{ platform.Log }

func (unreadableLog) Read(context.Context, string, platform.Offset, int, time.Duration) (platform.LogBatch, error) {
	return platform.LogBatch{}, platform.ErrUnavailable
}

func TestStreamStatusReportsReadErrorAndBacklogInBytes(t *testing.T) {
	r, err := journal.NewReplica(journal.Config{Stream: "dc/a", Origin: journal.Origin{Node: "a", Incarnation: 1}, Log: unreadableLog{}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = r.Run(ctx) }()
	waitFor(t, "the first read to fail", func() bool { return r.Stats().ReadFailed > 0 })
	body, err := json.Marshal(streamStatus("dc/a", r, time.Now()))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`"fault":"` + platform.ErrUnavailable.Error(), `"backlog_bytes":0`} {
		if !strings.Contains(string(body), want) {
			t.Errorf("status %s doesn't contain %s", body, want)
		}
	}
}
