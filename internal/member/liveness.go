package member

import (
	"time"

	"carawayrouter.example/router/internal/event"
)

// elapsed returns the time from a to b, by the monotonic or the wall clock, whichever
// shows more: the monotonic clock may stop while the machine is suspended.
func elapsed(a, b time.Time) time.Duration {
	return max(b.Sub(a), b.Round(0).Sub(a.Round(0)))
}

// lastContact returns the time of the last contact with the store or a peer. The caller
// holds mu.
func (c *Controller) lastContact() time.Time {
	if c.lastPeerContact.After(c.lastRenewal) {
		return c.lastPeerContact
	}
	return c.lastRenewal
}

// checkLapse marks the session as lapsed after a silence so long that other instances
// may have started to expire it. The caller holds mu and calls it before lastRenewal or
// lastPeerContact changes.
func (c *Controller) checkLapse(now time.Time) {
	if c.lapsed || c.self.Epoch == 0 {
		return
	}
	if elapsed(c.lastContact(), now) > c.opts.LapseAfter {
		c.lapsed = true
		c.nextRenew = now
		c.opts.Events.Add(event.Event{Kind: "member.lapsed"})
	}
}

// recordRenewal records a successful renewal that was started at the given time.
func (c *Controller) recordRenewal(start time.Time) {
	c.checkLapse(c.opts.Clock.Now())
	if start.After(c.lastRenewal) {
		c.lastRenewal = start
	}
	// The renewal succeeded, so the session had not expired, and no instance may expire
	// it for another DeadAfter.
	if elapsed(start, c.opts.Clock.Now()) <= c.opts.LapseAfter {
		c.lapsed = false
	}
}

// recordPeerContact records an exchange with a registered peer of the data centre. It
// takes the time of the request, not of the response: a response that was buffered
// while this process was paused proves nothing about the present.
func (c *Controller) recordPeerContact(start time.Time) {
	c.checkLapse(c.opts.Clock.Now())
	if start.After(c.lastPeerContact) {
		c.lastPeerContact = start
	}
}

// Isolated reports whether there was no contact with the store or any peer of the data
// centre for IsolateAfter. A process that was paused for that long is isolated until
// its next contact.
func (c *Controller) Isolated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isolated()
}

func (c *Controller) isolated() bool {
	return elapsed(c.lastContact(), c.opts.Clock.Now()) > c.opts.IsolateAfter
}

// ActiveEpoch returns the session's epoch and whether this process may act as home of
// the shards that the store assigns to the session.
//
// Invariant: while it returns true, no instance has deleted the row of this session as
// expired. See docs/design/membership.md for the argument.
func (c *Controller) ActiveEpoch() (epoch uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.sessionValid() || c.isolated() {
		return 0, false
	}
	return c.self.Epoch, true
}

// sessionValid reports whether this session is registered and neither released, fenced
// nor lapsed. The caller holds mu.
func (c *Controller) sessionValid() bool {
	if c.self.Epoch == 0 || c.left || c.isFenced() {
		return false
	}
	c.checkLapse(c.opts.Clock.Now())
	return !c.lapsed
}
