// Package ticket implements changes of the configuration as a log of numbered tickets.
// Operators submit each ticket in one transaction, and every instance applies the
// tickets in order.
package ticket

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"carawayrouter.example/router/internal/config"
)

// Ref identifies a configuration object.
type Ref struct {
	Kind config.Kind `json:"kind"`
	Name string      `json:"name"` // for keys, the ID
}

// String returns "kind name".
func (r Ref) String() string { return fmt.Sprintf("%s %s", r.Kind, r.Name) }

// Change holds the complete new state of one object. Exactly one of the pointers is set
// unless the object is deleted.
type Change struct {
	Ref
	Delete   bool             `json:"delete,omitempty"`
	Account  *config.Account  `json:"account,omitempty"`
	Key      *config.Key      `json:"key,omitempty"`
	Pool     *config.Pool     `json:"pool,omitempty"`
	Endpoint *config.Endpoint `json:"endpoint,omitempty"`
	Route    *config.Route    `json:"route,omitempty"`
}

// PutAccount returns the change that sets an account.
func PutAccount(a *config.Account) Change {
	return Change{Ref: Ref{config.KindAccount, a.Name}, Account: a}
}

// PutKey returns the change that sets a key.
func PutKey(k *config.Key) Change {
	return Change{Ref: Ref{config.KindKey, k.ID}, Key: k}
}

// PutPool returns the change that sets a pool.
func PutPool(p *config.Pool) Change {
	return Change{Ref: Ref{config.KindPool, p.Name}, Pool: p}
}

// PutEndpoint returns the change that sets an endpoint.
func PutEndpoint(e *config.Endpoint) Change {
	return Change{Ref: Ref{config.KindEndpoint, e.Name}, Endpoint: e}
}

// PutRoute returns the change that sets a route.
func PutRoute(r *config.Route) Change {
	return Change{Ref: Ref{config.KindRoute, r.Name}, Route: r}
}

// Delete returns the change that removes an object.
func Delete(kind config.Kind, name string) Change {
	return Change{Ref: Ref{kind, name}, Delete: true}
}

// Changes returns the changes that set all given objects.
func Changes(o *config.Objects) []Change {
	var cs []Change
	for _, a := range o.Accounts {
		cs = append(cs, PutAccount(a))
	}
	for _, k := range o.Keys {
		cs = append(cs, PutKey(k))
	}
	for _, p := range o.Pools {
		cs = append(cs, PutPool(p))
	}
	for _, e := range o.Endpoints {
		cs = append(cs, PutEndpoint(e))
	}
	for _, r := range o.Routes {
		cs = append(cs, PutRoute(r))
	}
	return cs
}

// Ticket is an accepted change of the configuration. It is immutable.
type Ticket struct {
	Number     uint64    `json:"number"`
	Submission string    `json:"submission"` // unique per submission
	Author     string    `json:"author"`
	Note       string    `json:"note,omitempty"`
	At         time.Time `json:"at"` // according to the author's clock; for display only
	Changes    []Change  `json:"changes"`
}

// Draft is a set of changes that has not been accepted yet.
type Draft struct {
	File       string // file name used in error messages
	Note       string
	Base       uint64 // newest ticket known to the author; if HasBase is unset, the head at submission
	HasBase    bool
	Submission string // submission ID; the same for repeated submissions of this draft
	Changes    []Change

	locations      map[Ref]location
	outcomeUnknown bool // an earlier commit may have taken effect or may still do so
}

// NewDraft returns a draft of the given changes.
func NewDraft(note string, changes ...Change) *Draft {
	return &Draft{File: "draft", Note: note, Submission: uuid.NewString(), Changes: changes}
}

// DecodeTicket decodes a ticket from the value of its table row.
func DecodeTicket(data []byte) (*Ticket, error) {
	var t Ticket
	if err := json.Unmarshal(data, &t); err != nil {
		return nil, errors.Wrap(err, "decode ticket")
	}
	for i := range t.Changes {
		if err := t.Changes[i].check(); err != nil {
			return nil, errors.Wrapf(err, "ticket %d", t.Number)
		}
	}
	return &t, nil
}

// check returns an error if the object is missing or its name differs from the Ref.
func (c *Change) check() error {
	if c.Delete {
		return nil
	}
	var name string
	ok := false
	switch c.Kind {
	case config.KindAccount:
		if ok = c.Account != nil; ok {
			name = c.Account.Name
		}
	case config.KindKey:
		if ok = c.Key != nil; ok {
			name = c.Key.ID
		}
	case config.KindPool:
		if ok = c.Pool != nil; ok {
			name = c.Pool.Name
		}
	case config.KindEndpoint:
		if ok = c.Endpoint != nil; ok {
			name = c.Endpoint.Name
		}
	case config.KindRoute:
		if ok = c.Route != nil; ok {
			name = c.Route.Name
		}
	}
	if !ok || name != c.Name {
		return errors.Newf("%s carries no such object", c.Ref)
	}
	return nil
}
