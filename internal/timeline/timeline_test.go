package timeline

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/event"
)

// skewedRings returns the rings of two processes whose wall clocks differ by a second. The
// process that is ahead has sent a message to the one that is behind.
func skewedRings() (ahead, behind *event.Ring) {
	ahead = event.NewRing("ahead", 8, clock.NewFake(time.Unix(101, 0)))
	behind = event.NewRing("behind", 2, clock.NewFake(time.Unix(100, 0)))
	ahead.Add(event.Event{Kind: "peer.send", Request: "r"})
	behind.Observe(ahead.Now())
	behind.Add(event.Event{Kind: "peer.receive", Request: "r"})
	behind.Add(event.Event{Kind: "other"})
	behind.Add(event.Event{Kind: "peer.reply", Request: "r", Detail: "<b>"})
	return ahead, behind
}

func TestMergeOrdersCausallyAndReportsLosses(t *testing.T) {
	ahead, behind := skewedRings()
	l := Merge([]event.Page{behind.Page(0), ahead.Page(0)}, Filter{Request: "r"})
	var text strings.Builder
	assert.NilError(t, l.Text(&text))
	lines := strings.Split(strings.TrimSpace(text.String()), "\n")
	assert.Equal(t, len(lines), 3)
	assert.Assert(t, strings.Contains(lines[0], "peer.send"))
	assert.Assert(t, strings.Contains(lines[1], "peer.reply"))
	assert.Equal(t, lines[2], "lost: behind: 1 events overwritten")
}

func TestHTMLEscapesEvents(t *testing.T) {
	_, behind := skewedRings()
	var text strings.Builder
	assert.NilError(t, Merge([]event.Page{behind.Page(0)}, Filter{}).HTML(&text))
	assert.Assert(t, strings.Contains(text.String(), "&lt;b&gt;"))
	assert.Assert(t, !strings.Contains(text.String(), "http"))
}
