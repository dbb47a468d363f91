package dispatch

import (
	"context"
	"maps"
	"slices"
	"sync"

	"carawayrouter.example/router/internal/evacuation"
	"carawayrouter.example/router/internal/peer"
	"carawayrouter.example/router/internal/platform"
)

// listPlace returns the place whose dispatcher reads the platform's list for its data
// centre.
func listPlace(dataCentre string) Place { return Place{Pool: "\x00list", DataCentre: dataCentre} }

// leavingList follows the leaving endpoints in the platform's list, and those of evacuated data centres,
// which get no new work either. One instance of each data centre reads the list and the operator's rows; the
// others ask it for the addresses only, which are few.
type leavingList struct {
	node *Node

	evacuated []string // data centres, as last read; used by update only

	mu    sync.Mutex
	addrs map[string]bool
}

// Leaving implements pool.LeavingSource.
func (l *leavingList) Leaving() map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addrs
}

// update refreshes the leaving addresses. The known addresses are kept if the instance
// to ask cannot be reached.
func (l *leavingList) update(ctx context.Context) {
	n := l.node
	addr, ok := n.dispatcherAddr(listPlace(n.self().DataCentre))
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if addr == n.self().Addr {
		l.readList(ctx)
		return
	}
	var reply LeavingReply
	if err := n.opts.Caller.Call(peer.Idempotent(ctx), addr, methodLeaving, &Empty{}, &reply); err != nil {
		n.markSuspect(addr)
		return
	}
	l.set(reply.Addrs)
}

// readList reads the leaving addresses from the platform's list.
func (l *leavingList) readList(ctx context.Context) {
	all, err := l.node.opts.Instances.List(ctx)
	if err != nil {
		return
	}
	var addrs []string
	for _, i := range all {
		if i.State == platform.Leaving {
			addrs = append(addrs, i.Addr)
		}
	}
	l.set(append(addrs, l.evacuatedAddrs(ctx)...))
}

// evacuatedAddrs returns the addresses of the endpoints in evacuated data centres. What was read last holds
// while the table cannot be read.
func (l *leavingList) evacuatedAddrs(ctx context.Context) (addrs []string) {
	n := l.node
	if n.opts.Table == nil {
		return nil
	}
	if names, err := (evacuation.Rows{Table: n.opts.Table}).List(ctx); err == nil {
		if !slices.Equal(names, l.evacuated) {
			n.opts.Logger.Info("evacuated data centres have changed", "evacuated", names, "before", l.evacuated)
		}
		l.evacuated = names
	}
	for _, ep := range n.opts.Config.Current().Endpoints {
		if slices.Contains(l.evacuated, ep.DataCentre) {
			addrs = append(addrs, ep.Addr)
		}
	}
	return addrs
}

// Running returns the number of requests of this instance that run at the endpoints of a data centre.
func (n *Node) Running(dataCentre string) (running int) {
	eps := n.opts.Config.Current().Endpoints
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, t := range n.tracked {
		if t.held == nil {
			continue
		}
		if ep := eps[t.held.Decode]; ep != nil && ep.DataCentre == dataCentre {
			running++
		}
	}
	return running
}

func (l *leavingList) set(addrs []string) {
	m := make(map[string]bool, len(addrs))
	for _, a := range addrs {
		m[a] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addrs = m
}

// list returns the leaving addresses, sorted.
func (l *leavingList) list() []string {
	return slices.Sorted(maps.Keys(l.Leaving()))
}
