// Package window limits the tokens that client accounts use in a sliding window, summed over
// all instances. Every instance decides on its own, from its own usage and the last updates of
// the others. The package opens no sockets; the current time is an argument.
//
// An account's limit is a leaky bucket that the whole fleet shares. Its level is the sum of the
// instances' own levels and of what instances that have ended may have used. The bucket drains
// at the account's rate, in proportion to the parts, so that every instance computes the same
// level from its own part and the others' reports.
//
// Invariant: in every window, the tokens granted are at most the drain over the window plus the
// depth of the bucket. It holds across restarts, because an instance that does not know the
// usage before its start assumes that the bucket was full.
package window

import (
	"math"
	"slices"
	"time"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/config"
)

const (
	// updateTimeout is the greatest age of an update of an instance that can be heard. From
	// then on its usage no longer drains here, and until peerTimeout its assumed usage grows to
	// its share.
	updateTimeout = 500 * time.Millisecond
	// peerTimeout is the greatest age of the last update of another instance. Beyond it the
	// instance is assumed to use at least its equal share, so that the sides of a network
	// partition stay within the limit together.
	peerTimeout = 1500 * time.Millisecond
	// rateHeadroom is by how much of its rate a bucket drains faster than that. It makes up for
	// what drains slower because updates are in transit, and is taken from the depth.
	rateHeadroom = 0.02
	// minDepth is the smallest depth of a bucket, as a time at the account's rate. A burst of
	// zero would refuse everything.
	minDepth = time.Second
	// drainInterval is how often an update of another instance drains a bucket; the cost grows
	// with the fleet.
	drainInterval = 10 * time.Millisecond
	// MinRetryAfter is the least time after which a refused caller is told to return.
	MinRetryAfter = 200 * time.Millisecond
)

// Limiter tracks the usage of all accounts. It is not safe for concurrent use.
type Limiter struct {
	window     time.Duration
	slack      Slack
	startedAt  time.Time
	knownSince time.Time     // usage before it is unknown; zero for a new fleet
	transit    time.Duration // of updates; what was granted meanwhile is missing from the known usage
	accounts   map[string]*bucket
	peers      map[string]*peer
	slots      []*peer // nil for a free slot
	fleet      int     // instances that may exist; those that are not in peers count as silent
}

// bucket is an account's usage that has not drained yet, in tokens.
type bucket struct {
	own        float64         // of this instance
	periods    []period        // between the last charges of this instance, in order
	peers      []float64       // of the other instances, by slot
	lines      []line          // who waits at the other instances, by slot
	claims     []*Claim        // of this instance
	returning  []returning     // of this instance
	ended      float64         // of instances that have ended
	unknown    float64         // assumed usage of any instance before knownSince
	account    *config.Account // from which limits were computed
	limits     limits
	updatedAt  time.Time
	empty      bool      // nothing is left but the usage of silent peers
	emptySince time.Time // the last time that it became empty
	// Largest generation of the present period and of the one before it, in tokens. A period
	// lasts a window.
	largest, largestBefore float64
	periodStart            time.Time
}

// limits are the parameters of a bucket.
type limits struct {
	rate   float64 // drain, tokens per second
	window float64 // drain over a window, tokens
	depth  float64 // tokens
}

type peer struct {
	slot        int // index of its usage in all buckets
	updatedAt   time.Time
	incarnation int64
	reported    []*bucket // in the last update
}

// Slack is how far the sum over all instances may exceed the limit.
type Slack struct {
	Fraction float64 // of the limit
	Tokens   float64
}

// Usage is what an instance reports of an account, in tokens that have not drained yet.
type Usage struct {
	Account string
	Own     int
	Level   int // of the whole fleet, as this instance knows it

	Claims    []Claim // of this instance
	Returning int     // of new requests of this instance whose callers were told to return
}

// New returns a Limiter for a window of the given length. A non-zero startedAt means that the
// fleet may have used tokens before, of which this instance has no record; it assumes that all
// buckets were full. A zero startedAt means a new fleet.
func New(window time.Duration, slack Slack, startedAt time.Time) *Limiter {
	return &Limiter{
		window:     window,
		slack:      slack,
		startedAt:  startedAt,
		knownSince: startedAt,
		accounts:   map[string]*bucket{},
		peers:      map[string]*peer{},
	}
}

