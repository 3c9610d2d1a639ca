package queue

import (
	"crypto/sha256"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Workspace is a customer's team. Its jobs share a capacity limit and a weight.
type Workspace struct {
	ID     work.WorkspaceID
	Name   string
	Weight float64       // share of the capacity while all of it is in use, and the jobs a second that are served ahead of others' excess; 0: no share of its own
	Cap    api.Resources // of all its runs together; 0 in a field: no limit
}

// CanRun reports whether the cap leaves room for every gang of a job, which starts whole or not at
// all. Any other step can start its tasks one after the other.
func (w *Workspace) CanRun(j *work.Job) bool {
	for i := range j.Steps {
		s := &j.Steps[i]
		n := int64(s.TaskCount)
		if !s.Gang {
			n = 1
		}
		if exceeds(n*s.TaskResources.MilliCPU, w.Cap.MilliCPU) || exceeds(n*s.TaskResources.MemoryMB, w.Cap.MemoryMB) || exceeds(n*s.TaskResources.Accelerators, w.Cap.Accelerators) {
			return false
		}
	}
	return true
}

// exceeds reports whether an amount is above a limit, where 0 is no limit.
func exceeds(amount, limit int64) bool { return limit > 0 && amount > limit }

// KeyDigest is the hash of a key with which clients identify their workspace. The
// configuration keeps no keys: what is looked up by digest leaks nothing by the time it takes,
// and can't reach a log.
type KeyDigest [sha256.Size]byte

// NewKeyDigest returns the digest of a key.
func NewKeyDigest(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Workspaces are the workspaces of a configuration.
type Workspaces struct {
	byID  map[work.WorkspaceID]*Workspace
	byKey map[KeyDigest]*Workspace // nil value: keys that several workspaces claim
}

// Add adds a workspace with the digests of its keys, unless one with its ID was added before.
func (w *Workspaces) Add(workspace Workspace, keys []KeyDigest) (added bool) {
	if w.byID == nil {
		w.byID = make(map[work.WorkspaceID]*Workspace)
		w.byKey = make(map[KeyDigest]*Workspace)
	}
	if w.byID[workspace.ID] != nil {
		return false
	}
	w.byID[workspace.ID] = &workspace
	for _, k := range keys {
		if owner, claimed := w.byKey[k]; claimed && owner != &workspace {
			w.byKey[k] = nil
			continue
		}
		w.byKey[k] = &workspace
	}
	return true
}

// HasKey reports whether a workspace has the key.
func (w *Workspaces) HasKey(k KeyDigest) bool {
	_, claimed := w.byKey[k]
	return claimed
}

// OfKey returns the workspace of a key, or nil if no workspace has it or several have.
func (w *Workspaces) OfKey(k KeyDigest) *Workspace { return w.byKey[k] }

// WithID returns the workspace with an ID, or nil.
func (w *Workspaces) WithID(id work.WorkspaceID) *Workspace { return w.byID[id] }

// Len returns the number of workspaces.
func (w *Workspaces) Len() int { return len(w.byID) }
