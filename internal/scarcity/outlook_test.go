package scarcity

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Two places are free, and what runs ends at 100 and 300 ms: the fifth waiter starts when the first one ends.
func TestWaitersStartAsOthersEnd(t *testing.T) {
	o := Outlook{FreeTokens: 2000, FreeSlots: 10}
	o.Hold(Holding{Until: ms(300), Tokens: 1000, Slots: 1})
	o.Hold(Holding{Until: ms(100), Tokens: 1000, Slots: 1})
	var got []time.Duration
	for range 6 {
		got = append(got, o.Start(Need{Tokens: 1000, Time: ms(200)}))
	}
	assert.DeepEqual(t, got, []time.Duration{0, 0, ms(100), ms(200), ms(200), ms(300)})
}

// What needs more than there is waits for ever, and holds up nobody.
func TestRequestLargerThanTheRoomHoldsUpNobody(t *testing.T) {
	o := Outlook{FreeTokens: 500, FreeSlots: 4}
	assert.Equal(t, o.Start(Need{Tokens: 2000, Time: ms(10)}), Never)
	assert.Equal(t, o.Start(Need{Tokens: 400, Time: ms(10)}), time.Duration(0))

	o = Outlook{FreeTokens: 500, FreeSlots: 4}
	o.Hold(Holding{Until: ms(9000), Tokens: 500, Slots: 1})
	o.Hold(Holding{Until: ms(100), Tokens: 500, Slots: 1})
	assert.Equal(t, o.Start(Need{Tokens: 2000, Time: ms(10)}), Never)
	assert.Equal(t, o.Start(Need{Tokens: 800, Time: ms(10)}), ms(100), "not when all has ended")
}

// Prompts wait for the engines that read them.
func TestPromptsWaitForPrefill(t *testing.T) {
	o := Outlook{FreeTokens: 1e6, FreeSlots: 100, PrefillTime: time.Millisecond, PrefillSlack: ms(350)}
	var last time.Duration
	for range 5 {
		last = o.Start(Need{Tokens: 1, Prompt: 100})
	}
	assert.Equal(t, last, ms(50))
}

// Whatever runs and waits, later waiters do not start before earlier ones, and no more is held at a time than there is.
func TestNoMoreIsHeldThanThereIs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := float64(rapid.IntRange(1000, 5000).Draw(t, "total"))
		o := Outlook{FreeTokens: total, FreeSlots: rapid.IntRange(1, 5).Draw(t, "slots")}
		slots := o.FreeSlots
		type held struct{ from, until time.Duration }
		var all []held
		var tokens []float64
		last := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "waiters") {
			n := Need{Tokens: float64(rapid.IntRange(1, 1000).Draw(t, "tokens")), Time: ms(rapid.IntRange(1, 500).Draw(t, "ms"))}
			at := o.Start(n)
			assert.Assert(t, at >= last)
			last = at
			all, tokens = append(all, held{at, at + n.Time}), append(tokens, n.Tokens)
		}
		for _, moment := range all {
			sum, n := 0.0, 0
			for i, h := range all {
				if h.from <= moment.from && moment.from < h.until {
					sum, n = sum+tokens[i], n+1
				}
			}
			assert.Assert(t, sum <= total && n <= slots, "%v tokens, %d slots", sum, n)
		}
	})
}

// One prediction does not refuse a waiter, nor one that is too long by its usual error.
func TestWaiterIsRefusedOnTwoClearPredictions(t *testing.T) {
	var d Doubt
	assert.Assert(t, !d.Refuse(ms(2000), ms(1000)))
	assert.Assert(t, !d.Refuse(ms(1200), ms(1000)), "within the error")
	assert.Assert(t, !d.Refuse(ms(2000), ms(1000)), "the one before was not clear")
	assert.Assert(t, d.Refuse(ms(2000), ms(1000)))
	assert.Equal(t, Stretch(ms(100), 0.5), ms(200))
	assert.Equal(t, Stretch(ms(100), 7), ms(1000), "bounded")
	assert.Equal(t, Stretch(Never, 0.5), Never)
}
