package escrow

import (
	"sync"
	"time"
)

const (
	// maxPrefetchAccounts bounds the accounts in the prefetch cache.
	maxPrefetchAccounts = 4096
	// prefetchReturnAfter is the idle time after which tokens are returned.
	prefetchReturnAfter = 200 * time.Millisecond
	// prefetchEvictAfter is the idle time after which an account is evicted.
	prefetchEvictAfter = time.Second
	// prefetchMinTTL is the remaining lifetime below which tokens are returned.
	prefetchMinTTL = 300 * time.Millisecond
	// prefetchMinRequests is the number of requests in one prefetchWindow that
	// triggers prefetching for the next window.
	prefetchMinRequests = 4
	prefetchWindow      = 100 * time.Millisecond
)

// prefetchEntry holds the prefetched tokens of one account with recent traffic.
type prefetchEntry struct {
	part     Part // Amount is what remains
	expires  time.Time
	lastUsed time.Time

	windowStart time.Time // start of the current window
	requests    int
	tokens      int64
	nextAmount  int64 // tokens used in the previous window; 0 if it had too few requests
}

// prefetchCache holds prefetched tokens. Accounts without recent traffic have no
// entry.
type prefetchCache struct {
	mu       sync.Mutex
	accounts map[string]*prefetchEntry
}

// take uses n of the account's prefetched tokens.
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

// recordUse counts a request that was served by its home.
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

// amountToFetch returns the number of tokens to prefetch.
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

// put stores a part and returns the part to give back: the one that it replaces, or p
// itself if the account has no entry.
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

// sweep evicts accounts without recent traffic. It returns the parts to give back,
// which belong to idle accounts or are about to expire.
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

// drain evicts all accounts and returns the parts to give back.
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

// rollWindow starts a new window if the current one is over.
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
