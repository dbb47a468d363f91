package window

import (
	"bytes"
	"cmp"
	"math"
	"slices"
	"time"

	"carawayrouter.example/router/internal/config"
)

const (
	// returnGrace is how long after its time a caller that was told to return keeps its place.
	returnGrace = 600 * time.Millisecond
	// claimTransits is how many times the transit of an update a claim waits at least, as updates
	// take longer at times.
	claimTransits = 2
	// returnStep is how far apart the times are at which refused callers are recorded to return.
	returnStep = 50 * time.Millisecond
	// maxReportedClaims bounds the claims on an account in an update; the oldest are reported.
	maxReportedClaims = 32
)

// ClaimKey identifies a request; a stream over all attempts of its caller.
type ClaimKey [12]byte

// Claim is the place of a request in the line for an account's tokens: of a stream that its caller
// takes up again, or of a generation that is announced.
//
// Claims answer the load after all instances have restarted: every stream has broken, its caller
// returns within a second together with new requests, and the account's bucket must be assumed to
// be full. Streams with half an answer go first, in the order in which their callers returned,
// and new generations of the account get what they leave. A caller that is told to return keeps
// its place, whichever instance it comes to.
type Claim struct {
	Key    ClaimKey
	New    bool // a generation that is announced; it goes behind all streams
	Tokens int
	Since  int64     // first return of the caller, Unix ms by the clock of the instance where it came
	Due    time.Time // when the caller was told to return; zero while its request waits

	waitsSince time.Time // at this instance
}

