package engine

import (
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/reqid"
	"carawayrouter.example/router/internal/settings"
	"carawayrouter.example/router/internal/standin/host"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestDefaultsAgreeWithTags(t *testing.T) {
	var file struct {
		Engine Settings `ini:"engine"`
	}
	assert.NilError(t, settings.Parse("empty", nil, &file))
	assert.DeepEqual(t, file.Engine, DefaultSettings())
}

// newFakeState returns a state that uses a fake clock.
func newFakeState(t *testing.T, s Settings) (*state, *clock.Fake) {
	t.Helper()
	clk := clock.NewFake(epoch)
	h := host.New(host.Options{Clock: clk})
	st := newState(s, clk, h.Faults(), newLedger())
	t.Cleanup(st.stop)
	return st, clk
}

// runFor advances the clock in steps of 1 ms until done is closed and returns the time
// since epoch.
func runFor(clk *clock.Fake, done <-chan struct{}) time.Duration {
	for {
		select {
		case <-done:
			return clk.Now().Sub(epoch)
		default:
			clk.Advance(time.Millisecond)
			runtime.Gosched()
		}
	}
}

// TestPrefillCost checks that a prefill takes PrefillPerPiece for each piece that is not
// cached, and that prefilling one piece takes at least as long as 20 decode steps.
func TestPrefillCost(t *testing.T) {
	s := DefaultSettings()
	s.Role = "prefill"
	s.ResultTTL = time.Hour
	st, clk := newFakeState(t, s)
	prompt := strings.Repeat("q", 4*endpoint.PieceTokens*endpoint.BytesPerToken)
	j, ref := st.prefill(endpoint.PrefillRequest{ID: reqid.ID{Instance: "e", Seq: 1}, Prompt: prompt})
	assert.Assert(t, ref == nil)
	took := runFor(clk, j.done)
	assert.Assert(t, took >= 4*s.PrefillPerPiece, "took %s", took)
	assert.Assert(t, s.PrefillPerPiece >= 20*s.TokenInterval)
	assert.Equal(t, st.ledger.snapshot().PrefillTokens, 4*endpoint.PieceTokens)

	j, ref = st.prefill(endpoint.PrefillRequest{ID: reqid.ID{Instance: "e", Seq: 2}, Prompt: prompt})
	assert.Assert(t, ref == nil)
	runFor(clk, j.done)
	assert.Equal(t, st.ledger.snapshot().PrefillTokens, 4*endpoint.PieceTokens)
	assert.Equal(t, j.cached, 4*endpoint.PieceTokens)
}

// TestLinkIsShared checks that transfers use the link of an engine one after the other.
func TestLinkIsShared(t *testing.T) {
	s := DefaultSettings()
	s.LinkRate, s.KVBytesPerToken = 1000, 10
	st, _ := newFakeState(t, s)
	assert.Equal(t, st.reserveLink(100).Sub(epoch), time.Second)
	assert.Equal(t, st.reserveLink(50).Sub(epoch), 1500*time.Millisecond)
}

func TestOutputsDifferByPromptAndModel(t *testing.T) {
	seen := map[string]bool{}
	for _, in := range [][2]string{{"m", "a"}, {"m", "b"}, {"n", "a"}, {"ma", ""}} {
		w := ExpectedText(in[0], in[1], 0) + ExpectedText(in[0], in[1], 1)
		assert.Assert(t, !seen[w])
		seen[w] = true
		n := ExpectedLength(in[0], in[1], 40)
		assert.Assert(t, n >= 20 && n <= 40)
	}
}
