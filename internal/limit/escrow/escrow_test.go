package escrow

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/errkind"
)

var oneDC = []string{"a"}
var threeDCs = []string{"a", "b", "c"}

func TestReserveWithinOneDataCentre(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newCluster(oneDC, 3, testAccount("acme", 100, 1000))
		defer c.stop()
		for _, n := range c.nodes {
			r, u, err := n.reserve("acme", 300, time.Second)
			assert.NilError(t, err)
			n.settle(r, u, 100)
		}
		time.Sleep(100 * time.Millisecond)
		_, _, err := c.nodes[0].reserve("acme", 700, time.Second)
		assert.NilError(t, err)
		excess, total := c.excess("acme", 100, 1000)
		assert.Equal(t, excess, 0.0)
		assert.Equal(t, total, 1000.0)
	})
}

func TestRefusals(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newCluster(oneDC, 2, testAccount("acme", 100, 1000))
		defer c.stop()
		_, _, err := c.nodes[0].reserve("acme", 1001, time.Second)
		assert.Assert(t, errkind.Is(err, errkind.TooLarge))
		for _, n := range c.nodes {
			_, _, err = n.reserve("acme", 500, time.Second)
			assert.NilError(t, err)
		}
		for _, n := range c.nodes {
			start := time.Now()
			_, _, err = n.reserve("acme", 500, time.Second)
			assert.Assert(t, errkind.Is(err, errkind.OverRate), "%v", err)
			assert.Assert(t, time.Since(start) < 200*time.Millisecond, "not refused early")
			after := errkind.From(err).RetryAfter
			assert.Assert(t, after > 4800*time.Millisecond && after <= 5*time.Second, "%v", after)
		}
	})
}

func TestWaitIsFIFO(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newCluster(oneDC, 3, testAccount("acme", 100, 100))
		defer c.stop()
		_, _, err := c.nodes[0].reserve("acme", 100, 0)
		assert.NilError(t, err)
		const n = 9
		done := make(chan int, n)
		for i := range n {
			go func() {
				tokens := 20 + 10*(i%3) // smaller requests must not overtake larger ones
				if _, _, err := c.nodes[i%3].reserve("acme", tokens, time.Minute); err != nil {
					t.Error(err)
				}
				done <- i
			}()
			time.Sleep(10 * time.Millisecond)
		}
		for i := range n {
			assert.Equal(t, <-done, i)
		}
		excess, _ := c.excess("acme", 100, 100)
		assert.Equal(t, excess, 0.0)
	})
}

func TestSmallAccountIsServed(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		// A prompt of 900 tokens fits no share: each data centre holds 333.
		c := newCluster(threeDCs, 3, testAccount("small", 300, 1000))
		c.encode = true
		defer c.stop()
		for i := range 6 {
			n := c.nodes[i%len(c.nodes)]
			r, u, err := n.reserve("small", 900, 10*time.Second)
			assert.NilError(t, err)
			n.settle(r, u, 100)
			time.Sleep(time.Second)
		}
		// Two data centres request the whole burst concurrently.
		errs := make(chan error, 2)
		for _, i := range []int{0, 4} {
			go func() {
				_, _, err := c.nodes[i].reserve("small", 1000, 20*time.Second)
				errs <- err
			}()
		}
		assert.NilError(t, <-errs)
		assert.NilError(t, <-errs)
		excess, _ := c.excess("small", 300, 1000)
		assert.Equal(t, excess, 0.0)
	})
}
