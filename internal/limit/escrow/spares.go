package escrow

import (
	"sync"
	"time"
)

const (
	// spareAccounts bounds the accounts that tokens are kept for.
	spareAccounts = 4096
	// spareIdle is the time without a request after which tokens are returned.
	spareIdle = 200 * time.Millisecond
	// spareGone is the time without a request after which an account is forgotten.
	spareGone = time.Second
	// spareLeast is the life below which tokens are returned.
	spareLeast = 300 * time.Millisecond
	// hotRequests is the number of requests in hotSpan from which tokens are
	// fetched for the next hotSpan as well.
	hotRequests = 4
	hotSpan     = 100 * time.Millisecond
)

// spare holds the tokens fetched ahead for one account with recent traffic.
type spare struct {
	part    Part // Amount is what is left
	expires time.Time
	last    time.Time

	begun    time.Time // of the span being counted
	requests int
	tokens   int64
	ahead    int64 // tokens used in the span before, 0 if it was not hot
}

// spares holds tokens fetched ahead. Accounts without recent traffic have no state.
type spares struct {
	mu       sync.Mutex
	accounts map[string]*spare
}

// take uses n tokens of the account's spare part.
func (s *spares) take(account string, n int64, now time.Time) (Part, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sp := s.accounts[account]
	if sp == nil || sp.part.Amount < n || !now.Before(sp.expires) {
		return Part{}, false
	}
	sp.part.Amount -= n
	sp.count(n, now)
	p := sp.part
	p.Amount = n
	return p, true
}

// used counts a request that was served by its home.
func (s *spares) used(account string, n int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sp := s.accounts[account]
	if sp == nil {
		if len(s.accounts) >= spareAccounts {
			return
		}
		sp = &spare{begun: now}
		s.accounts[account] = sp
	}
	sp.count(n, now)
}

// wanted returns the tokens worth fetching ahead.
func (s *spares) wanted(account string, now time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sp := s.accounts[account]
	if sp == nil {
		return 0
	}
	sp.roll(now)
	return sp.ahead
}

// put keeps a part. It returns the part that it replaces.
func (s *spares) put(account string, p Part, expires, now time.Time) (old Part, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sp := s.accounts[account]
	if sp == nil {
		return p, true
	}
	old = sp.part
	sp.part = p
	sp.expires = expires
	sp.last = now
	return old, old.Amount > 0
}

// sweep forgets accounts without recent traffic and returns the parts to give back.
func (s *spares) sweep(now time.Time) map[string]Part {
	s.mu.Lock()
	defer s.mu.Unlock()
	back := map[string]Part{}
	for account, sp := range s.accounts {
		idle := now.Sub(sp.last)
		if sp.part.Amount > 0 && (idle >= spareIdle || sp.expires.Sub(now) < spareLeast) {
			back[account] = sp.part
			sp.part = Part{}
		}
		if idle >= spareGone {
			delete(s.accounts, account)
		}
	}
	return back
}

// empty forgets all accounts and returns the parts to give back.
func (s *spares) empty() map[string]Part {
	s.mu.Lock()
	defer s.mu.Unlock()
	back := map[string]Part{}
	for account, sp := range s.accounts {
		if sp.part.Amount > 0 {
			back[account] = sp.part
		}
	}
	clear(s.accounts)
	return back
}

func (sp *spare) count(n int64, now time.Time) {
	sp.roll(now)
	sp.last = now
	sp.requests++
	sp.tokens += n
}

// roll starts a new span when the present one is over.
func (sp *spare) roll(now time.Time) {
	passed := now.Sub(sp.begun)
	if passed < hotSpan {
		return
	}
	sp.ahead = 0
	if passed < 2*hotSpan && sp.requests >= hotRequests {
		sp.ahead = sp.tokens
	}
	sp.begun, sp.requests, sp.tokens = now, 0, 0
}
