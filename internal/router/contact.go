package router

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/directory"
)

// contact is when an endpoint last answered and was last tried in vain; zero
// is never.
type contact struct {
	answered time.Duration
	failed   time.Duration
}

// note takes a result into account. An answer that broke off tells neither.
func (c *contact) note(now time.Duration, r Result) {
	if r.Err == nil || r.Err.Reason == api.ReasonEndpointRefused {
		c.answered = now
		return
	}
	switch r.Err.Reason {
	case api.ReasonConnectFailed, api.ReasonAnswerTimeout:
		c.failed = now
	}
}

// Contacts returns when each endpoint last answered and was last tried in
// vain, as directory.View.ApplyContacts takes it.
func (r *Router) Contacts() []directory.Contact {
	var contacts []directory.Contact
	for _, s := range r.allShards() {
		contacts = append(contacts, s.contacts()...)
	}
	return contacts
}

// contacts returns the contacts with the endpoints of one service.
func (s *shard) contacts() []directory.Contact {
	s.mu.Lock()
	defer s.unlock()
	var list []directory.Contact
	add := func(e *endpoint, at time.Duration, answered bool) {
		if at == 0 {
			return
		}
		list = append(list, directory.Contact{
			VM:       e.Endpoint.VM,
			At:       s.router.start.Add(at),
			Answered: answered,
		})
	}
	for _, e := range s.byID {
		add(e, e.contact.answered, true)
		add(e, e.contact.failed, false)
	}
	return list
}
