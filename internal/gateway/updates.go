package gateway

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/gossip"
	"carawayrouter.example/router/internal/limit/window"
	"carawayrouter.example/router/internal/placement"
	"carawayrouter.example/router/internal/scarcity"
)

// sendLoop sends an update whenever something changes, and periodically.
func (p *peers) sendLoop(ctx context.Context) error {
	timer := time.NewTimer(updateInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.updateNeeded:
		case <-timer.C:
		}
		queued, fleet := p.sendUpdate(false)
		next := updateInterval
		if queued {
			next = queuedUpdateInterval
		}
		timer.Reset(next)
		gap := minUpdateGap
		if fleet > maxDirectFleet {
			gap = relayInterval
		}
		sleepJitter(ctx, gap)
	}
}

// relayLoop sends the batches of a relay.
func (p *peers) relayLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.relayNeeded:
		}
		p.flushRelay(time.Now())
		sleepJitter(ctx, relayInterval)
	}
}

// sendUpdate sends the instance's update to all others, or in a large fleet to the relay of the
// data centre.
func (p *peers) sendUpdate(leaving bool) (queued bool, fleet int) {
	u := p.buildUpdate()
	u.Leaving = leaving
	p.mu.Lock()
	secret := p.secret
	p.sequence++
	u.Sequence = p.sequence
	fleet = len(p.known) + 1
	to, asRelay := p.destinations(time.Now(), fleet)
	p.mu.Unlock()
	if secret == nil {
		return false, fleet
	}
	if asRelay {
		to[gossip.CurrentForm] = nil // for the batch
	}
	for form, addrs := range to {
		b, err := gossip.EncodeForm(u, form, secret)
		if err != nil {
			p.log.Error(err, "update.not_sent")
			return false, fleet
		}
		if asRelay {
			p.enqueueRelay(relayedUpdate{instance: u.Instance, datagram: b, form: form, crossDataCentre: true})
		}
		for _, addr := range addrs {
			// A datagram that cannot be sent counts as lost; the next one makes up for it.
			_, _ = p.conn.WriteToUDPAddrPort(b, addr)
		}
	}
	return len(u.Queued) > 0, fleet
}

// latestFormTime is how long an instance whose build does not tell its form is sent the latest that it may have, and
// only that: one that reads it answers at once, as the sender is new to it.
const latestFormTime = relayTransit

// formsFor returns the forms in which another instance is sent updates. One whose build does not tell its form and
// that is not heard is sent all that it may have; it refuses one of them.
func (x *peer) formsFor(now time.Time) []gossip.Form {
	switch {
	case x.form != 0:
		return []gossip.Form{min(x.form, gossip.CurrentForm)}
	case x.row.Form != 0 || x.row.Updates == "":
		return []gossip.Form{gossip.CurrentForm}
	case now.Sub(x.foundAt) < latestFormTime:
		return []gossip.Form{gossip.FormLeaving}
	}
	return []gossip.Form{gossip.FormLeaving, gossip.FormSoftware}
}

// destinations returns where an update is sent in which form, and whether this instance is the relay itself.
// The caller holds the lock.
func (p *peers) destinations(now time.Time, fleet int) (to map[gossip.Form][]netip.AddrPort, asRelay bool) {
	to = map[gossip.Form][]netip.AddrPort{}
	if fleet > maxDirectFleet {
		m, ok := chooseRelay(now, p.candidatesByDataCentre(now)[p.self.DataCentre])
		if ok && !m.self {
			m.addTo(to)
		}
		return to, m.self
	}
	for _, x := range p.known {
		if !x.leaving {
			relayCandidate{addr: x.addr, forms: x.formsFor(now)}.addTo(to)
		}
	}
	return to, false
}