// SetSlack replaces the slack given to New.
func (l *Limiter) SetSlack(s Slack) { l.slack = s }

// Decision is the outcome of one reservation, with the quantities behind it in tokens.
type Decision struct {
	Allowed     bool
	ChargedAt   time.Time     // for Refund, if it was allowed
	UsedSlack   bool          // above the account's burst, within the slack if it was allowed
	RetryAfter  time.Duration // time until the request is expected to fit, if it was not allowed
	Limit       float64       // usable depth of the bucket
	Needed      float64       // room that the request needs below Limit
	OwnUsage    float64       // of this instance
	PeerUsage   float64       // of the other instances, reported or assumed
	Assumed     float64       // part of PeerUsage that no instance has reported
	SilentPeers int           // other instances whose updates are overdue
	Rate        float64       // at which the bucket drains, per second
	Ahead       float64       // tokens of those that go first
	// Announce is set for a generation that fits, but must be announced to the other instances
	// first, with ReserveAnnounced.
	Announce bool

	missing float64 // room that is missing below Limit
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
	Generation      RequestKind = iota // a generation, some thousand tokens
	PlainCall                          // a plain call, some hundred tokens
	LowerGeneration                    // a generation beside which the account may send some of a better rank to the same pool
)

// betterRankReserve is the part of an account's limit, without the slack, that generations of a lower rank leave free for those of a better
// one, which find room then and are within the limit. The bucket drains as fast, so a flood of the lower rank takes a smaller burst and
// no less a rate.
const betterRankReserve = 0.25

// plainCallReserve is the part of the bucket that is reserved for plain calls, as a fraction of
// the window's limit. Without it a flood of generations starves the account's lookups, which
// use a few per cent of its tokens.
const plainCallReserve = 0.02

// windowLimit returns the tokens that the account may use in a window, without the slack.
func (l *Limiter) windowLimit(a *config.Account) float64 {
	return a.Rate*l.window.Seconds() + a.Burst
}

// limitsOf returns the parameters of an account's bucket: the drain over a window and the depth
// together are the window's limit and the usable slack.
func (l *Limiter) limitsOf(a *config.Account) limits {
	limit := l.windowLimit(a)
	slack := slackFractionFactor*l.slack.Fraction*limit + slackTokensFactor*l.slack.Tokens
	depth := max(a.Burst+slack-rateHeadroom*a.Rate*l.window.Seconds(), a.Rate*minDepth.Seconds())
	drain := limit + slack - depth
	return limits{rate: drain / l.window.Seconds(), window: drain, depth: depth}
}

// Reserve charges tokens to the account if its limit and the slack allow.
//
// The slack serves an account that sends several times its usual load. Requests within the
// slack are marked in the Decision, so that they can be queued behind requests that are within
// their limits.
func (l *Limiter) Reserve(now time.Time, a *config.Account, tokens int, kind RequestKind) Decision {
	if a.Rate <= 0 {
		return Decision{Allowed: true, ChargedAt: now}
	}
	b := l.bucketOf(now, a)
	l.drain(now, b)
	need := float64(tokens)
	present, waiting := 0.0, 0.0
	if kind != PlainCall {
		// A generation of any size is admitted only if a large one would fit. Otherwise the
		// small generations of a flood take all the capacity that becomes free, and the
		// large ones are starved.
		b.observeGeneration(now, l.window, need)
		need = b.generationNeed(tokens)
		present, waiting = l.waitingTokens(now, b)
	}
	d, v := l.examine(now, b, float64(tokens), need, kind)
	d.Ahead = present
	if room := -(d.missing + present); room >= 0 {
		if d.Announce = kind != PlainCall && l.mustAnnounce(now, b, need, room, v); !d.Announce {
			b.charge(now, &d, tokens)
		}
		return d
	}
	if kind != PlainCall {
		d.Ahead = waiting
		l.refuseGeneration(now, b, &d, v, tokens)
		return d
	}
	d.RetryAfter = min(d.expectedWait(v), l.window)
	return d
}

// expectedWait returns the time until the tokens of a request are expected to have drained.
func (d *Decision) expectedWait(v view) time.Duration {
	return max(MinRetryAfter, clock.Seconds((d.missing+d.Ahead)/(d.Rate*v.reporting)))
}

