// Package rollout tells how far tickets are in force, from what the instances report
// about themselves in the table.
package rollout

import (
	"context"
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/platform"
)

const (
	sessionPrefix = "session/"
	pageSize      = 500 // rows read in one call
)

// Session is the part of an instance's session row that operators see.
type Session struct {
	Name       string `json:"name"`
	Addr       string `json:"addr"`
	DataCentre string `json:"data_centre"`
	Epoch      uint64 `json:"epoch"`
	Applied    uint64 `json:"applied"` // newest ticket in force there
}

// Sessions reads the sessions of all instances, sorted by name. Rows that cannot be
// read give a session with the row's name alone, so that none goes unseen.
func Sessions(ctx context.Context, table platform.Table) ([]Session, error) {
	var all []Session
	after := ""
	for {
		rows, err := table.Scan(ctx, sessionPrefix, after, pageSize)
		if err != nil {
			return nil, errors.Wrap(err, "read sessions")
		}
		for _, r := range rows {
			var s Session
			if json.Unmarshal(r.Value, &s) != nil || s.Name == "" {
				s = Session{Name: strings.TrimPrefix(r.Key, sessionPrefix)}
			}
			all = append(all, s)
			after = r.Key
		}
		if len(rows) < pageSize {
			slices.SortFunc(all, func(a, b Session) int { return strings.Compare(a.Name, b.Name) })
			return all, nil
		}
	}
}

// Progress tells on how many instances a ticket is in force.
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

// Everywhere reports whether the ticket is in force on all instances.
func (p Progress) Everywhere() bool { return p.Instances > 0 && p.InForce == p.Instances }
