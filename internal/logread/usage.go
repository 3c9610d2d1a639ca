package logread

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// usageMessage is the message of a leader's line about one workspace.
const usageMessage = "usage of a workspace"

// Usage is what a workspace used and what waited of it, according to the newest line about it.
type Usage struct {
	Workspace                    string
	At                           time.Time
	UsedMilliCPU, CapMilliCPU    int64 // a cap of 0 is no limit
	UsedMemoryMB, CapMemoryMB    int64
	Runs                         int64
	Waiting, HeldByCap, InExcess int64 // tasks
	OverShare                    bool
}

// WorkspaceUsage returns the newest usage of each workspace, those with the most waiting tasks first.
func WorkspaceUsage(events []Event) []Usage {
	newest := make(map[string]Usage)
	for _, e := range events {
		if e.Message != usageMessage {
			continue
		}
		field := func(name string) int64 {
			n, _ := e.Int(name) // 0 in lines that lack it
			return n
		}
		u := Usage{
			Workspace: e.Field("workspace"), At: e.Time,
			UsedMilliCPU: field("used_cpu"), CapMilliCPU: field("cap_cpu"),
			UsedMemoryMB: field("used_memory_mb"), CapMemoryMB: field("cap_memory_mb"),
			Runs: field("runs"), Waiting: field("tasks_waiting"), HeldByCap: field("held_by_cap"), InExcess: field("in_excess"),
			OverShare: e.Field("over_share") == "true",
		}
		if !u.At.Before(newest[u.Workspace].At) {
			newest[u.Workspace] = u
		}
	}
	out := make([]Usage, 0, len(newest))
	for _, u := range newest {
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), strings.Compare(a.Workspace, b.Workspace))
	})
	return out
}