// refuseGeneration sets the time at which the caller of a generation is to return, behind those that
// go first and those that were told to return before.
func (l *Limiter) refuseGeneration(now time.Time, b *bucket, d *Decision, v view, tokens int) {
	d.Ahead += l.returningTokens(now, b)
	d.RetryAfter = min(d.expectedWait(v), l.window)
	b.addReturning(now.Add(d.RetryAfter), float64(tokens))
}

// mustAnnounce reports whether a generation that fits has to be announced first. It has if as many as there
// are instances may arrive within the transit of an update, which the room is not enough for: while the
// demand since a restart of the fleet is unknown, and in a flood.
func (l *Limiter) mustAnnounce(now time.Time, b *bucket, need, room float64, v view) bool {
	others := v.reporting*float64(l.instances()) - 1
	if l.transit == 0 || room >= need*others {
		return false
	}
	return now.Sub(l.knownSince) < l.window || l.returningTokens(now, b) > room
}

// examine compares the bucket with a request of the given tokens that needs room for need.
func (l *Limiter) examine(now time.Time, b *bucket, tokens, need float64, kind RequestKind) (Decision, view) {
	v := l.view(now, b)
	d := Decision{OwnUsage: b.own, PeerUsage: v.level - b.own + v.silentUsage, Assumed: v.assumed, SilentPeers: v.silent, Rate: b.limits.rate}
	credit := 0.0
	if b.empty {
		// A request larger than the bucket needs that much more idle time before it.
		credit = v.reporting * min(b.limits.rate*now.Sub(b.emptySince).Seconds(), b.limits.window)
	}
	usable := b.limits.depth - v.silentUsage + credit
	if kind != PlainCall {
		need = max(tokens, min(need, b.limits.depth-v.silentUsage+v.reporting*b.limits.window))
		usable -= min(plainCallReserve*v.reporting*l.windowLimit(b.account), max(0, usable-need))
	}
	a := b.account
	within := max(a.Burst, a.Rate*minDepth.Seconds())
	if kind == LowerGeneration {
		kept := usable - ((1-betterRankReserve)*within - v.silentUsage + credit)
		usable -= min(max(0, kept), max(0, usable-need))
	}
	level := max(0, v.level)
	d.Limit, d.Needed, d.missing = usable+v.silentUsage, need, need+level-usable
	d.UsedSlack = tokens+level+v.silentUsage > credit+within
	return d, v
}

// charge adds the tokens of a request that is allowed to the bucket.
func (b *bucket) charge(now time.Time, d *Decision, tokens int) {
	d.Allowed, d.ChargedAt = true, now
	b.beginPeriod(now)
	b.own += float64(tokens)
	b.empty = false
}

// observeGeneration records the size of a generation.
func (b *bucket) observeGeneration(now time.Time, period time.Duration, tokens float64) {
	if now.Sub(b.periodStart) > period {
		b.largest, b.largestBefore, b.periodStart = 0, b.largest, now
	}
	b.largest = max(b.largest, tokens)
}

// generationNeed returns the room that a generation of the given tokens needs.
func (b *bucket) generationNeed(tokens int) float64 {
	return max(float64(tokens), b.largest, b.largestBefore)
}

// bucketOf returns the account's bucket with its present limits.
func (l *Limiter) bucketOf(now time.Time, a *config.Account) *bucket {
	b := l.accounts[a.Name]
	if b != nil && b.account == a {
		return b
	}
	limits := l.limitsOf(a)
	switch {
	case b == nil:
		b = &bucket{peers: make([]float64, len(l.slots)), lines: make([]line, len(l.slots)), unknown: l.unknownUsage(now, limits), updatedAt: now, emptySince: l.knownSince.Add(clock.Seconds(limits.depth / limits.rate))}
		b.empty = b.unknown == 0
		l.accounts[a.Name] = b
	case b.limits != limits:
		l.drain(now, b)
		if limits.depth < b.limits.depth {
			// The usage under a higher limit must not exhaust the lower one for longer than
			// it takes to drain a full bucket.
			factor := limits.depth / b.limits.depth
			b.own, b.ended, b.unknown = b.own*factor, b.ended*factor, b.unknown*factor
			b.scalePeriods(factor)
			for slot := range b.peers {
				b.peers[slot] *= factor
			}
		}
	}
	b.account, b.limits = a, limits
	return b
}