// compare orders claims: negative if c goes first. All instances agree on the order, whatever their
// clocks show.
func (c *Claim) compare(other *Claim) int {
	if c.New != other.New {
		if c.New {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(c.Since, other.Since), bytes.Compare(c.Key[:], other.Key[:]))
}

// present reports whether the claim's request waits, or is expected now.
func (c *Claim) present(now time.Time) bool {
	return c.Due.IsZero() || !now.Before(c.Due) && !c.expired(now)
}

func (c *Claim) expired(now time.Time) bool { return !c.Due.IsZero() && now.Sub(c.Due) > returnGrace }

// returning are callers of new requests that were told to return at a time.
type returning struct {
	at     time.Time
	tokens float64
}

// addReturning records that the caller of a new request was told to return. Those who return at
// about the same time are recorded together, so that a flood of small requests has few records.
func (b *bucket) addReturning(at time.Time, tokens float64) {
	if n := len(b.returning); n > 0 {
		if last := &b.returning[n-1]; at.Sub(last.at).Abs() < returnStep {
			last.tokens += tokens
			return
		}
	}
	b.returning = append(b.returning, returning{at, tokens})
}

// line is who waits for an account's tokens, as one instance reports it.
type line struct {
	claims    []Claim
	returning float64 // tokens of new requests whose callers were told to return
}

// ClaimTokens charges the tokens of a stream that its caller takes up again. Otherwise the claim
// waits, until it is asked for again, postponed or withdrawn, and RetryAfter is the expected wait.
func (l *Limiter) ClaimTokens(now time.Time, a *config.Account, key ClaimKey, tokens int) Decision {
	if a.Rate <= 0 {
		return Decision{Allowed: true, ChargedAt: now}
	}
	b := l.bucketOf(now, a)
	l.drain(now, b)
	c := b.ownClaim(key)
	if c == nil {
		c = &Claim{Key: key, Since: now.UnixMilli()}
		l.eachPeerClaim(now, b, func(other *Claim) {
			if other.Key == key {
				c.Since = min(c.Since, other.Since)
			}
		})
		b.claims = append(b.claims, c)
	}
	if c.waitsSince.IsZero() || !c.Due.IsZero() {
		c.waitsSince = now
	}
	c.Tokens, c.Due = tokens, time.Time{}
	ahead, expected := l.tokensAhead(now, b, c)
	d, v := l.examine(now, b, float64(tokens), float64(tokens), Generation)
	d.Ahead = expected
	if missing := d.missing + ahead; missing <= 0 && l.heard(now, c) {
		b.charge(now, &d, tokens)
		// Until it expires, the claim tells the others to give up its former place.
		c.Tokens, c.Due = 0, now
		return d
	}
	d.RetryAfter = d.expectedWait(v)
	return d
}

// ReserveAnnounced charges the tokens of a generation for which Reserve asked to announce it, if
// they are still there once the other instances have heard of it. Until then waits is true.
//
// It answers the load of an account that is at its limit and has requests at all instances at the same
// moment, most of all after these have restarted: each of them would grant what is left for one.
func (l *Limiter) ReserveAnnounced(now time.Time, a *config.Account, key ClaimKey, tokens int) (d Decision, waits bool) {
	return l.ReserveAnnouncedKind(now, a, key, tokens, Generation)
}

// ReserveAnnouncedKind is ReserveAnnounced for a kind of generations.
func (l *Limiter) ReserveAnnouncedKind(now time.Time, a *config.Account, key ClaimKey, tokens int, kind RequestKind) (d Decision, waits bool) {
	b := l.bucketOf(now, a)
	l.drain(now, b)
	c := b.ownClaim(key)
	if c == nil {
		c = &Claim{Key: key, New: true, Tokens: tokens, Since: now.UnixMilli(), waitsSince: now}
		b.claims = append(b.claims, c)
	}
	if !l.heard(now, c) {
		return Decision{}, true
	}
	ahead, expected := l.tokensAhead(now, b, c)
	b.dropClaim(key)
	d, v := l.examine(now, b, float64(tokens), b.generationNeed(tokens), kind)
	d.Ahead = expected
	if d.missing+ahead <= 0 {
		b.charge(now, &d, tokens)
		return d, false
	}
	l.refuseGeneration(now, b, &d, v, tokens)
	return d, false
}

// heard reports whether the other instances have heard of a claim. Many callers come at once, to
// as many instances: if those have not heard of each other's claims, all of them grant what is left
// for one.
func (l *Limiter) heard(now time.Time, c *Claim) bool {
	return now.Sub(c.waitsSince) >= claimTransits*l.transit
}

// tokensAhead returns the tokens of the claims that go before c: of those whose requests wait, and
// of all.
func (l *Limiter) tokensAhead(now time.Time, b *bucket, c *Claim) (present, all float64) {
	l.eachClaim(now, b, func(other *Claim) {
		if other.Key == c.Key || other.compare(c) > 0 {
			return
		}
		all += float64(other.Tokens)
		if other.present(now) {
			present += float64(other.Tokens)
		}
	})
	return present, all
}

// PostponeClaim records that the caller of a claim was told to return after a time.
func (l *Limiter) PostponeClaim(now time.Time, account string, key ClaimKey, after time.Duration) {
	if b := l.accounts[account]; b != nil {
		if c := b.ownClaim(key); c != nil {
			c.Due = now.Add(after)
		}
	}
}

// WithdrawClaim removes the claim of a caller that has gone.
func (l *Limiter) WithdrawClaim(account string, key ClaimKey) {
	if b := l.accounts[account]; b != nil {
		b.dropClaim(key)
	}
}

func (b *bucket) ownClaim(key ClaimKey) *Claim {
	if i := slices.IndexFunc(b.claims, func(c *Claim) bool { return c.Key == key }); i >= 0 {
		return b.claims[i]
	}
	return nil
}

func (b *bucket) dropClaim(key ClaimKey) {
	b.claims = slices.DeleteFunc(b.claims, func(c *Claim) bool { return c.Key == key })
}

// eachClaim calls f for the claims of all instances that have not expired. A stream whose caller
// has returned to another instance may have two for the time of an update.
func (l *Limiter) eachClaim(now time.Time, b *bucket, f func(c *Claim)) {
	for _, c := range b.claims {
		if !c.expired(now) {
			f(c)
		}
	}
	l.eachPeerClaim(now, b, f)
}

// eachPeerClaim calls f for the claims of the other instances that are heard.
func (l *Limiter) eachPeerClaim(now time.Time, b *bucket, f func(c *Claim)) {
	for slot, p := range l.slots {
		if p.age(now) > updateTimeout {
			continue
		}
		claims := b.lines[slot].claims
		for i := range claims {
			if !claims[i].expired(now) {
				f(&claims[i])
			}
		}
	}
}

// waitingTokens returns the tokens that claims need before a new generation: those whose requests
// wait, and all.
func (l *Limiter) waitingTokens(now time.Time, b *bucket) (present, all float64) {
	l.eachClaim(now, b, func(c *Claim) {
		all += float64(c.Tokens)
		if c.present(now) {
			present += float64(c.Tokens)
		}
	})
	return present, all
}

// returningTokens returns the tokens of new requests whose callers were told to return to any
// instance.
func (l *Limiter) returningTokens(now time.Time, b *bucket) float64 {
	sum := b.ownReturning(now)
	for slot, p := range l.slots {
		if p.age(now) <= updateTimeout {
			sum += b.lines[slot].returning
		}
	}
	return sum
}

// ownReturning returns the tokens of new requests whose callers were told to return, and forgets
// those whose time has come.
func (b *bucket) ownReturning(now time.Time) (sum float64) {
	b.returning = slices.DeleteFunc(b.returning, func(r returning) bool { return !now.Before(r.at) })
	for _, r := range b.returning {
		sum += r.tokens
	}
	return sum
}

// reportLine returns this instance's part of the line for an update.
func (b *bucket) reportLine(now time.Time) (claims []Claim, returning int) {
	b.claims = slices.DeleteFunc(b.claims, func(c *Claim) bool { return c.expired(now) })
	if len(b.claims) > 0 {
		oldest := slices.SortedFunc(slices.Values(b.claims), (*Claim).compare)
		for _, c := range oldest[:min(len(oldest), maxReportedClaims)] {
			claims = append(claims, *c)
		}
	}
	return claims, int(math.Round(b.ownReturning(now)))
}

// applyLine replaces the part of the line that an instance reports. A postponed claim of this
// instance ends when its caller waits or was served there.
func (b *bucket) applyLine(slot int, u Usage) {
	b.lines[slot] = line{claims: u.Claims, returning: float64(u.Returning)}
	for _, c := range u.Claims {
		if own := b.ownClaim(c.Key); own != nil && !own.Due.IsZero() && (c.Due.IsZero() || c.Tokens == 0) {
			b.dropClaim(c.Key)
		}
	}
}
