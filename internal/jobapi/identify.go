package jobapi

import (
	"net/http"

	"github.com/skylarklock/skylarklock/internal/replica"
	"github.com/skylarklock/skylarklock/internal/work"
)

// identify finds the workspace that the client's key belongs to. Without a key that is in force,
// only public queues are served.
func (a *API) identify(r *request) *response {
	key, sent := a.Codec.WorkspaceKey(r.Header)
	if sent {
		r.workspace = r.config.Workspaces.OfKey(key)
	}
	switch {
	case !a.needsKey(r):
		return nil
	case a.KeysOutdated != nil && a.KeysOutdated():
		return a.refuse(http.StatusServiceUnavailable, "this machine can't tell which keys are valid", defaultRetryAfter)
	case r.workspace == nil:
		return a.refuse(http.StatusUnauthorized, "no key of a workspace", 0)
	default:
		return nil
	}
}

// needsKey reports whether the request is served for clients with a key only.
func (a *API) needsKey(r *request) bool {
	return !r.queue.Public && (a.RequireKeys || r.config.HasWorkspaces)
}

// workspaceID returns the ID of the client's workspace, or 0 if it has none.
func (r *request) workspaceID() work.WorkspaceID {
	if r.workspace == nil {
		return 0
	}
	return r.workspace.ID
}

// mayAccess reports whether the client may see and cancel a job. Jobs without a workspace were
// accepted without a key, or by a process that knows no workspaces.
func (a *API) mayAccess(r *request, e replica.Entry) bool {
	return !a.needsKey(r) || e.Workspace() == 0 || e.Workspace() == r.workspaceID()
}
