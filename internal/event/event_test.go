package event

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/clock"
)

func TestRingReportsLoss(t *testing.T) {
	r := NewRing("p", 4, clock.NewFake(time.Unix(1, 0)))
	for range 6 {
		r.Add(Event{Kind: "x"})
	}
	events, lost := r.Since(0)
	assert.Equal(t, lost, uint64(2))
	assert.Equal(t, len(events), 4)
	assert.Equal(t, events[0].Seq, uint64(3))
}

func TestStampsFollowObservedTime(t *testing.T) {
	c := clock.NewFake(time.Unix(1, 0))
	ahead := NewRing("a", 4, clock.NewFake(time.Unix(9, 0)))
	behind := NewRing("b", 4, c)
	sent := ahead.Now()
	behind.Observe(sent)
	assert.Assert(t, sent.Before(behind.Now()))
	c.Advance(time.Millisecond)
	a, b := behind.Now(), behind.Now()
	assert.Assert(t, a.Before(b))
}
