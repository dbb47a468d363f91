package window

import (
	"slices"
	"time"
)

const (
	// maxPeriods bounds the periods that are kept of an account's usage.
	maxPeriods = 256
	// maxRefundAge is the age of a charge from which on nothing of it is refunded; longer than callers' deadlines.
	maxRefundAge = 30 * time.Second
)

// period is a time between two charges.
type period struct {
	start time.Time
	least float64 // least usage of this instance in it, without what was refunded since
}

// beginPeriod ends the present period and begins one with the charge that follows.
func (b *bucket) beginPeriod(now time.Time) {
	b.endPeriod()
	if len(b.periods) > 0 && now.Sub(b.periods[0].start) > maxRefundAge {
		old := slices.IndexFunc(b.periods, func(p period) bool { return now.Sub(p.start) <= maxRefundAge })
		if old < 0 {
			old = len(b.periods)
		}
		b.periods = slices.Delete(b.periods, 0, old)
	}
	if len(b.periods) >= maxPeriods {
		// Adjacent ones are joined in pairs.
		for i := range maxPeriods / 2 {
			x, y := b.periods[2*i], b.periods[2*i+1]
			b.periods[i] = period{start: x.start, least: min(x.least, y.least)}
		}
		b.periods = b.periods[:maxPeriods/2]
	}
	b.periods = append(b.periods, period{start: now})
}

// endPeriod records the present usage, which only falls between two charges.
func (b *bucket) endPeriod() {
	if n := len(b.periods); n > 0 {
		b.periods[n-1].least = b.own
	}
}

// scalePeriods scales the usage that is recorded.
func (b *bucket) scalePeriods(factor float64) {
	for i := range b.periods {
		b.periods[i].least *= factor
	}
}

// Refund returns the tokens of a request that was charged at the given time and did not run, as far as this
// instance has used as many without a break since: the usage that is left must not have been below zero at any
// time, as what had drained then is granted to others already.
//
// It answers floods in which requests are charged, wait for full engines and are refused: while they waited the
// bucket drained, partly in their place.
func (l *Limiter) Refund(now, chargedAt time.Time, account string, tokens int) {
	b := l.accounts[account]
	if b == nil {
		return
	}
	l.drain(now, b)
	b.endPeriod()
	since := len(b.periods) - 1
	for since >= 0 && b.periods[since].start.After(chargedAt) {
		since--
	}
	if since < 0 {
		return
	}
	refund := float64(tokens)
	for _, p := range b.periods[since:] {
		refund = min(refund, p.least)
	}
	refund = max(0, refund)
	for i := range b.periods[since:] {
		b.periods[since+i].least -= refund
	}
	b.own -= refund
}
