package config

import "github.com/skylarklock/skylarklock/api"

// acceptedPublication is one accepted publication.
type acceptedPublication struct {
	_        struct{} `cbor:",toarray"`
	ID       PublicationID
	Revision api.Revision
}

// recentPublications holds the latest accepted publications, at most
// maxRecentPublications. It is guarded by StateMachine.mu.
type recentPublications struct {
	byRevision []acceptedPublication // oldest first
	byID       map[PublicationID]api.Revision
}

func newRecentPublications() recentPublications {
	return recentPublications{byID: make(map[PublicationID]api.Revision)}
}

func (r *recentPublications) add(id PublicationID, rev api.Revision) {
	r.byRevision = append(r.byRevision, acceptedPublication{ID: id, Revision: rev})
	r.byID[id] = rev
	if len(r.byRevision) > maxRecentPublications {
		delete(r.byID, r.byRevision[0].ID)
		r.byRevision = r.byRevision[1:]
	}
}

func (r *recentPublications) revision(id PublicationID) (api.Revision, bool) {
	rev, ok := r.byID[id]
	return rev, ok
}
