package member

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"carawayrouter.example/router/internal/event"
	"carawayrouter.example/router/internal/peer"
)

const (
	serviceName = "Members"

	// rumourRounds is the number of heartbeat rounds in which a rumour is sent.
	rumourRounds = 8
	// maxRumours bounds the rumours per message.
	maxRumours = 8
	// provisionalTTL is how long an instance without an epoch is kept after it was last
	// heard.
	provisionalTTL = 30 * time.Second
	// maxSeeds bounds the addresses contacted per round while no peer is known.
	maxSeeds = 4
)

var errFenced = errors.New("this session has ended")

// Rumour is a gossiped report of how long ago any instance last heard the named one, as
// far as the sender knows.
type Rumour struct {
	Name  string
	Epoch uint64
	Ago   time.Duration
}

// HeartbeatArgs is a heartbeat request.
type HeartbeatArgs struct {
	From    Session
	Stamp   event.Stamp
	Rumours []Rumour
}

// HeartbeatReply answers a heartbeat.
type HeartbeatReply struct {
	Session Session
	Sound   bool // the session is registered and cannot have been expired
	Stamp   event.Stamp
	Rumours []Rumour
}

// Incarnation identifies one process incarnation of an instance.
type Incarnation struct {
	Name  string
	Epoch uint64
}

// HeardArgs asks when sessions were last heard.
type HeardArgs struct{ Sessions []Incarnation }

// HeardReply answers HeardArgs, in the same order. No duration exceeds the age of the
// answering session, which has no knowledge of an earlier time.
type HeardReply struct{ Ago []time.Duration }

// Service is the peer service "Members".
type Service struct{ c *Controller }

// Heartbeat records a peer's heartbeat and answers with this instance's session.
func (s *Service) Heartbeat(args HeartbeatArgs, reply *HeartbeatReply) error {
	c := s.c
	c.opts.Events.Observe(args.Stamp)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isFenced() || c.left {
		return errFenced
	}
	c.recordHeartbeat(args.From)
	c.mergeRumours(args.Rumours)
	*reply = HeartbeatReply{
		Session: c.self,
		Sound:   c.sessionValid(),
		Stamp:   c.opts.Events.Now(),
		Rumours: c.outgoingRumours(),
	}
	c.publish()
	return nil
}

// Heard returns how long ago this instance last heard the given sessions of its data
// centre.
func (s *Service) Heard(args HeardArgs, reply *HeardReply) error {
	c := s.c
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isFenced() {
		return errFenced
	}
	for _, i := range args.Sessions {
		reply.Ago = append(reply.Ago, c.sinceHeard(i))
	}
	return nil
}

// sinceHeard returns how long this instance has certainly not heard a session. The caller
// holds mu.
func (c *Controller) sinceHeard(i Incarnation) time.Duration {
	last := c.observingSince
	if e := c.known[i.Name]; e != nil && e.session.Epoch == i.Epoch && e.lastHeard.After(last) {
		last = e.lastHeard
	}
	return c.opts.Clock.Now().Sub(last)
}

// recordHeartbeat records that s was heard just now. The caller holds mu.
func (c *Controller) recordHeartbeat(s Session) {
	if s.Name == c.self.Name || s.Name == "" || s.DataCentre != c.self.DataCentre {
		return
	}
	e := c.known[s.Name]
	if e == nil {
		e = &peerState{}
		c.known[s.Name] = e
		c.opts.Events.Add(event.Event{Kind: "member.joined", Detail: s.Name})
	}
	if s.Epoch < e.session.Epoch {
		return // an older incarnation
	}
	if e.session != s {
		e.session = s
		c.changes.set(s)
	}
	if e.suspect {
		c.rumours[s.Name] = rumourRounds
	}
	e.lastHeard, e.suspect = c.opts.Clock.Now(), false
}

// mergeRumours applies the rumours received from a peer. The caller holds mu.
func (c *Controller) mergeRumours(rumours []Rumour) {
	now := c.opts.Clock.Now()
	for _, r := range rumours[:min(len(rumours), maxRumours)] {
		if r.Name == c.self.Name {
			c.rumours[r.Name] = rumourRounds // refuted by sending an age of zero
			continue
		}
		e := c.known[r.Name]
		if e == nil || e.session.Epoch != r.Epoch {
			continue
		}
		at := now.Add(-r.Ago)
		if !at.After(e.lastHeard) {
			continue
		}
		e.lastHeard = at
		if suspect := r.Ago > c.opts.SuspectAfter; suspect != e.suspect {
			e.suspect = suspect
			c.rumours[r.Name] = rumourRounds
		}
	}
}

// outgoingRumours returns the rumours to send to a peer. The caller holds mu.
func (c *Controller) outgoingRumours() []Rumour {
	now := c.opts.Clock.Now()
	var out []Rumour
	for _, name := range slices.Sorted(maps.Keys(c.rumours)) {
		if len(out) == maxRumours {
			break
		}
		if name == c.self.Name {
			out = append(out, Rumour{Name: name, Epoch: c.self.Epoch})
		} else if e := c.known[name]; e != nil {
			out = append(out, Rumour{Name: name, Epoch: e.session.Epoch, Ago: now.Sub(e.lastHeard)})
		}
	}
	return out
}

