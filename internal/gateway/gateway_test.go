package gateway

import (
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/errkind"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "7") // a seed on the command line takes precedence
	m.Run()
}

// A refused caller is never told to come back at once, however short the predicted wait is.
func TestRefusalHasATimeToReturn(t *testing.T) {
	for _, wait := range []time.Duration{-time.Second, 0, time.Millisecond, minRetryAfter, time.Minute} {
		after := errkind.From(refusal(errkind.QueueFull, "the engines stayed full", wait)).RetryAfter
		assert.Assert(t, after >= minRetryAfter && after >= wait, "%s after a wait of %s", after, wait)
	}
}