// buildUpdate collects the load of this instance.
func (p *peers) buildUpdate() *gossip.Update {
	s := p.s
	u := &gossip.Update{
		Instance:             s.settings.Instance,
		Incarnation:          p.self.Incarnation,
		StateAddr:            p.self.State,
		ConfigurationVersion: s.state.Current().Ticket,
		EndpointsVersion:     s.state.endpointsPosition().order(),
	}
	s.admission.inspect(func(now time.Time, scheduler *placement.Scheduler, queue *placement.Queue) {
		scheduler.EachEndpointLoad(func(endpoint string, prefillTokens int, runs []placement.Generation) {
			load := gossip.EndpointLoad{Endpoint: endpoint, PrefillTokens: prefillTokens}
			for _, r := range runs {
				load.Runs = append(load.Runs, gossip.Run{Prompt: r.Prompt, Output: r.PlannedOutput, Generated: r.Generated, Age: gossip.AgeMillis(now, r.AsOf)})
			}
			u.Loads = append(u.Loads, load)
		})
		scheduler.EachEjected(now, func(endpoint string, remaining time.Duration) {
			u.Ejected = append(u.Ejected, gossip.Ejection{Endpoint: endpoint, Remaining: remaining.Milliseconds()})
		})
		addLimits(now, scheduler, u)
		addLoads(now, scheduler, u)
		addColdTimes(now, scheduler, u)
		for _, d := range scheduler.Demand(now) {
			u.Demand = append(u.Demand, encodeDemand(d))
		}
		for _, w := range queue.Waiters() {
			u.Queued = append(u.Queued, gossip.QueuedRequest{
				Pool: w.Demand.Pool, Prompt: w.Demand.Prompt, Output: w.Demand.ExpectedOutput, Generated: w.Demand.Generated,
				Age: gossip.AgeMillis(now, w.Arrived), StartBy: -gossip.AgeMillis(now, w.Due), Priority: w.Priority,
				SoftwareVersion: w.Demand.SoftwareVersion,
			})
		}
	})
	now := time.Now()
	u.AllLevels = p.hasNewcomer(now)
	s.quotaMu.Lock()
	u.KnownFor = s.quota.KnownFor(now).Milliseconds()
	for _, usage := range s.quota.Usage(now, u.AllLevels) {
		u.Usage = append(u.Usage, encodeUsage(now, usage))
	}
	s.quotaMu.Unlock()
	s.addQuarantine(now, u)
	s.origins.addRecent(now, u)
	u.KnowsQuarantine = s.quarantine.isKnown()
	u.Evacuations = s.exportEvacuations()
	for _, a := range s.state.recentAnnouncements(now) {
		u.EndpointsLeaving = append(u.EndpointsLeaving, gossip.LeavingEndpoint{Endpoint: a.endpoint, Incarnation: a.incarnation})
	}
	return u
}

// receiveLoop receives the updates of other instances.
func (p *peers) receiveLoop(ctx context.Context) error {
	buf := make([]byte, receiveBufferBytes)
	refused := refusalLog{}
	for {
		size, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			sleepJitter(ctx, minRetryDelay)
			continue
		}
		p.mu.Lock()
		secret := p.secret
		p.mu.Unlock()
		if secret == nil {
			continue
		}
		if err := p.handleDatagram(bytes.Clone(buf[:size]), secret, from); err != nil {
			p.s.stats.updatesRefused.Inc()
			if refused.allow(time.Now(), from, err) {
				p.log.Info("update.refused", "from", from.String(), "cause", err.Error())
			}
		}
	}
}

// refusalLog decides which refused datagrams are logged: an instance whose updates cannot be read sends many.
type refusalLog map[refusedFrom]time.Time

type refusedFrom struct {
	from  netip.AddrPort
	cause string
}

const (
	refusalLogInterval = time.Minute // between two lines for the same cause and sender, or the same endpoint
	maxRefusalLog      = 1024        // entries
)

func (l refusalLog) allow(now time.Time, from netip.AddrPort, cause error) bool {
	return allowLine(l, now, refusedFrom{from, cause.Error()})
}

