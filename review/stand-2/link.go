package main

import (
	"io"
	"net"
	"sync"
)

// link passes on the channels of one instance to the store. While it is cut, it resets them.
type link struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]struct{}
}

func newLink(target string) (*link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{ln: ln, target: target, conns: map[net.Conn]struct{}{}}
	go l.serve()
	return l, nil
}

func (l *link) addr() string { return l.ln.Addr().String() }

func (l *link) close() {
	_ = l.ln.Close()
	l.setCut(true)
}

// setCut cuts the link, or heals it.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if cut {
		for nc := range l.conns {
			reset(nc)
		}
	}
}

// reset closes a channel with a reset.
func reset(nc net.Conn) {
	if tc, ok := nc.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = nc.Close()
}

func (l *link) serve() {
	for {
		nc, err := l.ln.Accept()
		if err != nil {
			return
		}
		go l.pass(nc)
	}
}

func (l *link) pass(nc net.Conn) {
	to, err := net.Dial("tcp", l.target)
	if err != nil {
		reset(nc)
		return
	}
	l.mu.Lock()
	if l.cut {
		l.mu.Unlock()
		reset(nc)
		_ = to.Close()
		return
	}
	l.conns[nc], l.conns[to] = struct{}{}, struct{}{}
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() {
		_, _ = io.Copy(to, nc)
		_ = to.Close()
	})
	wg.Go(func() {
		_, _ = io.Copy(nc, to)
		_ = nc.Close()
	})
	wg.Wait()
	l.mu.Lock()
	delete(l.conns, nc)
	delete(l.conns, to)
	l.mu.Unlock()
}
