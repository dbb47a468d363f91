package member

import (
	"time"

	"carawayrouter.example/router/internal/event"
)

// elapsed returns the time from a to b by whichever of the monotonic and the wall
// clock saw more of it: a suspended machine may stop the monotonic clock.
func elapsed(a, b time.Time) time.Duration {
	return max(b.Sub(a), b.Round(0).Sub(a.Round(0)))
}

// lastContact returns when the store or a peer was heard last. The caller holds mu.
func (c *Controller) lastContact() time.Time {
	if c.lastPeerContact.After(c.lastRenewal) {
		return c.lastPeerContact
	}
	return c.lastRenewal
}

// checkLapse notes a silence so long that others may have begun to judge this
// session. The caller holds mu and calls it before heardStore or heardPeer changes.
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
	// The session was not expired before the renewal, which lets nobody expire it
	// for another DeadAfter.
	if elapsed(start, c.opts.Clock.Now()) <= c.opts.LapseAfter {
		c.lapsed = false
	}
}

// recordPeerContact records an exchange with a registered peer of the data centre that was
// started at the given time. What is counted is the start: an answer that was
// buffered while this process was paused proves nothing about the present.
func (c *Controller) recordPeerContact(start time.Time) {
	c.checkLapse(c.opts.Clock.Now())
	if start.After(c.lastPeerContact) {
		c.lastPeerContact = start
	}
}

// Isolated reports whether neither the store nor any peer of the data centre was
// heard for IsolateAfter. A process that was paused for that long is isolated until
// it hears one again.
func (c *Controller) Isolated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isolated()
}

func (c *Controller) isolated() bool {
	return elapsed(c.lastContact(), c.opts.Clock.Now()) > c.opts.IsolateAfter
}

// ActiveEpoch reports whether this process may act as home of what the table gives to
// its session, and the session's epoch.
//
// Invariant: while it returns true, no instance has recorded the death of this
// session. See docs/design/membership.md for the argument.
func (c *Controller) ActiveEpoch() (epoch uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.sessionValid() || c.isolated() {
		return 0, false
	}
	return c.self.Epoch, true
}

// sessionValid reports whether this session is registered and neither released, fenced nor
// lapsed. The caller holds mu.
func (c *Controller) sessionValid() bool {
	if c.self.Epoch == 0 || c.left || c.isFenced() {
		return false
	}
	c.checkLapse(c.opts.Clock.Now())
	return !c.lapsed
}
