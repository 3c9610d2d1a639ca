package router

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/directory"
)

// contact holds the times of the last answer and the last failed attempt of an
// endpoint; zero means never.
type contact struct {
	lastAnswer  time.Duration
	lastFailure time.Duration
}

// record updates the times from a result. A result that shows neither an
// answer nor a failed attempt, such as an answer that was cut off, changes
// nothing.
func (c *contact) record(now time.Duration, r Result) {
	if r.Err == nil || r.Err.Reason == api.ReasonEndpointRefused {
		c.lastAnswer = now
		return
	}
	switch r.Err.Reason {
	case api.ReasonConnectFailed, api.ReasonAnswerTimeout:
		c.lastFailure = now
	}
}

// Contacts returns the times of the last answer and the last failed attempt of
// each endpoint, in the form that directory.View.ApplyContacts takes.
func (r *Router) Contacts() []directory.Contact {
	var contacts []directory.Contact
	for _, s := range r.allShards() {
		contacts = append(contacts, s.contacts()...)
	}
	return contacts
}

// contacts returns the times of contact with the endpoints of one service.
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
		add(e, e.contact.lastAnswer, true)
		add(e, e.contact.lastFailure, false)
	}
	return list
}
