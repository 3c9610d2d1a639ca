package member

import (
	"context"
)

// Handler answers calls from peers. It is registered under ServiceName.
type Handler struct{ service *Service }

// Handler returns the receiver to register with a peer server.
func (s *Service) Handler() *Handler { return &Handler{service: s} }

// Exchange answers a heartbeat.
func (h *Handler) Exchange(request *Request, reply *Reply) error {
	s := h.service
	now := s.cfg.Now()
	ask := request.Digest.Ask
	s.mu.Lock()
	s.liveness.ObserveDigest(request.Digest, now)
	s.mu.Unlock()
	reply.Exchange = request.Exchange
	if request.Digest.Flags&flagWantsGrant != 0 {
		reply.Granted = s.granter.HandleGrantRequest(ask, now)
		s.countAnswer(reply.Granted)
	}
	reply.Digest = s.digest(now)
	return nil
}

// countAnswer counts a grant that was given or refused.
func (s *Service) countAnswer(granted bool) {
	if granted {
		s.vars.Add("grants_given", 1)
		return
	}
	s.vars.Add("grants_refused", 1)
}

// ContactList is the argument and the result of Handler.Contacts. The first contact is
// the sender.
type ContactList struct {
	_        struct{} `cbor:",toarray"`
	Contacts []Contact
}

// Contacts exchanges the entry addresses of all data centres.
func (h *Handler) Contacts(request *ContactList, reply *ContactList) error {
	s := h.service
	now := s.cfg.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contacts.merge(request.Contacts, now)
	reply.Contacts = s.contacts.sample(s.cfg.Random, now)
	return nil
}

// exchangeContacts exchanges contacts with a random contact or a seed.
func (s *Service) exchangeContacts(ctx context.Context) {
	address, request := s.prepareContacts()
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.callTimeout())
	defer cancel()
	var reply ContactList
	if err := s.cfg.Caller.Call(ctx, address, methodContacts, &request, &reply); err != nil {
		s.vars.Add("contact_failures", 1)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contacts.merge(reply.Contacts, s.cfg.Now())
}

// prepareContacts chooses the address to exchange contacts with and the contacts to send.
// Seeds always remain candidates, so that the end of a network partition is noticed.
func (s *Service) prepareContacts() (address string, request ContactList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := s.contacts.pick(s.cfg.Random, 1)
	for _, seed := range s.cfg.Seeds {
		if seed != s.cfg.Address {
			candidates = append(candidates, seed)
		}
	}
	if len(candidates) == 0 {
		return "", request
	}
	address = candidates[s.cfg.Random.IntN(len(candidates))]
	request.Contacts = s.contacts.sample(s.cfg.Random, s.cfg.Now())
	return address, request
}
