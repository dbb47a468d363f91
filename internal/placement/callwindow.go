package placement

import "time"

// windowTime is how long calls are held to the window of an endpoint that has turned one away: bursts last for some seconds.
const windowTime = 2 * time.Second

// callWindow bounds the plain calls of this instance in progress at an endpoint that has turned one away, so that the calls which wait here
// are not all sent there as soon as it may have room. It is what the endpoint had of this instance, and grows by one with each
// round of them that ends well. The zero value bounds nothing.
type callWindow struct {
	calls int // 0 for any number
	grown int // calls that ended well since calls changed
	at    time.Time
}

// turnedAway records that the endpoint turned a call away beside the given number in progress.
func (w *callWindow) turnedAway(now time.Time, inProgress int) {
	w.calls, w.grown, w.at = max(1, inProgress), 0, now
}

// ended records that a call has ended well.
func (w *callWindow) ended() {
	if w.calls == 0 {
		return
	}
	if w.grown++; w.grown >= w.calls {
		w.calls, w.grown = w.calls+1, 0
	}
}

// hasRoom reports whether one more call may be sent beside the given number in progress.
func (w *callWindow) hasRoom(now time.Time, inProgress int) bool {
	return w.calls == 0 || now.Sub(w.at) > windowTime || inProgress < w.calls
}
