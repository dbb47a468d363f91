// Package window limits the tokens of client accounts over a sliding window and all
// instances. Every instance decides alone: it knows its own spending exactly and that of
// the others from their last news. It is free of sockets; the time is an argument.
package window

import (
	"time"

	"carawayrouter.example/router/internal/config"
)

const (
	slotsPerWindow = 32                     // resolution of the window
	transitMargin  = 300 * time.Millisecond // between a decision here and the arrival at an endpoint
	// peerSilence is how old the last news of another instance may be. Beyond it the
	// instance is taken to spend its equal share, so that the parts of a fleet that do
	// not hear each other stay within the limit together.
	peerSilence = 1500 * time.Millisecond
	lowestWait  = 200 * time.Millisecond // that a refused caller is told
)

// Limiter keeps the spending of all accounts. It is not safe for concurrent use.
type Limiter struct {
	window   time.Duration
	slot     time.Duration
	accounts map[string]*spending
	peers    map[string]*peer
}

type slot struct {
	start  int64 // in slots since the epoch of time
	tokens int
}

type spending struct {
	slots []slot
	sum   int
}

type peer struct {
	heard time.Time
	spent map[string]int
}

// New returns a Limiter for a window of the given length.
func New(window time.Duration) *Limiter {
	window += transitMargin
	return &Limiter{
		window:   window,
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
	Allowed    bool
	RetryAfter time.Duration // when the request would fit, if it was not allowed
	Limit      float64       // of the window
	Own        int           // spent here
	Others     float64       // spent or assumed at the other instances
	Silent     int           // other instances whose share is assumed
}

// Reserve charges tokens to the account if its limit allows.
func (l *Limiter) Reserve(now time.Time, a *config.Account, tokens int) Decision {
	if a.Rate <= 0 {
		return Decision{Allowed: true}
	}
	s := l.accounts[a.Name]
	if s == nil {
		s = &spending{}
		l.accounts[a.Name] = s
	}
	l.expire(now, s)
	d := Decision{Limit: a.Rate*(l.window-transitMargin).Seconds() + a.Burst, Own: s.sum}
	d.Others, d.Silent = l.others(now, a.Name, d.Limit)
	missing := float64(tokens+d.Own) + d.Others - d.Limit
	if missing <= 0 {
		l.add(now, s, tokens)
		d.Allowed = true
		return d
	}
	d.RetryAfter = max(lowestWait, time.Duration(missing/a.Rate*float64(time.Second)))
	return d
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

// Return gives back tokens of a request that did not run.
func (l *Limiter) Return(now time.Time, account string, tokens int) {
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
func (l *Limiter) others(now time.Time, account string, limit float64) (sum float64, silent int) {
	share := limit / float64(len(l.peers)+1)
	for _, p := range l.peers {
		spent := float64(p.spent[account])
		if now.Sub(p.heard) > peerSilence {
			spent = max(spent, share)
			silent++
		}
		sum += spent
	}
	return sum, silent
}

// Spent returns this instance's own spending in the window.
func (l *Limiter) Spent(now time.Time) map[string]int {
	out := make(map[string]int, len(l.accounts))
	for name, s := range l.accounts {
		l.expire(now, s)
		if s.sum > 0 {
			out[name] = s.sum
		}
	}
	return out
}

// Heard records the spending that another instance reports.
func (l *Limiter) Heard(now time.Time, name string, spent map[string]int) {
	l.peers[name] = &peer{heard: now, spent: spent}
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