// allowLine decides whether a line about key is written now, and records it: one in refusalLogInterval. If there are too many
// keys, some are logged again.
func allowLine[K comparable](written map[K]time.Time, now time.Time, key K) bool {
	if at, ok := written[key]; ok && now.Sub(at) < refusalLogInterval {
		return false
	}
	if len(written) >= maxRefusalLog {
		clear(written)
	}
	written[key] = now
	return true
}

// handleDatagram decodes and applies one datagram.
func (p *peers) handleDatagram(b, secret []byte, from netip.AddrPort) error {
	u, batch, err := gossip.Decode(b, secret)
	if err != nil {
		return err
	}
	now := time.Now()
	if u != nil {
		u.Size = len(b)
		if p.applyUpdate(now, u, from, true) && p.usesRelays() {
			p.enqueueRelay(relayedUpdate{instance: u.Instance, datagram: b, form: u.Form, crossDataCentre: true})
		}
		return nil
	}
	p.recordRelay(now, batch.Relay)
	var refused error
	for _, d := range batch.Datagrams {
		u, err := gossip.DecodeRelayed(d)
		if err != nil {
			refused = errors.Wrap(err, "decode relayed update") // the others of the batch may be sound
			continue
		}
		u.Size = len(d)
		if p.applyUpdate(now, u, netip.AddrPort{}, false) && batch.Forward {
			p.enqueueRelay(relayedUpdate{instance: u.Instance, datagram: d, form: u.Form})
		}
	}
	return refused
}

// usesRelays reports whether the fleet's updates are sent through relays.
func (p *peers) usesRelays() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.known)+1 > maxDirectFleet
}

func (p *peers) recordRelay(now time.Time, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if x := p.known[name]; x != nil {
		x.lastDirectAt = now
	}
}

// hasRoomFor reports whether an update may be kept. Those of instances whose rows are known are. The caller holds
// the lock.
func (p *peers) hasRoomFor(u *gossip.Update) bool {
	x := p.known[u.Instance]
	if x != nil && x.row.Updates != "" {
		return true
	}
	if x == nil && len(p.known) >= maxInstances {
		return false
	}
	total := u.Size
	for name, x := range p.known {
		if x.row.Updates == "" && x.update != nil && name != u.Instance {
			total += x.update.Size
		}
	}
	return total <= maxUnlistedBytes
}

// applyUpdate applies an update of another instance and reports whether it was new. A direct
// one was sent by the instance itself, from the address from.
func (p *peers) applyUpdate(now time.Time, u *gossip.Update, from netip.AddrPort, direct bool) bool {
	if u.Instance == p.s.settings.Instance {
		return false
	}
	p.mu.Lock()
	if !p.hasRoomFor(u) {
		p.mu.Unlock()
		return false
	}
	x := p.known[u.Instance]
	joined := x == nil
	if joined {
		x = &peer{}
		p.known[u.Instance] = x
		signal(p.rowNeeded)
	}
	if x.update != nil && !x.update.Before(u) {
		p.mu.Unlock()
		return false
	}
	started := x.update == nil || x.update.Incarnation != u.Incarnation
	if started {
		x.form = 0
		p.newcomerAt = now
		p.changes.heard++
		if len(p.known) < maxDirectFleet {
			p.log.Info("instance.heard", "instance", u.Instance, "incarnation", u.Incarnation)
		}
		p.requestUpdate() // it may not have heard this instance yet
	}
	changed := started || joined || x.leaving != u.Leaving
	x.update, x.lastUpdateAt, x.leaving = u, now, u.Leaving
	if u.SentForm != 0 && x.form != u.SentForm {
		x.form = u.SentForm
		if x.form != gossip.CurrentForm {
			p.log.Info("instance.form", "instance", u.Instance, "form", x.form, "own", gossip.CurrentForm)
		}
	}
	if direct {
		x.lastDirectAt, x.addr = now, from
	}
	x.row.State = u.StateAddr
	p.mu.Unlock()

	p.s.era.raise(positionOf(u.EndpointsVersion).Era)
	report := window.Report{Instance: u.Instance, Incarnation: u.Incarnation, KnownFor: time.Duration(u.KnownFor) * time.Millisecond, Complete: u.AllLevels, Usage: make([]window.Usage, len(u.Usage))}
	for i, s := range u.Usage {
		report.Usage[i] = decodeUsage(now, s)
	}
	p.s.quotaMu.Lock()
	p.s.quota.UpdatePeer(now, report, p.s.state.Current().Accounts)
	p.s.quotaMu.Unlock()
	if changed {
		p.s.updateFleet(now)
	}
	if u.KnowsQuarantine {
		p.s.quarantine.setKnown()
	}
	p.s.mergeEvacuations(now, u.Evacuations, u.Instance)
	p.s.mergeQuarantine(now, u)
	p.s.mergeLimits(u)
	p.s.mergeColdTimes(u)
	p.s.mergeLoads(u)
	for _, e := range u.EndpointsLeaving {
		p.s.state.retire(e.Endpoint, e.Incarnation, u.Instance)
	}
	p.s.origins.merge(now, u.Streams, u.Software)
	p.s.admission.withScheduler(func(now time.Time, s *placement.Scheduler) { s.SetPeer(u.Instance, remoteOf(now, u)) })
	return true
}

