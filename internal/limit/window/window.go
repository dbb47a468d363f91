// Package window limits the tokens that client accounts use in a sliding window, summed over
// all instances. Every instance decides on its own: it knows its own usage exactly and that
// of the others from their last updates. The package opens no sockets; the current time is
// an argument.
package window

import (
	"time"

	"carawayrouter.example/router/internal/config"
)

const (
	slotsPerWindow = 128 // resolution of the window; a slot counts until its last request leaves the window
	// updateMargin lengthens the window for the time that updates are in transit. The transit
	// of requests needs no margin: a request counts in a window if it was both sent and
	// received in it, and the decision is made between the two.
	updateMargin = 50 * time.Millisecond
	// peerTimeout is the greatest age of the last update of another instance. Beyond it the
	// instance is assumed to use at least its equal share, so that the sides of a network
	// partition stay within the limit together.
	peerTimeout   = 1500 * time.Millisecond
	minRetryAfter = 200 * time.Millisecond // in refusals
)

// Limiter tracks the usage of all accounts. It is not safe for concurrent use.
type Limiter struct {
	window     time.Duration
	slack      Slack
	startedAt  time.Time // start of this instance, before which its usage is unknown; zero for a new fleet
	slotLength time.Duration
	accounts   map[string]*accountUsage
	peers      map[string]*peer
}

type slot struct {
	index  int64 // in slots since the Unix epoch
	tokens int
}

type accountUsage struct {
	slots             []slot
	total             int
	largestGeneration float64 // decaying maximum of the tokens of a generation
}

type peer struct {
	updatedAt     time.Time
	incarnation   int64
	usage         map[string]int
	startedAt     time.Time
	previousUsage map[string]int // of the previous incarnation, nil if unknown
	restartedAt   time.Time      // when the current incarnation was first heard of
}

// Slack is how far the sum over all instances may exceed the limit.
type Slack struct {
	Fraction float64 // of the limit
	Tokens   float64
}

// New returns a Limiter for a window of the given length. A non-zero startedAt means that
// the instance may have used tokens in an earlier incarnation that it has no record of; it
// assumes that it used its share. A zero startedAt means a new fleet.
func New(window time.Duration, slack Slack, startedAt time.Time) *Limiter {
	window += updateMargin
	return &Limiter{
		window:     window,
		slack:      slack,
		startedAt:  startedAt,
		slotLength: window / slotsPerWindow,
		accounts:   map[string]*accountUsage{},
		peers:      map[string]*peer{},
	}
}

func (l *Limiter) slotIndex(t time.Time) int64 { return t.UnixNano() / int64(l.slotLength) }

// expire drops the slots that have left the window.
func (l *Limiter) expire(now time.Time, s *accountUsage) {
	oldest := l.slotIndex(now) - slotsPerWindow - 1
	i := 0
	for i < len(s.slots) && s.slots[i].index < oldest {
		s.total -= s.slots[i].tokens
		i++
	}
	s.slots = s.slots[i:]
}

// Decision is the outcome of one reservation, with the quantities behind it in tokens.
type Decision struct {
	Allowed     bool
	UsedSlack   bool          // allowed above the limit, within the slack
	RetryAfter  time.Duration // time until the request is expected to fit, if it was not allowed
	Limit       float64       // of the window, with the usable slack and without reserves
	OwnUsage    int           // of this instance
	PeerUsage   float64       // known and assumed usage of the other instances, and of this one before its start
	Assumed     float64       // part of PeerUsage that no instance has reported
	SilentPeers int           // other instances whose updates are overdue
}

// These factors limit how much of the slack is used. The rest covers late updates.
const (
	slackFractionFactor = 0.85
	slackTokensFactor   = 0.72
)

// RequestKind distinguishes generations from plain calls.
type RequestKind int

// The kinds of requests.
const (
	Generation RequestKind = iota // a generation, some thousand tokens
	PlainCall                     // a plain call, some hundred tokens
)

// largestGenerationDecay is the fraction by which the recorded largest size decays with
// every generation. With the usual distribution of sizes, about one generation in forty is
// as large as the recorded size.
const largestGenerationDecay = 0.01

// plainCallReserve is the fraction of the limit that is reserved for plain calls. Without it
// a flood of generations starves the account's lookups, which use a few per cent of its
// tokens.
const plainCallReserve = 0.06

