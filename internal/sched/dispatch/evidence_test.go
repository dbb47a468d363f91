package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/member"
	"carawayrouter.example/router/internal/sched/pool"
)

type fixedEvidence bool

func (v fixedEvidence) Dead(string, uint64) bool { return bool(v) }

type fixedView struct{ v *member.View }

func (f fixedView) View() *member.View { return f.v }

func TestDeathNeedsEvidence(t *testing.T) {
	for _, c := range []struct {
		name     string
		evidence Evidence
		peers    []member.Session
		dead     bool // at once
		later    bool // after a long absence
	}{
		{"evidence of death", fixedEvidence(true), nil, true, true},
		{"no evidence of death", fixedEvidence(false), nil, false, false},
		{"no evidence to be had", nil, nil, false, true},
		{"newer process in view", fixedEvidence(false), []member.Session{{Name: "i", Process: 6}}, true, true},
		{"older process in view", fixedEvidence(true), []member.Session{{Name: "i", Process: 4}}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := clock.NewFake(time.Unix(1, 0))
			d := &deathDetector{
				opts:   &Options{Members: fixedView{&member.View{Peers: c.peers}}, Clock: now, Evidence: c.evidence},
				absent: map[pool.Holder]time.Time{},
			}
			h := pool.Holder{Instance: "i", Incarnation: 5}
			assert.Equal(t, d.isDead(h), c.dead)
			now.Advance(absenceTimeout)
			assert.Equal(t, d.isDead(h), c.later)
		})
	}
}