// remoteOf converts an update to the scheduler's view of another instance.
func remoteOf(now time.Time, u *gossip.Update) *placement.PeerState {
	r := &placement.PeerState{UpdatedAt: now}
	if len(u.Loads) > 0 {
		r.Generations, r.PrefillTokens = map[string][]placement.Generation{}, map[string]int{}
	}
	for _, load := range u.Loads {
		if load.PrefillTokens > 0 {
			r.PrefillTokens[load.Endpoint] = load.PrefillTokens
		}
		for _, run := range load.Runs {
			r.Generations[load.Endpoint] = append(r.Generations[load.Endpoint], placement.Generation{Prompt: run.Prompt, PlannedOutput: run.Output, Generated: run.Generated, AsOf: gossip.TimeOfAge(now, run.Age)})
		}
	}
	if len(u.Ejected) > 0 {
		r.EjectedUntil = map[string]time.Time{}
	}
	for _, e := range u.Ejected {
		r.EjectedUntil[e.Endpoint] = now.Add(time.Duration(e.Remaining) * time.Millisecond)
	}
	for _, w := range u.Queued {
		r.Waiters = append(r.Waiters, &placement.Waiter{
			Demand:  placement.Demand{Pool: w.Pool, Prompt: w.Prompt, MaxOutput: w.Output, Generated: w.Generated, SoftwareVersion: w.SoftwareVersion, Rank: w.Priority},
			Arrived: gossip.TimeOfAge(now, w.Age), Due: gossip.TimeOfAge(now, -w.StartBy), Priority: w.Priority,
		})
	}
	r.Demand = decodeDemand(u.Demand)
	return r
}

// encodeDemand converts a demand for an update.
func encodeDemand(d scarcity.Demand) gossip.RankDemand {
	return gossip.RankDemand{Pool: d.Pool, Rank: d.Rank, Requests: int(d.Requests * 1000), Work: int(d.Work)}
}

// decodeDemand is the inverse of encodeDemand for all of an update, without what cannot be.
func decodeDemand(told []gossip.RankDemand) []scarcity.Demand {
	told = told[:min(len(told), scarcity.MaxTold)]
	var out []scarcity.Demand
	for _, d := range told {
		out = append(out, scarcity.Demand{Pool: d.Pool, Rank: d.Rank, Requests: float64(d.Requests) / 1000, Work: float64(d.Work)})
	}
	return scarcity.Heard(out)
}
