// Package rollout reports the progress of ticket rollouts, from the session rows that
// the instances write to the store.
package rollout

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/member"
	"carawayrouter.example/router/internal/platform"
)

const (
	pageSize = 500 // rows per read
	// cutOffAfter is the time without a renewed session after which a data centre
	// counts as cut off from the platform.
	cutOffAfter = 20 * time.Second
)

// Session is the part of an instance's session row that operators see.
type Session struct {
	Name       string    `json:"name"`
	Addr       string    `json:"addr"`
	DataCentre string    `json:"data_centre"`
	Epoch      uint64    `json:"epoch"`
	Applied    uint64    `json:"applied"` // newest ticket in force on the instance
	Renewed    time.Time `json:"renewed"` // by the instance's clock
}

// Sessions reads the sessions of all instances that have not left, sorted by name.
// A row that cannot be decoded yields a session with only the row's name, so that no
// instance is hidden.
func Sessions(ctx context.Context, table platform.Table) ([]Session, error) {
	var all []Session
	after := ""
	for {
		rows, err := table.Scan(ctx, member.RowPrefix, after, pageSize)
		if err != nil {
			return nil, errors.Wrap(err, "read sessions")
		}
		for _, r := range rows {
			after = r.Key
			if s, ok := parseSession(r); ok {
				all = append(all, s)
			}
		}
		if len(rows) < pageSize {
			slices.SortFunc(all, func(a, b Session) int { return strings.Compare(a.Name, b.Name) })
			return all, nil
		}
	}
}

// parseSession decodes one row; ok is false for an instance that has left or has not
// completed its registration.
func parseSession(r platform.Row) (s Session, ok bool) {
	row, err := member.ParseRow(r)
	if err != nil || row.Name == "" {
		return Session{Name: strings.TrimPrefix(r.Key, member.RowPrefix)}, true
	}
	s = Session{Name: row.Name, Addr: row.Addr, DataCentre: row.DataCentre, Epoch: row.Epoch, Applied: row.Applied, Renewed: row.Renewed}
	return s, !row.Released && row.Epoch > 0
}

// CutOff returns the data centres in which no session was renewed within cutOffAfter,
// sorted. The clocks of instances may differ by a few seconds.
func CutOff(sessions []Session, now time.Time) []string {
	active := map[string]bool{}
	for _, s := range sessions {
		if s.DataCentre != "" {
			active[s.DataCentre] = active[s.DataCentre] || now.Sub(s.Renewed) < cutOffAfter
		}
	}
	var cut []string
	for dc, ok := range active {
		if !ok {
			cut = append(cut, dc)
		}
	}
	slices.Sort(cut)
	return cut
}

// Progress is the number of instances on which a ticket is in force.
type Progress struct {
	Ticket    uint64    `json:"ticket"`
	InForce   int       `json:"in_force"`
	Instances int       `json:"instances"`
	Laggards  []Session `json:"laggards"`
}

// ProgressOf counts the instances that have applied a ticket.
func ProgressOf(ticket uint64, sessions []Session) Progress {
	p := Progress{Ticket: ticket, Instances: len(sessions)}
	for _, s := range sessions {
		if s.Applied >= ticket {
			p.InForce++
			continue
		}
		p.Laggards = append(p.Laggards, s)
	}
	return p
}

// Complete reports whether the ticket is in force on all instances.
func (p Progress) Complete() bool { return p.Instances > 0 && p.InForce == p.Instances }
