package gateway

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/gossip"
	"carawayrouter.example/router/internal/placement"
)

// send sends an update when something changed, and from time to time.
func (p *peers) send(ctx context.Context) error {
	timer := time.NewTimer(updateEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.dirty:
		case <-timer.C:
		}
		waiting, fleet := p.publish(false)
		next := updateEvery
		if waiting {
			next = updateWaiting
		}
		timer.Reset(next)
		gap := updateGap
		if fleet > directFleet {
			gap = relayEvery
		}
		pause(ctx, gap)
	}
}

// relays sends the batches of a relay.
func (p *peers) relays(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.relay:
		}
		p.flush(time.Now())
		pause(ctx, relayEvery)
	}
}

// publish sends the instance's update to all others, or in a large fleet to the relay of
// the data centre.
func (p *peers) publish(leaving bool) (waiting bool, fleet int) {
	n := p.compose()
	n.Leaving = leaving
	p.mu.Lock()
	secret := p.secret
	p.sequence++
	n.Sequence = p.sequence
	fleet = len(p.known) + 1
	to, asRelay := p.receivers(time.Now(), fleet)
	p.mu.Unlock()
	if secret == nil {
		return false, fleet
	}
	b, err := gossip.Encode(n, secret)
	if err != nil {
		p.log.Error(err, "update.not_sent")
		return false, fleet
	}
	if asRelay {
		p.pass(relayed{instance: n.Instance, datagram: b, onward: true})
	}
	for _, addr := range to {
		// A datagram that is not sent counts as lost; the next one mends it.
		_, _ = p.conn.WriteToUDPAddrPort(b, addr)
	}
	return len(n.Waiting) > 0, fleet
}

// receivers returns where an update goes, and whether this instance is the relay itself. The
// caller holds the lock.
func (p *peers) receivers(now time.Time, fleet int) (to []netip.AddrPort, asRelay bool) {
	if fleet > directFleet {
		m, ok := chooseRelay(now, p.byDataCentre()[p.self.DataCentre])
		if ok && !m.self && m.addr.IsValid() {
			to = append(to, m.addr)
		}
		return to, m.self
	}
	for _, x := range p.known {
		if x.addr.IsValid() && !x.leaving {
			to = append(to, x.addr)
		}
	}
	return to, false
}

// compose gathers what the instance holds.
func (p *peers) compose() *gossip.Update {
	s := p.s
	n := &gossip.Update{
		Instance:      s.settings.Instance,
		Incarnation:   p.self.Incarnation,
		Up:            time.Since(p.started).Milliseconds(),
		Address:       p.self.State,
		Configuration: s.state.Current().Ticket,
		Directory:     s.state.directoryVersion(),
	}
	s.admission.peek(func(now time.Time, places *placement.Scheduler, queue *placement.Queue) {
		places.EachEndpointLoad(func(endpoint string, reading int, runs []placement.Generation) {
			h := gossip.Hold{Endpoint: endpoint, Reading: reading}
			for _, r := range runs {
				h.Runs = append(h.Runs, gossip.Run{Prompt: r.Prompt, Output: r.PlannedOutput, Done: r.Generated, Age: gossip.Ago(now, r.AsOf)})
			}
			n.Holds = append(n.Holds, h)
		})
		places.EachEjected(now, func(endpoint string, left time.Duration) {
			n.Ejected = append(n.Ejected, gossip.Ejection{Endpoint: endpoint, Left: left.Milliseconds()})
		})
		for _, w := range queue.Waiters() {
			n.Waiting = append(n.Waiting, gossip.Waiting{
				Pool: w.Demand.Pool, Prompt: w.Demand.Prompt, Output: w.Demand.ExpectedOutput, Generated: w.Demand.Generated,
				Age: gossip.Ago(now, w.Arrived), Due: -gossip.Ago(now, w.Due), Urgency: w.Priority,
			})
		}
	})
	s.quotaMu.Lock()
	for account, tokens := range s.quota.Usage(time.Now()) {
		n.Spent = append(n.Spent, gossip.Spending{Account: account, Tokens: tokens})
	}
	s.quotaMu.Unlock()
	return n
}

