package engine

import (
	"container/list"
	"math/rand/v2"
	"time"

	"carawayrouter.example/router/internal/endpoint"
)

// maxCacheEvents limits the number of events kept for readers.
const maxCacheEvents = 4096

// prefixCache is an LRU cache of prefix pieces with a log of its changes.
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

// match returns the number of leading pieces that are cached and marks those as
// recently used.
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

// add inserts pieces, evicting the least recently used ones if the cache is full.
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

// publish appends an event with the next sequence number. With probability c.loss, the
// event is dropped and its sequence number is skipped.
func (c *prefixCache) publish(hash uint64, removed bool, now time.Time) {
	c.seq++
	if c.rng.Float64() < c.loss {
		return
	}
	ev := endpoint.CacheEvent{Seq: c.seq, Hash: hash, Removed: removed}
	c.events = appendBounded(c.events, timedEvent{at: now, ev: ev}, maxCacheEvents)
}

// since returns the events with a sequence number above after that are not newer than
// until.
func (c *prefixCache) since(after uint64, until time.Time) []endpoint.CacheEvent {
	out := []endpoint.CacheEvent{}
	for _, e := range c.events {
		if e.ev.Seq > after && !e.at.After(until) {
			out = append(out, e.ev)
		}
	}
	return out
}
