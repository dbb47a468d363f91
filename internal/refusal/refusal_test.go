package refusal

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/errkind"
)

func TestRefusalsAreForgottenAndBounded(t *testing.T) {
	c := clock.NewFake(time.Unix(1, 0))
	r := NewRecorder(c)
	r.Add("", errkind.OverRate)
	r.Add("a", errkind.OverRate)
	r.Add("b", errkind.QueueFull)
	r.Add("b", errkind.QueueFull)
	list := r.Refusals()
	assert.Equal(t, len(list), 2)
	assert.Equal(t, list[0].Account, "b")
	c.Advance(window)
	assert.Equal(t, len(r.Refusals()), 2)
	c.Advance(window)
	assert.Equal(t, len(r.Refusals()), 0)
	for i := range 2 * maxPairs {
		r.Add(fmt.Sprint("account", i), errkind.OverRate)
	}
	assert.Equal(t, len(r.current), maxPairs)
}
