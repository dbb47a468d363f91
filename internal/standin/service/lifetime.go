package service

import "context"

// lifetime is the state between a start of the service and its next crash.
type lifetime struct {
	ctx    context.Context
	cancel context.CancelFunc
	slots  chan struct{}
}

func (s *Server) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	s.lifetime = lifetime{ctx: ctx, cancel: cancel, slots: make(chan struct{}, s.s.Slots)}
}

func (s *Server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lifetime.cancel()
}

// acquireSlot takes a slot if the service is running and a slot is free. The slot belongs
// to the returned lifetime.
func (s *Server) acquireSlot() (lifetime, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lifetime.ctx.Err() != nil {
		return s.lifetime, false
	}
	select {
	case s.lifetime.slots <- struct{}{}:
		return s.lifetime, true
	default:
		s.refused++
		return s.lifetime, false
	}
}

func (s *Server) releaseSlot(l lifetime) { <-l.slots }
