package service

import "context"

// life is the time between a start of the service and its death.
type life struct {
	ctx   context.Context
	end   context.CancelFunc
	slots chan struct{}
}

func (s *Server) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx, end := context.WithCancel(context.Background())
	s.life = life{ctx: ctx, end: end, slots: make(chan struct{}, s.s.Slots)}
}

func (s *Server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.life.end()
}

// enter takes a slot, if one is free.
func (s *Server) enter() (life, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life.ctx.Err() != nil {
		return s.life, false
	}
	select {
	case s.life.slots <- struct{}{}:
		return s.life, true
	default:
		s.refused++
		return s.life, false
	}
}

func (s *Server) leave(l life) { <-l.slots }