// unknownUsage returns the tokens that may remain of the usage before knownSince.
func (l *Limiter) unknownUsage(now time.Time, limits limits) float64 {
	if l.knownSince.IsZero() {
		return 0
	}
	return max(0, limits.depth-limits.rate*now.Sub(l.knownSince).Seconds())
}

// drain removes from the bucket what has drained since the last call. Silent peers drain their
// equal share of the rate, and the others drain the rest in proportion to their usage.
func (l *Limiter) drain(now time.Time, b *bucket) {
	before := b.updatedAt
	elapsed := now.Sub(before).Seconds()
	if elapsed <= 0 {
		return
	}
	b.updatedAt = now
	// The usage in transit must not speed up the drain of the known one: in a flood the error
	// would add up.
	v := l.view(now, b)
	share := b.limits.rate * elapsed / float64(l.instances())
	rate := b.limits.rate * v.reporting
	factor := max(0, 1-rate*elapsed/(max(0, v.level)+rate*l.transit.Seconds()))
	b.own *= factor
	b.ended *= factor
	b.unknown *= factor
	level := b.own + b.ended + b.unknown
	for slot, p := range l.slots {
		switch age := p.age(now); {
		case age > peerTimeout:
			b.peers[slot] = max(0, b.peers[slot]-share)
		case age > updateTimeout:
			level += b.peers[slot]
		default:
			b.peers[slot] *= factor
			level += b.peers[slot]
		}
	}
	b.noteLevel(now, level)
}

// negligible is a level in tokens that counts as empty: levels only approach zero.
const negligible = 1

// noteLevel records when the level becomes zero.
func (b *bucket) noteLevel(now time.Time, level float64) {
	empty := level < negligible
	if empty && !b.empty {
		b.emptySince = now
	}
	b.empty = empty
}

// view is a bucket divided into the part that this instance knows and the part of the silent
// peers, in tokens.
type view struct {
	level       float64 // all but the usage of silent peers
	silentUsage float64 // of silent peers, each with at least its share, as far as it is not part of the unknown usage
	assumed     float64 // usage that was never reported
	silent      int     // silent peers
	reporting   float64 // fraction of the instances that report, including this one
}

func (l *Limiter) view(now time.Time, b *bucket) view {
	v := view{level: b.own + b.ended + b.unknown}
	instances := float64(l.instances())
	share := b.limits.depth / instances
	v.silent = l.instances() - len(l.peers) - 1
	v.silentUsage = share * float64(v.silent)
	v.assumed = v.silentUsage
	for slot, p := range l.slots {
		tokens := b.peers[slot]
		age := p.age(now)
		if age > peerTimeout {
			v.silent++
			v.silentUsage += max(share, tokens)
			v.assumed += max(0, share-tokens)
			continue
		}
		v.level += tokens
		if age > updateTimeout {
			late := (age - updateTimeout).Seconds() / (peerTimeout - updateTimeout).Seconds()
			v.silentUsage += max(0, share*late-tokens)
			v.assumed += max(0, share*late-tokens)
		}
	}
	// The fleet as a whole kept the limit before knownSince, so silent peers have the rest of
	// their shares only as the unknown usage drains.
	v.silentUsage -= min(b.unknown, v.assumed)
	v.assumed = max(b.unknown, v.assumed)
	v.reporting = (instances - float64(v.silent)) / instances
	return v
}

// instances returns the size of the fleet.
func (l *Limiter) instances() int { return max(l.fleet, len(l.peers)+1) }

// age returns the time since the last update of the instance. A free slot has none and counts
// as fresh: its usage is zero.
func (p *peer) age(now time.Time) time.Duration {
	if p == nil {
		return 0
	}
	return now.Sub(p.updatedAt)
}

// Usage returns what this instance reports to the others, and forgets the accounts that have
// not been used for a window. With allLevels it reports the accounts that other instances use too.
func (l *Limiter) Usage(now time.Time, allLevels bool) []Usage {
	out := make([]Usage, 0, len(l.accounts))
	for name, b := range l.accounts {
		l.drain(now, b)
		level := b.own + b.ended + b.unknown
		for _, tokens := range b.peers {
			level += tokens
		}
		u := Usage{Account: name, Own: int(math.Round(b.own)), Level: int(math.Round(level))}
		u.Claims, u.Returning = b.reportLine(now)
		switch {
		case u.Own != 0 || len(u.Claims) > 0 || u.Returning > 0 || allLevels && u.Level != 0:
			out = append(out, u)
		case u.Level != 0:
		case b.empty && now.Sub(b.emptySince) > l.window:
			l.forget(name, b)
		}
	}
	return out
}