// Reserve charges tokens to the account if its limit and the slack allow.
//
// The slack serves an account that sends several times its usual load: once the window is
// full, everything would be refused until the account's first burst leaves the window.
// Requests within the slack are served meanwhile; the Decision marks them, so that they can
// be queued behind requests that are within their limits.
func (l *Limiter) Reserve(now time.Time, a *config.Account, tokens int, kind RequestKind) Decision {
	if a.Rate <= 0 {
		return Decision{Allowed: true}
	}
	limit := a.Rate*(l.window-updateMargin).Seconds() + a.Burst
	s := l.accounts[a.Name]
	if s == nil {
		s = &accountUsage{}
		l.accounts[a.Name] = s
	}
	l.expire(now, s)
	d := Decision{Limit: limit, OwnUsage: s.total}
	share := limit / float64(len(l.peers)+1)
	var reported float64
	d.PeerUsage, reported, d.SilentPeers = l.peerUsage(now, a.Name, share)
	d.PeerUsage += l.assumedOwnUsage(now, share)
	d.Assumed = d.PeerUsage - reported
	reportingFraction := float64(len(l.peers)+1-d.SilentPeers) / float64(len(l.peers)+1)
	d.Limit += reportingFraction * (slackFractionFactor*l.slack.Fraction*limit + slackTokensFactor*l.slack.Tokens)
	need := float64(tokens)
	if kind == Generation {
		d.Limit -= min(plainCallReserve*limit, max(0, limit-need))
		// A generation of any size is admitted only if a large one would fit. Otherwise the
		// small generations of a flood take all the capacity that becomes free, and the
		// large ones are starved.
		s.largestGeneration = max(need, s.largestGeneration*(1-largestGenerationDecay))
		need = max(need, min(s.largestGeneration, d.Limit))
	}
	missing := need + float64(d.OwnUsage) + d.PeerUsage - d.Limit
	if missing <= 0 {
		d.Allowed, d.UsedSlack = true, float64(tokens+d.OwnUsage)+d.PeerUsage > limit
		l.record(now, s, tokens)
		return d
	}
	d.RetryAfter = max(minRetryAfter, time.Duration(missing/a.Rate*float64(time.Second)))
	return d
}

// assumedOwnUsage returns the usage assumed for earlier incarnations of this instance: its
// share, scaled by the part of the window that lies before the start.
func (l *Limiter) assumedOwnUsage(now time.Time, share float64) float64 {
	return share * l.overlap(now, l.startedAt)
}

// overlap returns the fraction of a window ending now that lies before at.
func (l *Limiter) overlap(now, at time.Time) float64 {
	return max(0, 1-now.Sub(at).Seconds()/l.window.Seconds())
}

// record charges tokens to the current slot.
func (l *Limiter) record(now time.Time, s *accountUsage, tokens int) {
	index := l.slotIndex(now)
	if n := len(s.slots); n > 0 && s.slots[n-1].index == index {
		s.slots[n-1].tokens += tokens
	} else {
		s.slots = append(s.slots, slot{index: index, tokens: tokens})
	}
	s.total += tokens
}

// Refund returns the tokens of a request that did not run, newest slots first.
func (l *Limiter) Refund(now time.Time, account string, tokens int) {
	s := l.accounts[account]
	if s == nil {
		return
	}
	l.expire(now, s)
	for i := len(s.slots) - 1; i >= 0 && tokens > 0; i-- {
		n := min(tokens, s.slots[i].tokens)
		s.slots[i].tokens -= n
		s.total -= n
		tokens -= n
	}
}

// peerUsage returns the known and assumed usage of the other instances, the reported part of
// it, and how many of them have overdue updates.
func (l *Limiter) peerUsage(now time.Time, account string, share float64) (sum, reported float64, silentPeers int) {
	for _, p := range l.peers {
		usage := float64(p.usage[account])
		reported += usage
		switch {
		case p.previousUsage != nil:
			usage += float64(p.previousUsage[account]) * l.overlap(now, p.restartedAt)
		case l.overlap(now, l.startedAt) > 0:
			// Neither this instance nor the peer knows the peer's usage before its start:
			// assume its share.
			usage += share * l.overlap(now, p.startedAt)
		}
		if now.Sub(p.updatedAt) > peerTimeout {
			usage = max(usage, share)
			silentPeers++
		}
		sum += usage
	}
	return sum, reported, silentPeers
}

// Usage returns this instance's own usage in the window, by account.
func (l *Limiter) Usage(now time.Time) map[string]int {
	out := make(map[string]int, len(l.accounts))
	for name, s := range l.accounts {
		l.expire(now, s)
		if s.total > 0 {
			out[name] = s.total
		}
	}
	return out
}

// UpdatePeer records the usage and the uptime that another instance reports.
func (l *Limiter) UpdatePeer(now time.Time, name string, incarnation int64, uptime time.Duration, usage map[string]int) {
	p := l.peers[name]
	if p == nil {
		p = &peer{}
		l.peers[name] = p
	}
	if p.incarnation != incarnation {
		p.previousUsage, p.restartedAt = p.usage, now
	}
	p.updatedAt, p.startedAt, p.incarnation, p.usage = now, now.Add(-uptime), incarnation, usage
}

// SetPeers replaces the list of other instances. An instance that has sent no update yet
// counts as silent.
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
