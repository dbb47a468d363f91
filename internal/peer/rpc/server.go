package rpc

import (
	"context"
	"crypto/tls"
	"net"
	netrpc "net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Server serves the RPC services of this instance to its peers.
type Server struct {
	opts    Options
	rpc     *netrpc.Server
	traffic Traffic

	mu        sync.Mutex
	closed    bool
	listeners map[net.Listener]struct{}
	codecs    map[*serverCodec]struct{}
	wg        sync.WaitGroup
}

// NewServer returns a Server without any registered services.
func NewServer(o Options) *Server {
	return &Server{
		opts:      o.withDefaults(),
		rpc:       netrpc.NewServer(),
		listeners: map[net.Listener]struct{}{},
		codecs:    map[*serverCodec]struct{}{},
	}
}

// Register implements peer.Registrar.
func (s *Server) Register(name string, rcvr any) error {
	return errors.Wrapf(s.rpc.RegisterName(name, rcvr), "registering peer service %s", name)
}

// Traffic returns the byte counters for all connections of the server.
func (s *Server) Traffic() *Traffic { return &s.traffic }

// Serve accepts connections from ln until Close or Drain is called, and then returns nil.
func (s *Server) Serve(ln net.Listener) error {
	if s.opts.Identity == nil {
		if err := checkPlain(ln.Addr().String()); err != nil {
			return err
		}
	}
	if !s.addListener(ln) {
		return ln.Close()
	}
	for {
		c, err := ln.Accept()
		if err != nil {
			return s.acceptError(err)
		}
		s.mu.Lock()
		if s.closed || len(s.codecs) >= s.opts.MaxConns {
			s.mu.Unlock()
			_ = c.Close()
			continue
		}
		codec, handshake := s.newConn(c)
		s.codecs[codec] = struct{}{}
		s.wg.Add(1)
		s.mu.Unlock()
		go s.serveConn(codec, handshake)
	}
}

func (s *Server) addListener(ln net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.listeners[ln] = struct{}{}
	return true
}

func (s *Server) acceptError(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	return errors.Wrap(err, "accepting peer connections")
}

// newConn wraps an accepted connection. handshake must be called before the first read.
func (s *Server) newConn(c net.Conn) (codec *serverCodec, handshake func() error) {
	setSocketOptions(c, s.opts.TCPUserTimeout)
	instrumented := &instrumentedConn{Conn: c, traffic: &s.traffic}
	id := s.opts.Identity
	if id == nil {
		noCheck := func() error { return nil }
		return newServerCodec(instrumented, s.opts, noCheck), noCheck
	}
	t := tls.Server(instrumented, id.serverConfig())
	handshake = func() error {
		ctx, cancel := context.WithTimeout(context.Background(), s.opts.DialTimeout)
		defer cancel()
		return t.HandshakeContext(ctx)
	}
	return newServerCodec(t, s.opts, id.peerCheck(t)), handshake
}

func (s *Server) serveConn(codec *serverCodec, handshake func() error) {
	defer s.wg.Done()
	defer func() {
		s.mu.Lock()
		delete(s.codecs, codec)
		s.mu.Unlock()
		_ = codec.Close()
	}()
	if err := handshake(); err != nil {
		s.opts.Logger.V(1).Info("peer handshake failed", "remote", codec.conn.RemoteAddr().String(), "error", err.Error())
		return
	}
	s.rpc.ServeCodec(codec)
}

// Close closes the listeners and all connections, and waits for calls in progress.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	for ln := range s.listeners {
		_ = ln.Close()
	}
	for c := range s.codecs {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
	return nil
}

// Drain closes the listeners and waits for the calls in progress, but no longer than
// timeout. Then it closes all connections.
func (s *Server) Drain(timeout time.Duration) error {
	s.mu.Lock()
	s.closed = true
	for ln := range s.listeners {
		_ = ln.Close()
	}
	for c := range s.codecs {
		_ = c.conn.SetReadDeadline(time.Now()) // stops reading; replies can still be written
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(timeout):
	}
	return s.Close()
}
