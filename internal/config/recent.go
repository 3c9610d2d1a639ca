package config

import "github.com/skylarklock/skylarklock/api"

// accepted is one accepted publication.
type accepted struct {
	_        struct{} `cbor:",toarray"`
	ID       PublicationID
	Revision api.Revision
}

// recent remembers the latest accepted publications. It is guarded by the
// machine's lock.
type recent struct {
	order []accepted // oldest first
	byID  map[PublicationID]api.Revision
}

func newRecent() recent {
	return recent{byID: make(map[PublicationID]api.Revision)}
}

func (r *recent) add(id PublicationID, rev api.Revision) {
	r.order = append(r.order, accepted{ID: id, Revision: rev})
	r.byID[id] = rev
	if len(r.order) > keptPublications {
		delete(r.byID, r.order[0].ID)
		r.order = r.order[1:]
	}
}

func (r *recent) revision(id PublicationID) (api.Revision, bool) {
	rev, ok := r.byID[id]
	return rev, ok
}
