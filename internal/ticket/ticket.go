// Package ticket changes the configuration through numbered tickets: operators
// submit them in one transaction each, and every instance applies them in order.
package ticket

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"carawayrouter.example/router/internal/config"
)

// Ref names one configured object.
type Ref struct {
	Kind config.Kind `json:"kind"`
	Name string      `json:"name"` // the ID for keys
}

// String returns "kind name".
func (r Ref) String() string { return fmt.Sprintf("%s %s", r.Kind, r.Name) }

// Change is the whole new state of one object. Exactly one of the pointers is set
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

// Changes returns the changes that set all the objects given.
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

// Ticket is an accepted change of the configuration. It is never changed.
type Ticket struct {
	Number     uint64    `json:"number"`
	Submission string    `json:"submission"` // unique for each submission
	Author     string    `json:"author"`
	Note       string    `json:"note,omitempty"`
	At         time.Time `json:"at"` // by the author's clock, for display only
	Changes    []Change  `json:"changes"`
}

// Draft is a change that has not been accepted.
type Draft struct {
	File       string // for error messages
	Note       string
	Base       uint64 // ticket that the author has seen; 0 with HasBase unset: the newest
	HasBase    bool
	Submission string // kept over repeated submissions of the same draft
	Changes    []Change

	lines     map[Ref]location
	unsettled bool // an attempt to submit may have taken effect or may do so yet
}

// NewDraft returns a draft of the given changes.
func NewDraft(note string, changes ...Change) *Draft {
	return &Draft{File: "draft", Note: note, Submission: uuid.NewString(), Changes: changes}
}

// DecodeTicket reads a ticket in the form of the table's rows.
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

// check reports changes whose object is missing or is named otherwise.
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
