// Package window limits the tokens of client accounts over a sliding window and all
// instances. Every instance decides alone: it knows its own spending exactly and that of
// the others from their last updates. It is free of sockets; the time is an argument.
package window

import (
	"time"

	"carawayrouter.example/router/internal/config"
)

const (
	slotsPerWindow = 128 // resolution of the window; a slot counts until its last request has left
	// windowMargin is for updates on their way. A request's transit needs none: it counts in
	// a window if it was sent and has arrived there, and it is decided on in between.
	windowMargin = 50 * time.Millisecond
	// peerSilence is how old the last updates of another instance may be. Beyond it the
	// instance is taken to spend its equal share, so that the parts of a fleet that do
	// not hear each other stay within the limit together.
	peerSilence = 1500 * time.Millisecond
	lowestWait  = 200 * time.Millisecond // that a refused caller is told
)

// Limiter keeps the spending of all accounts. It is not safe for concurrent use.
type Limiter struct {
	window   time.Duration
	slack    Slack
	start    time.Time // of this instance; before it, spending is not known
	slot     time.Duration
	accounts map[string]*spending
	peers    map[string]*peer
}

type slot struct {
	start  int64 // in slots since the epoch of time
	tokens int
}

type spending struct {
	slots   []slot
	sum     int
	largest float64 // of the account's generations lately
}

type peer struct {
	heard       time.Time
	incarnation int64
	spent       map[string]int
	started     time.Time
	before      map[string]int // spent by the incarnation before, nil if it is not known
	changed     time.Time      // when the incarnation before was replaced
}

// Slack is what the sum over all instances may lie above the limit.
type Slack struct {
	Fraction float64 // of the limit
	Tokens   float64
}

// New returns a Limiter for a window of the given length. A known start is that of an
// instance that may have spent tokens before, in an incarnation that it knows nothing
// of: it assumes to have spent its share. A zero start is that of a new fleet.
func New(window time.Duration, slack Slack, start time.Time) *Limiter {
	window += windowMargin
	return &Limiter{
		window:   window,
		slack:    slack,
		start:    start,
		slot:     window / slotsPerWindow,
		accounts: map[string]*spending{},
		peers:    map[string]*peer{},
	}
}

func (l *Limiter) index(t time.Time) int64 { return t.UnixNano() / int64(l.slot) }

func (l *Limiter) expire(now time.Time, s *spending) {
	oldest := l.index(now) - slotsPerWindow - 1
	i := 0
	for i < len(s.slots) && s.slots[i].start < oldest {
		s.sum -= s.slots[i].tokens
		i++
	}
	s.slots = s.slots[i:]
}

// Decision is the outcome of one reservation and what decided it, in tokens.
type Decision struct {
	Allowed     bool
	UsedSlack   bool          // allowed above the limit, within the slack
	RetryAfter  time.Duration // when the request would fit, if it was not allowed
	Limit       float64       // of the window
	OwnUsage    int           // spent here
	PeerUsage   float64       // spent or assumed at the other instances
	SilentPeers int           // other instances whose share is assumed
}

// Parts of the slack that are used. The rest covers updates that are late.
const (
	slackPartUsed   = 0.85
	slackTokensUsed = 0.72
)

// RequestKind tells generations and plain calls apart.
type RequestKind int

// The sizes.
const (
	Generation RequestKind = iota // a generation, some thousand tokens
	PlainCall                     // a plain call, some hundred tokens
)

// largestDecay is the part by which the largest generation is forgotten with each one;
// about one in forty of the usual spread of sizes is as large.
const largestDecay = 0.01

// smallPart of the limit is kept for small requests: a flood of generations would leave
// none of the account's lookups, which take a few hundredths of its tokens.
const smallPart = 0.06

