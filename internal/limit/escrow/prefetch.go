package escrow

import (
	"sync"
	"time"
)

const (
	// spareAccounts bounds the accounts that tokens are kept for.
	maxPrefetchAccounts = 4096
	// spareIdle is the time without a request after which tokens are returned.
	prefetchReturnAfter = 200 * time.Millisecond
	// spareGone is the time without a request after which an account is forgotten.
	prefetchEvictAfter = time.Second
	// spareLeast is the life below which tokens are returned.
	prefetchMinTTL = 300 * time.Millisecond
	// hotRequests is the number of requests in hotSpan from which tokens are
	// fetched for the next hotSpan as well.
	prefetchMinRequests = 4
	prefetchWindow      = 100 * time.Millisecond
)

// spare holds the tokens fetched ahead for one account with recent traffic.
type prefetchEntry struct {
	part     Part // Amount is what is left
	expires  time.Time
	lastUsed time.Time

	windowStart time.Time // of the span being counted
	requests    int
	tokens      int64
	nextAmount  int64 // tokens used in the span before, 0 if it was not hot
}

// spares holds tokens fetched ahead. Accounts without recent traffic have no state.
type prefetchCache struct {
	mu       sync.Mutex
	accounts map[string]*prefetchEntry
}

// take uses n tokens of the account's spare part.
func (s *prefetchCache) take(account string, n int64, now time.Time) (Part, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.accounts[account]
	if e == nil || e.part.Amount < n || !now.Before(e.expires) {
		return Part{}, false
	}
	e.part.Amount -= n
	e.countUse(n, now)
	p := e.part
	p.Amount = n
	return p, true
}

// used counts a request that was served by its home.
func (s *prefetchCache) recordUse(account string, n int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.accounts[account]
	if e == nil {
		if len(s.accounts) >= maxPrefetchAccounts {
			return
		}
		e = &prefetchEntry{windowStart: now}
		s.accounts[account] = e
	}
	e.countUse(n, now)
}

// wanted returns the tokens worth fetching ahead.
func (s *prefetchCache) amountToFetch(account string, now time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.accounts[account]
	if e == nil {
		return 0
	}
	e.rollWindow(now)
	return e.nextAmount
}

// put keeps a part. It returns the part that it replaces.
func (s *prefetchCache) put(account string, p Part, expires, now time.Time) (old Part, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.accounts[account]
	if e == nil {
		return p, true
	}
	old = e.part
	e.part = p
	e.expires = expires
	e.lastUsed = now
	return old, old.Amount > 0
}

// sweep forgets accounts without recent traffic and returns the parts to give back.
func (s *prefetchCache) sweep(now time.Time) map[string]Part {
	s.mu.Lock()
	defer s.mu.Unlock()
	returned := map[string]Part{}
	for account, e := range s.accounts {
		idle := now.Sub(e.lastUsed)
		if e.part.Amount > 0 && (idle >= prefetchReturnAfter || e.expires.Sub(now) < prefetchMinTTL) {
			returned[account] = e.part
			e.part = Part{}
		}
		if idle >= prefetchEvictAfter {
			delete(s.accounts, account)
		}
	}
	return returned
}

// empty forgets all accounts and returns the parts to give back.
func (s *prefetchCache) drain() map[string]Part {
	s.mu.Lock()
	defer s.mu.Unlock()
	returned := map[string]Part{}
	for account, e := range s.accounts {
		if e.part.Amount > 0 {
			returned[account] = e.part
		}
	}
	clear(s.accounts)
	return returned
}

func (e *prefetchEntry) countUse(n int64, now time.Time) {
	e.rollWindow(now)
	e.lastUsed = now
	e.requests++
	e.tokens += n
}

// roll starts a new span when the present one is over.
func (e *prefetchEntry) rollWindow(now time.Time) {
	elapsed := now.Sub(e.windowStart)
	if elapsed < prefetchWindow {
		return
	}
	e.nextAmount = 0
	if elapsed < 2*prefetchWindow && e.requests >= prefetchMinRequests {
		e.nextAmount = e.tokens
	}
	e.windowStart, e.requests, e.tokens = now, 0, 0
}