// heartbeatRound sends heartbeats to the next instance in the data centre's ring and to
// a random one: two calls per round at any size of the fleet. Suspects are not in the
// ring and are reached through the random choice only.
func (c *Controller) heartbeatRound(ctx context.Context) {
	var g errgroup.Group
	for _, addr := range c.heartbeatTargets() {
		g.Go(func() error {
			c.heartbeat(ctx, addr)
			return nil
		})
	}
	_ = g.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updatePeers()
	c.publish()
}

// heartbeatTargets returns the addresses for one round of heartbeats.
func (c *Controller) heartbeatTargets() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ring, all []string
	for _, name := range slices.Sorted(maps.Keys(c.known)) {
		e := c.known[name]
		if e.session.DataCentre != c.self.DataCentre {
			continue
		}
		all = append(all, name)
		if !e.suspect {
			ring = append(ring, name)
		}
	}
	if len(all) == 0 {
		return c.pickSeeds()
	}
	picked := map[string]bool{all[c.opts.Rand.IntN(len(all))]: true}
	if len(ring) > 0 {
		at, _ := slices.BinarySearch(ring, c.self.Name)
		picked[ring[at%len(ring)]] = true
	}
	var out []string
	for _, name := range slices.Sorted(maps.Keys(picked)) {
		out = append(out, c.known[name].session.Addr)
	}
	return out
}

// pickSeeds returns a few random seed addresses, used while no peer is known. The caller
// holds mu.
func (c *Controller) pickSeeds() []string {
	out := slices.DeleteFunc(slices.Clone(c.opts.Seeds), func(a string) bool { return a == c.self.Addr })
	c.opts.Rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), maxSeeds)]
}

// heartbeat exchanges one heartbeat with the instance at addr.
func (c *Controller) heartbeat(ctx context.Context, addr string) {
	c.mu.Lock()
	if c.left || c.isFenced() {
		c.mu.Unlock()
		return
	}
	args := HeartbeatArgs{From: c.self, Stamp: c.opts.Events.Now(), Rumours: c.outgoingRumours()}
	start := c.opts.Clock.Now()
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(peer.Idempotent(ctx), c.opts.CallTimeout)
	defer cancel()
	var reply HeartbeatReply
	if err := c.opts.Caller.Call(ctx, addr, serviceName+".Heartbeat", args, &reply); err != nil {
		return
	}
	c.opts.Events.Observe(reply.Stamp)
	c.mu.Lock()
	defer c.mu.Unlock()
	s := reply.Session
	// Before a session is expired, every peer with a session row is queried. So only the
	// response of such a peer, which knows this registered session, proves that the
	// session has not been expired.
	if reply.Sound && args.From.Epoch > 0 && s.DataCentre == c.self.DataCentre && s.Name != c.self.Name {
		c.recordPeerContact(start)
	}
	c.recordHeartbeat(s)
	c.mergeRumours(reply.Rumours)
}

// updatePeers marks neighbours unheard for SuspectAfter as suspect, ends old rumours
// and removes instances without an epoch that were not heard for provisionalTTL. The
// caller holds mu.
func (c *Controller) updatePeers() {
	now := c.opts.Clock.Now()
	for name, remaining := range c.rumours {
		if remaining <= 1 {
			delete(c.rumours, name)
			continue
		}
		c.rumours[name] = remaining - 1
	}
	for name, e := range c.known {
		if e.session.Epoch == 0 && now.Sub(e.lastHeard) > provisionalTTL {
			delete(c.known, name)
			c.changes.remove(name)
		}
	}
	// Only the neighbours on both sides exchange a heartbeat with this instance in every
	// round.
	for _, name := range c.neighbours() {
		e := c.known[name]
		since := c.neighbourSince[name]
		if e.lastHeard.After(since) {
			since = e.lastHeard
		}
		if now.Sub(since) > c.opts.SuspectAfter {
			e.suspect = true
			c.rumours[name] = rumourRounds
			c.opts.Events.Add(event.Event{Kind: "member.suspect", Detail: name})
		}
	}
}

// neighbours returns the names before and after this one in the ring of the data
// centre, and records when each became a neighbour. The caller holds mu.
func (c *Controller) neighbours() []string {
	var ring []string
	for name, e := range c.known {
		if e.session.DataCentre == c.self.DataCentre && !e.suspect {
			ring = append(ring, name)
		}
	}
	slices.Sort(ring)
	var pair []string
	if len(ring) > 0 {
		at, _ := slices.BinarySearch(ring, c.self.Name)
		pair = []string{ring[(at+len(ring)-1)%len(ring)], ring[at%len(ring)]}
	}
	neighbourSince := map[string]time.Time{}
	for _, name := range pair {
		since, ok := c.neighbourSince[name]
		if !ok {
			since = c.opts.Clock.Now()
		}
		neighbourSince[name] = since
	}
	c.neighbourSince = neighbourSince
	return slices.Compact(pair)
}
