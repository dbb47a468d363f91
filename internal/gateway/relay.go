package gateway

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"carawayrouter.example/router/internal/gossip"
)

const (
	// maxDirectFleet is the largest fleet in which instances send their updates to each other
	// directly. The number of datagrams grows with the square of the fleet; in larger fleets
	// they would take more CPU time than the requests.
	maxDirectFleet = 16
	relayInterval  = 25 * time.Millisecond  // between two batches of a relay; a quarter of a prefill
	directTransit  = 10 * time.Millisecond  // of updates that are sent directly
	relayTransit   = 100 * time.Millisecond // of updates through the relays of two data centres, each with a batch interval
	relayTimeout   = time.Second            // a relay that was not heard for this long is skipped
	relayFallbacks = 3                      // highest-ranked candidates that are used in turn if none was heard recently
)

// updateTransit returns how long updates take in a fleet of the given size.
func updateTransit(fleet int) time.Duration {
	if fleet > maxDirectFleet {
		return relayTransit
	}
	return directTransit
}

// relayCandidate is an instance that may relay updates.
type relayCandidate struct {
	name         string
	rank         int // by link and CPU of the instance; higher is preferred
	lastDirectAt time.Time
	addr         netip.AddrPort
	forms        []gossip.Form // in which it is sent updates
	self         bool
}

// addTo adds the instance to those that are sent updates in its forms.
func (c relayCandidate) addTo(to map[gossip.Form][]netip.AddrPort) {
	if !c.addr.IsValid() {
		return
	}
	for _, form := range c.forms {
		to[form] = append(to[form], c.addr)
	}
}

// chooseRelay returns the relay of a data centre: the highest-ranked instance that was heard
// recently. Instances that hear the same peers choose the same relay. If they choose
// differently, updates still reach all instances, since whoever receives one relays it.
func chooseRelay(now time.Time, members []relayCandidate) (relayCandidate, bool) {
	slices.SortFunc(members, func(a, b relayCandidate) int {
		if a.rank != b.rank {
			return cmp.Compare(b.rank, a.rank)
		}
		return cmp.Compare(a.name, b.name)
	})
	for _, m := range members {
		if m.self || now.Sub(m.lastDirectAt) <= relayTimeout {
			return m, true
		}
	}
	if len(members) == 0 {
		return relayCandidate{}, false
	}
	return members[int(now.UnixNano()/int64(relayTimeout))%min(relayFallbacks, len(members))], true
}

// relayedUpdate is an update that this instance has to relay.
type relayedUpdate struct {
	instance        string
	datagram        []byte
	form            gossip.Form // of the datagram
	crossDataCentre bool        // also send to the relays of other data centres
}

// enqueueRelay adds an update to the next batch; a newer one of the same instance replaces it.
func (p *peers) enqueueRelay(r relayedUpdate) {
	p.mu.Lock()
	p.outbox[r.instance] = r
	p.mu.Unlock()
	signal(p.relayNeeded)
}

// flushRelay sends the enqueued updates in batches.
func (p *peers) flushRelay(now time.Time) {
	p.mu.Lock()
	secret := p.secret
	out := p.outbox
	p.outbox = map[string]relayedUpdate{}
	local, remote := map[gossip.Form][]netip.AddrPort{}, map[gossip.Form][]netip.AddrPort{}
	for dc, members := range p.candidatesByDataCentre(now) {
		if dc == p.s.settings.DataCentre {
			for _, m := range members {
				if !m.self {
					m.addTo(local)
				}
			}
			continue
		}
		if m, ok := chooseRelay(now, members); ok {
			m.addTo(remote)
		}
	}
	p.mu.Unlock()
	if secret == nil || len(out) == 0 {
		return
	}
	for form, to := range local {
		p.sendBatch(p.batch(out, form, false), to, secret)
	}
	for form, to := range remote {
		p.sendBatch(p.batch(out, form, true), to, secret)
	}
}

// batch returns the batch of updates for instances that decode a form. A build that decodes only one drops what
// follows an update of another form.
func (p *peers) batch(updates map[string]relayedUpdate, form gossip.Form, forward bool) *gossip.Batch {
	b := &gossip.Batch{Relay: p.s.settings.Instance, Forward: forward}
	for _, r := range updates {
		if forward && !r.crossDataCentre {
			continue
		}
		if r.form != form {
			converted, err := gossip.ConvertRelayed(r.datagram, form)
			if err != nil {
				p.log.Error(err, "update.not_relayed")
				continue
			}
			r.datagram = converted
		}
		b.Datagrams = append(b.Datagrams, r.datagram)
	}
	return b
}

func (p *peers) sendBatch(b *gossip.Batch, to []netip.AddrPort, secret []byte) {
	if len(b.Datagrams) == 0 {
		return
	}
	datagrams, err := gossip.EncodeBatches(b, secret)
	if err != nil {
		p.log.Error(err, "update.not_relayed")
		return
	}
	for _, d := range datagrams {
		for _, addr := range to {
			// A datagram that cannot be sent counts as lost; the next one makes up for it.
			_, _ = p.conn.WriteToUDPAddrPort(d, addr)
		}
	}
}

// candidatesByDataCentre groups the instances that may relay, including this one. The caller
// holds the lock.
func (p *peers) candidatesByDataCentre(now time.Time) map[string][]relayCandidate {
	out := map[string][]relayCandidate{
		p.self.DataCentre: {{name: p.s.settings.Instance, rank: p.self.Rank, self: true}},
	}
	for name, x := range p.known {
		if !x.leaving {
			out[x.row.DataCentre] = append(out[x.row.DataCentre], relayCandidate{name: name, rank: x.row.Rank, lastDirectAt: x.lastDirectAt, addr: x.addr, forms: x.formsFor(now)})
		}
	}
	return out
}
