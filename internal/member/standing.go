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

// lastHeard returns when the store or a peer was heard last. The caller holds mu.
func (c *Controller) lastHeard() time.Time {
	if c.heardPeer.After(c.heardStore) {
		return c.heardPeer
	}
	return c.heardStore
}

// checkLapse notes a silence so long that others may have begun to judge this
// session. The caller holds mu and calls it before heardStore or heardPeer changes.
func (c *Controller) checkLapse(now time.Time) {
	if c.lapsed || c.self.Epoch == 0 {
		return
	}
	if elapsed(c.lastHeard(), now) > c.opts.LapseAfter {
		c.lapsed = true
		c.nextRenew = now
		c.opts.Events.Add(event.Event{Kind: "member.lapsed"})
	}
}

// noteStore records a successful renewal that was started at the given time.
func (c *Controller) noteStore(start time.Time) {
	c.checkLapse(c.opts.Clock.Now())
	if start.After(c.heardStore) {
		c.heardStore = start
	}
	// The session was not expired before the renewal, which lets nobody expire it
	// for another DeadAfter.
	if elapsed(start, c.opts.Clock.Now()) <= c.opts.LapseAfter {
		c.lapsed = false
	}
}

// notePeer records an exchange with a registered peer of the data centre that was
// started at the given time. What is counted is the start: an answer that was
// buffered while this process was paused proves nothing about the present.
func (c *Controller) notePeer(start time.Time) {
	c.checkLapse(c.opts.Clock.Now())
	if start.After(c.heardPeer) {
		c.heardPeer = start
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
	return elapsed(c.lastHeard(), c.opts.Clock.Now()) > c.opts.IsolateAfter
}

// ActiveEpoch reports whether this process may act as home of what the table gives to
// its session, and the session's epoch.
//
// Invariant: while it returns true, no instance has recorded the death of this
// session. See docs/design/membership.md for the argument.
func (c *Controller) ActiveEpoch() (epoch uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.sound() || c.isolated() {
		return 0, false
	}
	return c.self.Epoch, true
}

// sound reports whether this session is registered and neither released, fenced nor
// lapsed. The caller holds mu.
func (c *Controller) sound() bool {
	if c.self.Epoch == 0 || c.left || c.isFenced() {
		return false
	}
	c.checkLapse(c.opts.Clock.Now())
	return !c.lapsed
}
