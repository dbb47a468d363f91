package dispatch

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/member"
	"carawayrouter.example/router/internal/platform"
	"carawayrouter.example/router/internal/sched/pool"
)

// row is a table with one session row, or none, or out of reach.
type row struct {
	platform.Table
	value string
	err   error
}

func (r row) Get(context.Context, ...string) ([]platform.Row, error) {
	out := platform.Row{Value: []byte(r.value)}
	if r.value != "" {
		out.Version = 1
	}
	return []platform.Row{out}, r.err
}

type fixedView struct{ v *member.View }

func (f fixedView) View() *member.View { return f.v }

func TestDeathNeedsEvidence(t *testing.T) {
	for _, c := range []struct {
		name  string
		table row
		peers []member.Session
		dead  bool // at once
		later bool // after a long absence
	}{
		{"row of the same process", row{value: `{"process":5}`}, nil, false, false},
		{"released", row{value: `{"process":5,"released":true}`}, nil, true, true},
		{"newer process", row{value: `{"process":6}`}, nil, true, true},
		{"older process", row{value: `{"process":4,"released":true}`}, nil, false, false},
		{"no row", row{}, nil, true, true},
		{"store down", row{err: platform.ErrUnavailable}, nil, false, true},
		{"newer process in view, store down", row{err: platform.ErrUnavailable}, []member.Session{{Name: "i", Process: 6}}, true, true},
		{"older process in view", row{}, []member.Session{{Name: "i", Process: 4}}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := clock.NewFake(time.Unix(1, 0))
			d := &deaths{
				opts:   &Options{Members: fixedView{&member.View{Peers: c.peers}}, Clock: now, Evidence: TableEvidence{c.table}},
				absent: map[pool.Holder]time.Time{},
			}
			h := pool.Holder{Instance: "i", Incarnation: 5}
			assert.Equal(t, d.dead(context.Background(), h), c.dead)
			now.Advance(absentFor)
			assert.Equal(t, d.dead(context.Background(), h), c.later)
		})
	}
}