// Reserve charges tokens to the account if its limit and the slack allow.
//
// It answers an account that sends several times its usual: once the window is full, all
// that it asks for is refused until its first burst leaves the window. What the slack
// holds is served meanwhile, after the requests that are within their limits.
func (l *Limiter) Reserve(now time.Time, a *config.Account, tokens int, size RequestKind) Decision {
	if a.Rate <= 0 {
		return Decision{Allowed: true}
	}
	limit := a.Rate*(l.window-windowMargin).Seconds() + a.Burst
	s := l.accounts[a.Name]
	if s == nil {
		s = &spending{}
		l.accounts[a.Name] = s
	}
	l.expire(now, s)
	d := Decision{Limit: limit, OwnUsage: s.sum}
	share := limit / float64(len(l.peers)+1)
	d.PeerUsage, d.SilentPeers = l.others(now, a.Name, share)
	d.PeerUsage += l.unknown(now, share)
	heard := float64(len(l.peers)+1-d.SilentPeers) / float64(len(l.peers)+1)
	d.Limit += heard * (slackPartUsed*l.slack.Fraction*limit + slackTokensUsed*l.slack.Tokens)
	need := float64(tokens)
	if size == Generation {
		d.Limit -= min(smallPart*limit, max(0, limit-need))
		// Whatever its size, a generation needs the room of a large one: else the smaller
		// ones take all that becomes free, and a flood leaves the large ones nothing.
		s.largest = max(need, s.largest*(1-largestDecay))
		need = max(need, min(s.largest, d.Limit))
	}
	missing := need + float64(d.OwnUsage) + d.PeerUsage - d.Limit
	if missing <= 0 {
		d.Allowed, d.UsedSlack = true, float64(tokens+d.OwnUsage)+d.PeerUsage > limit
		l.add(now, s, tokens)
		return d
	}
	d.RetryAfter = max(lowestWait, time.Duration(missing/a.Rate*float64(time.Second)))
	return d
}

// unknown returns what this instance may have spent before its start, in an incarnation
// that it knows nothing of: its share, as far as the window still covers it.
func (l *Limiter) unknown(now time.Time, share float64) float64 {
	return share * l.left(now, l.start)
}

// left returns the part of the window before at that a window ending now still covers.
func (l *Limiter) left(now, at time.Time) float64 {
	return max(0, 1-now.Sub(at).Seconds()/l.window.Seconds())
}

func (l *Limiter) add(now time.Time, s *spending, tokens int) {
	at := l.index(now)
	if n := len(s.slots); n > 0 && s.slots[n-1].start == at {
		s.slots[n-1].tokens += tokens
	} else {
		s.slots = append(s.slots, slot{start: at, tokens: tokens})
	}
	s.sum += tokens
}

// Refund gives back tokens of a request that did not run.
func (l *Limiter) Refund(now time.Time, account string, tokens int) {
	s := l.accounts[account]
	if s == nil {
		return
	}
	l.expire(now, s)
	for i := len(s.slots) - 1; i >= 0 && tokens > 0; i-- {
		n := min(tokens, s.slots[i].tokens)
		s.slots[i].tokens -= n
		s.sum -= n
		tokens -= n
	}
}

// others returns what the other instances may have spent.
func (l *Limiter) others(now time.Time, account string, share float64) (sum float64, silent int) {
	for _, p := range l.peers {
		spent := float64(p.spent[account])
		switch {
		case p.before != nil:
			spent += float64(p.before[account]) * l.left(now, p.changed)
		case l.left(now, l.start) > 0:
			// Neither knows what the other spent before.
			spent += share * l.left(now, p.started)
		}
		if now.Sub(p.heard) > peerSilence {
			spent = max(spent, share)
			silent++
		}
		sum += spent
	}
	return sum, silent
}

// Usage returns this instance's own spending in the window.
func (l *Limiter) Usage(now time.Time) map[string]int {
	out := make(map[string]int, len(l.accounts))
	for name, s := range l.accounts {
		l.expire(now, s)
		if s.sum > 0 {
			out[name] = s.sum
		}
	}
	return out
}

// UpdatePeer records the spending that another instance reports, and how long it has run.
func (l *Limiter) UpdatePeer(now time.Time, name string, incarnation int64, up time.Duration, spent map[string]int) {
	p := l.peers[name]
	if p == nil {
		p = &peer{}
		l.peers[name] = p
	}
	if p.incarnation != incarnation {
		p.before, p.changed = p.spent, now
	}
	p.heard, p.started, p.incarnation, p.spent = now, now.Add(-up), incarnation, spent
}

// SetPeers replaces the list of other instances. One that was never heard counts as silent.
func (l *Limiter) SetPeers(names []string) {
	peers := make(map[string]*peer, len(names))
	for _, name := range names {
		if p := l.peers[name]; p != nil {
			peers[name] = p
		} else {
			peers[name] = &peer{}
		}
	}
	l.peers = peers
}