// receive takes the others' updates.
func (p *peers) receive(ctx context.Context) error {
	buf := make([]byte, datagramBytes)
	for {
		size, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			pause(ctx, retryLeast)
			continue
		}
		p.mu.Lock()
		secret := p.secret
		p.mu.Unlock()
		if secret == nil {
			continue
		}
		if err := p.open(bytes.Clone(buf[:size]), secret, from); err != nil {
			p.s.stats.updatesRefused.Inc()
			p.log.Info("update.refused", "from", from.String(), "cause", err.Error())
		}
	}
}

// open takes one datagram.
func (p *peers) open(b, secret []byte, from netip.AddrPort) error {
	n, batch, err := gossip.Open(b, secret)
	if err != nil {
		return err
	}
	now := time.Now()
	if n != nil {
		if p.take(now, n, from, true) && p.large() {
			p.pass(relayed{instance: n.Instance, datagram: b, onward: true})
		}
		return nil
	}
	p.heardRelay(now, batch.Relay)
	for _, d := range batch.Datagrams {
		n, _, err := gossip.Open(d, secret)
		if err != nil || n == nil {
			return errors.Wrap(err, "relayed updates")
		}
		if p.take(now, n, netip.AddrPort{}, false) && batch.Onward {
			p.pass(relayed{instance: n.Instance, datagram: d})
		}
	}
	return nil
}

// large reports whether the fleet's updates go through relays.
func (p *peers) large() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.known)+1 > directFleet
}

func (p *peers) heardRelay(now time.Time, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if x := p.known[name]; x != nil {
		x.direct = now
	}
}

// take applies an update of another instance and reports whether it was new. A direct one
// came from the instance itself, at address from.
func (p *peers) take(now time.Time, n *gossip.Update, from netip.AddrPort, direct bool) bool {
	if n.Instance == p.s.settings.Instance {
		return false
	}
	p.mu.Lock()
	x := p.known[n.Instance]
	joined := x == nil
	if joined {
		x = &peer{}
		p.known[n.Instance] = x
	}
	if x.update != nil && !x.update.Before(n) {
		p.mu.Unlock()
		return false
	}
	if x.update == nil || x.update.Incarnation != n.Incarnation {
		p.log.Info("instance.heard", "instance", n.Instance, "incarnation", n.Incarnation)
	}
	joined = joined || x.leaving != n.Leaving
	x.update, x.heard, x.leaving = n, now, n.Leaving
	if direct {
		x.direct, x.addr = now, from
	}
	x.row.State = n.Address
	names := p.names()
	p.mu.Unlock()

	spent := make(map[string]int, len(n.Spent))
	for _, s := range n.Spent {
		spent[s.Account] = s.Tokens
	}
	p.s.quotaMu.Lock()
	if joined {
		p.s.quota.SetPeers(names)
	}
	p.s.quota.UpdatePeer(now, n.Instance, n.Incarnation, time.Duration(n.Up)*time.Millisecond, spent)
	p.s.quotaMu.Unlock()
	p.s.admission.with(func(now time.Time, s *placement.Scheduler) { s.SetPeer(n.Instance, remoteOf(now, n)) })
	return true
}

// remoteOf turns an update into what the scheduler keeps of another instance.
func remoteOf(now time.Time, n *gossip.Update) *placement.PeerState {
	r := &placement.PeerState{UpdatedAt: now, Generations: map[string][]placement.Generation{}, PrefillTokens: map[string]int{}}
	ago := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	for _, h := range n.Holds {
		if h.Reading > 0 {
			r.PrefillTokens[h.Endpoint] = h.Reading
		}
		for _, run := range h.Runs {
			r.Generations[h.Endpoint] = append(r.Generations[h.Endpoint], placement.Generation{Prompt: run.Prompt, PlannedOutput: run.Output, Generated: run.Done, AsOf: ago(run.Age)})
		}
	}
	if len(n.Ejected) > 0 {
		r.EjectedUntil = map[string]time.Time{}
	}
	for _, e := range n.Ejected {
		r.EjectedUntil[e.Endpoint] = now.Add(time.Duration(e.Left) * time.Millisecond)
	}
	for _, w := range n.Waiting {
		r.Waiters = append(r.Waiters, &placement.Waiter{
			Demand:  placement.Demand{Pool: w.Pool, Prompt: w.Prompt, MaxOutput: w.Output, Generated: w.Generated},
			Arrived: ago(w.Age), Due: ago(-w.Due), Priority: w.Urgency,
		})
	}
	return r
}
