package engine

import (
	"container/list"
	"math/rand/v2"
	"time"

	"carawayrouter.example/router/internal/endpoint"
)

// maxCacheEvents bounds the events kept for readers.
const maxCacheEvents = 4096

// prefixCache is an LRU of prefix pieces with its events.
type prefixCache struct {
	limit  int
	order  *list.List // of uint64, most recently used first
	pieces map[uint64]*list.Element
	seq    uint64
	events []timedEvent
	loss   float64
	rng    *rand.Rand
}

type timedEvent struct {
	at time.Time
	ev endpoint.CacheEvent
}

func newPrefixCache(s Settings) *prefixCache {
	return &prefixCache{
		limit:  s.CachePieces,
		order:  list.New(),
		pieces: map[uint64]*list.Element{},
		loss:   s.CacheEventLoss,
		rng:    rand.New(rand.NewPCG(uint64(s.Seed), seedOf(s.Name, ""))),
	}
}

// match returns the number of leading pieces that are cached and marks them as used.
func (c *prefixCache) match(hashes []uint64) int {
	n := 0
	for _, h := range hashes {
		e, ok := c.pieces[h]
		if !ok {
			break
		}
		c.order.MoveToFront(e)
		n++
	}
	return n
}

// add puts pieces into the cache.
func (c *prefixCache) add(hashes []uint64, now time.Time) {
	for _, h := range hashes {
		if e, ok := c.pieces[h]; ok {
			c.order.MoveToFront(e)
			continue
		}
		if c.limit == 0 {
			return
		}
		for len(c.pieces) >= c.limit {
			oldest := c.order.Remove(c.order.Back()).(uint64)
			delete(c.pieces, oldest)
			c.publish(oldest, true, now)
		}
		c.pieces[h] = c.order.PushFront(h)
		c.publish(h, false, now)
	}
}

// publish numbers an event; a lost one leaves a gap.
func (c *prefixCache) publish(hash uint64, removed bool, now time.Time) {
	c.seq++
	if c.rng.Float64() < c.loss {
		return
	}
	ev := endpoint.CacheEvent{Seq: c.seq, Hash: hash, Removed: removed}
	c.events = appendBounded(c.events, timedEvent{at: now, ev: ev}, maxCacheEvents)
}

// since returns the events after a number that happened up to a time.
func (c *prefixCache) since(after uint64, until time.Time) []endpoint.CacheEvent {
	out := []endpoint.CacheEvent{}
	for _, e := range c.events {
		if e.ev.Seq > after && !e.at.After(until) {
			out = append(out, e.ev)
		}
	}
	return out
}
