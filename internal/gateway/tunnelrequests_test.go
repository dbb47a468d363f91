package gateway

import (
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// The end of a response is seen after it has been passed on, so that the next request may have begun before.
func TestTunnelRequestsAreCounted(t *testing.T) {
	var total atomic.Int64
	r := &tunnelRequests{total: &total}
	steps := []struct {
		step func()
		open int64
	}{
		{r.sent, 1},
		{r.sent, 1}, // the rest of the body
		{r.responds, 1},
		{r.answered, 0},
		{r.sent, 1},
		{r.responds, 1},
		{r.sent, 2}, // the next request, before the end of the response was seen
		{r.answered, 1},
		{r.responds, 1},
		{r.answered, 0},
		{r.responds, 0},
		{r.answered, 0}, // a response that nobody asked for
		{r.sent, 1},
		{r.closed, 0},
		{r.answered, 0},
	}
	for i, s := range steps {
		s.step()
		assert.Equal(t, total.Load(), s.open, "step %d", i)
	}
}
