package member

import (
	"context"
)

// Handler answers peers' calls; register it under ServiceName.
type Handler struct{ service *Service }

// Handler returns the receiver to register with a peer server.
func (s *Service) Handler() *Handler { return &Handler{service: s} }

// Exchange answers a heartbeat.
func (h *Handler) Exchange(request *Request, reply *Reply) error {
	s := h.service
	now := s.cfg.Now()
	asker := request.Digest.Ask
	s.mu.Lock()
	s.liveness.ObserveDigest(request.Digest, now)
	s.mu.Unlock()
	reply.Exchange = request.Exchange
	if request.Digest.Flags&flagAsks != 0 {
		reply.Granted = s.granter.Answer(asker, now)
		s.countAnswer(reply.Granted)
	}
	reply.Digest = s.digest(now)
	return nil
}

// countAnswer counts grants given and refused.
func (s *Service) countAnswer(granted bool) {
	if granted {
		s.vars.Add("grants_given", 1)
		return
	}
	s.vars.Add("grants_refused", 1)
}

// ContactList is the argument and the answer of Contacts. The first contact
// is the sender.
type ContactList struct {
	_        struct{} `cbor:",toarray"`
	Contacts []Contact
}

// Contacts swaps entry addresses of all data centres.
func (h *Handler) Contacts(told *ContactList, reply *ContactList) error {
	s := h.service
	now := s.cfg.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contacts.learn(told.Contacts, now)
	reply.Contacts = s.contacts.tell(s.cfg.Random, now)
	return nil
}

// swapContacts swaps contacts with a random one, or with a seed.
func (s *Service) swapContacts(ctx context.Context) {
	address, told := s.contactsFor()
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.callTime())
	defer cancel()
	var reply ContactList
	if err := s.cfg.Caller.Call(ctx, address, methodContacts, &told, &reply); err != nil {
		s.vars.Add("contact_failures", 1)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contacts.learn(reply.Contacts, s.cfg.Now())
}

// contactsFor picks whom to swap contacts with and what to tell. Seeds stay
// among the choice, so that a healed partition is noticed.
func (s *Service) contactsFor() (address string, told ContactList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	choice := s.contacts.pick(s.cfg.Random, 1)
	for _, seed := range s.cfg.Seeds {
		if seed != s.cfg.Address {
			choice = append(choice, seed)
		}
	}
	if len(choice) == 0 {
		return "", told
	}
	address = choice[s.cfg.Random.IntN(len(choice))]
	told.Contacts = s.contacts.tell(s.cfg.Random, s.cfg.Now())
	return address, told
}