// forget drops an account that is not used.
func (l *Limiter) forget(name string, b *bucket) {
	delete(l.accounts, name)
	for _, p := range l.peers {
		p.reported = slices.DeleteFunc(p.reported, func(r *bucket) bool { return r == b })
	}
}

// KnownFor returns for how long this instance knows the usage of the fleet.
func (l *Limiter) KnownFor(now time.Time) time.Duration { return now.Sub(l.knownSince) }

// Report is the state that another instance sends.
type Report struct {
	Instance    string
	Incarnation int64
	KnownFor    time.Duration // how long the instance knows the usage of the fleet
	Complete    bool          // Usage has all accounts that have a level
	Usage       []Usage
}

// UpdatePeer applies the report of another instance. Usage of accounts that are not in accounts
// is left out.
func (l *Limiter) UpdatePeer(now time.Time, r Report, accounts map[string]*config.Account) {
	p := l.peers[r.Instance]
	if p == nil {
		p = l.addPeer(r.Instance)
	}
	if p.age(now) > updateTimeout {
		for _, b := range l.accounts {
			l.drain(now, b)
		}
	}
	for _, b := range p.reported {
		if now.Sub(b.updatedAt) > drainInterval {
			l.drain(now, b) // with the usage that was known until now
		}
	}
	if p.incarnation != r.Incarnation {
		l.retain(p)
	}
	p.updatedAt, p.incarnation = now, r.Incarnation
	for _, b := range p.reported {
		b.peers[p.slot], b.lines[p.slot] = 0, line{}
	}
	p.reported = p.reported[:0]
	for _, u := range r.Usage {
		a := accounts[u.Account]
		if a == nil || a.Rate <= 0 {
			continue
		}
		b := l.bucketOf(now, a)
		b.peers[p.slot] = float64(u.Own)
		b.applyLine(p.slot, u)
		b.empty = b.empty && u.Own <= 0
		p.reported = append(p.reported, b)
	}
	if r.Complete && now.Sub(l.startedAt) < peerTimeout && r.KnownFor > now.Sub(l.startedAt) {
		l.adopt(now, r)
	}
}

// adopt replaces the assumptions about the usage before this instance's start by what an
// instance with more knowledge reports.
func (l *Limiter) adopt(now time.Time, r Report) {
	if since := now.Add(-r.KnownFor); since.Before(l.knownSince) {
		l.knownSince = since
	}
	levels := make(map[string]int, len(r.Usage))
	for _, u := range r.Usage {
		levels[u.Account] = u.Level
	}
	for account, b := range l.accounts {
		rest := float64(levels[account]) - b.ended
		for _, tokens := range b.peers {
			rest -= tokens
		}
		b.unknown = min(b.unknown, max(rest, l.unknownUsage(now, b.limits)))
	}
}

// addPeer adds another instance, in the first free slot.
func (l *Limiter) addPeer(name string) *peer {
	slot := slices.Index(l.slots, nil)
	if slot < 0 {
		slot = len(l.slots)
		l.slots = append(l.slots, nil)
		for _, b := range l.accounts {
			b.peers, b.lines = append(b.peers, 0), append(b.lines, line{})
		}
	}
	p := &peer{slot: slot}
	l.slots[slot], l.peers[name] = p, p
	return p
}

// retain keeps the usage of an instance that has ended.
func (l *Limiter) retain(p *peer) {
	for _, b := range l.accounts {
		b.ended += max(0, b.peers[p.slot])
		b.peers[p.slot], b.lines[p.slot] = 0, line{}
	}
}

// SetPeers replaces the sorted list of other instances, the number of instances that may exist, this one
// included, and the time that their updates take. An instance that has sent no update yet, or is not in
// the list, counts as silent.
func (l *Limiter) SetPeers(names []string, fleet int, transit time.Duration) {
	l.fleet, l.transit = fleet, transit
	for name, p := range l.peers {
		if _, ok := slices.BinarySearch(names, name); !ok {
			l.retain(p)
			l.slots[p.slot] = nil
			delete(l.peers, name)
		}
	}
	for _, name := range names {
		if l.peers[name] == nil {
			l.addPeer(name)
		}
	}
}
