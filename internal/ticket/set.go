package ticket

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/config"
)

// objectSet is a mutable collection of configuration objects as of one ticket. The
// objects themselves are shared with config.State and must not be modified.
type objectSet struct {
	ticket    uint64
	accounts  map[string]*config.Account
	keys      map[string]*config.Key // by ID
	pools     map[string]*config.Pool
	endpoints map[string]*config.Endpoint
	routes    map[string]*config.Route

	changedKinds map[config.Kind]bool // kinds changed since the last buildFrom
}

func newObjectSet(ticket uint64, o *config.Objects) *objectSet {
	s := &objectSet{
		ticket:    ticket,
		accounts:  map[string]*config.Account{},
		keys:      map[string]*config.Key{},
		pools:     map[string]*config.Pool{},
		endpoints: map[string]*config.Endpoint{},
		routes:    map[string]*config.Route{},
		changedKinds: map[config.Kind]bool{
			config.KindAccount: true, config.KindKey: true, config.KindPool: true,
			config.KindEndpoint: true, config.KindRoute: true,
		},
	}
	for _, c := range Changes(o) {
		s.applyChange(&c)
	}
	return s
}

// apply applies all changes of a ticket.
func (s *objectSet) apply(t *Ticket) {
	for i := range t.Changes {
		s.applyChange(&t.Changes[i])
	}
	s.ticket = t.Number
}

func (s *objectSet) applyChange(c *Change) {
	s.changedKinds[c.Kind] = true
	switch c.Kind {
	case config.KindAccount:
		applyTo(s.accounts, c, c.Account)
	case config.KindKey:
		applyTo(s.keys, c, c.Key)
	case config.KindPool:
		applyTo(s.pools, c, c.Pool)
	case config.KindEndpoint:
		applyTo(s.endpoints, c, c.Endpoint)
	case config.KindRoute:
		applyTo(s.routes, c, c.Route)
	}
}

func applyTo[T any](m map[string]*T, c *Change, v *T) {
	if c.Delete {
		delete(m, c.Name)
		return
	}
	m[c.Name] = v
}

// buildFrom builds an immutable State. prev must be the State last built from this
// set; the kinds that have not changed since are shared with it.
func (s *objectSet) buildFrom(prev *config.State) *config.State {
	var o config.Objects
	if s.changedKinds[config.KindAccount] {
		o.Accounts = values(s.accounts)
	}
	if s.changedKinds[config.KindKey] {
		o.Keys = values(s.keys)
	}
	if s.changedKinds[config.KindPool] {
		o.Pools = values(s.pools)
	}
	if s.changedKinds[config.KindEndpoint] {
		o.Endpoints = values(s.endpoints)
	}
	if s.changedKinds[config.KindRoute] {
		o.Routes = values(s.routes)
	}
	clear(s.changedKinds)
	return prev.Replace(s.ticket, &o)
}

// build builds an immutable State from all kinds.
func (s *objectSet) build() *config.State {
	return config.Build(s.ticket, &config.Objects{
		Accounts:  values(s.accounts),
		Keys:      values(s.keys),
		Pools:     values(s.pools),
		Endpoints: values(s.endpoints),
		Routes:    values(s.routes),
	})
}

func values[T any](m map[string]*T) []*T {
	list := make([]*T, 0, len(m))
	for _, v := range m {
		list = append(list, v)
	}
	return list
}

// Snapshot is the complete configuration as of one ticket.
type Snapshot struct {
	Ticket  uint64          `json:"ticket"`
	Objects *config.Objects `json:"objects"`
}

// encodeSnapshot returns the encoding used in the object store.
func encodeSnapshot(s *config.State) ([]byte, error) {
	data, err := json.Marshal(Snapshot{Ticket: s.Ticket, Objects: s.Objects()})
	return data, errors.Wrap(err, "encode snapshot")
}

// decodeSnapshot parses the encoding used in the object store.
func decodeSnapshot(data []byte) (*objectSet, error) {
	var s Snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, errors.Wrap(err, "decode snapshot")
	}
	if s.Objects == nil {
		return nil, errors.New("decode snapshot: no objects")
	}
	if hasNil(s.Objects) {
		return nil, errors.New("decode snapshot: null object")
	}
	return newObjectSet(s.Ticket, s.Objects), nil
}

// hasNil reports whether any of the object lists contains a nil entry.
func hasNil(o *config.Objects) bool {
	return slices.Contains(o.Accounts, nil) || slices.Contains(o.Keys, nil) || slices.Contains(o.Pools, nil) ||
		slices.Contains(o.Endpoints, nil) || slices.Contains(o.Routes, nil)
}
