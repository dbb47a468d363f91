package ticket

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/config"
)

// set is a mutable collection of objects at one ticket. The objects themselves are
// shared with config.State and never changed.
type set struct {
	ticket    uint64
	accounts  map[string]*config.Account
	keys      map[string]*config.Key // by ID
	pools     map[string]*config.Pool
	endpoints map[string]*config.Endpoint
	routes    map[string]*config.Route

	touched map[config.Kind]bool // kinds that differ from the state built last
}

func newSet(ticket uint64, o *config.Objects) *set {
	s := &set{
		ticket:    ticket,
		accounts:  map[string]*config.Account{},
		keys:      map[string]*config.Key{},
		pools:     map[string]*config.Pool{},
		endpoints: map[string]*config.Endpoint{},
		routes:    map[string]*config.Route{},
		touched: map[config.Kind]bool{
			config.KindAccount: true, config.KindKey: true, config.KindPool: true,
			config.KindEndpoint: true, config.KindRoute: true,
		},
	}
	for _, c := range Changes(o) {
		s.change(&c)
	}
	return s
}

// apply takes over a ticket's changes.
func (s *set) apply(t *Ticket) {
	for i := range t.Changes {
		s.change(&t.Changes[i])
	}
	s.ticket = t.Number
}

func (s *set) change(c *Change) {
	s.touched[c.Kind] = true
	switch c.Kind {
	case config.KindAccount:
		put(s.accounts, c, c.Account)
	case config.KindKey:
		put(s.keys, c, c.Key)
	case config.KindPool:
		put(s.pools, c, c.Pool)
	case config.KindEndpoint:
		put(s.endpoints, c, c.Endpoint)
	case config.KindRoute:
		put(s.routes, c, c.Route)
	}
}

func put[T any](m map[string]*T, c *Change, v *T) {
	if c.Delete {
		delete(m, c.Name)
		return
	}
	m[c.Name] = v
}

// next builds the immutable form. It shares with prev, the State built last from
// this set, the kinds that have not been touched since.
func (s *set) next(prev *config.State) *config.State {
	var o config.Objects
	if s.touched[config.KindAccount] {
		o.Accounts = values(s.accounts)
	}
	if s.touched[config.KindKey] {
		o.Keys = values(s.keys)
	}
	if s.touched[config.KindPool] {
		o.Pools = values(s.pools)
	}
	if s.touched[config.KindEndpoint] {
		o.Endpoints = values(s.endpoints)
	}
	if s.touched[config.KindRoute] {
		o.Routes = values(s.routes)
	}
	clear(s.touched)
	return prev.Replace(s.ticket, &o)
}

// state builds the immutable form of all kinds.
func (s *set) state() *config.State {
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

// Snapshot is the whole configuration at one ticket.
type Snapshot struct {
	Ticket  uint64          `json:"ticket"`
	Objects *config.Objects `json:"objects"`
}

// encodeSnapshot returns the form kept in the object store.
func encodeSnapshot(s *config.State) ([]byte, error) {
	data, err := json.Marshal(Snapshot{Ticket: s.Ticket, Objects: s.Objects()})
	return data, errors.Wrap(err, "encode snapshot")
}

// decodeSnapshot reads the form kept in the object store.
func decodeSnapshot(data []byte) (*set, error) {
	var s Snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, errors.Wrap(err, "decode snapshot")
	}
	if s.Objects == nil {
		return nil, errors.New("decode snapshot: no objects")
	}
	if hasNil(s.Objects) {
		return nil, errors.New("decode snapshot: empty object")
	}
	return newSet(s.Ticket, s.Objects), nil
}

// hasNil reports whether a list holds no object where one should be.
func hasNil(o *config.Objects) bool {
	return slices.Contains(o.Accounts, nil) || slices.Contains(o.Keys, nil) || slices.Contains(o.Pools, nil) ||
		slices.Contains(o.Endpoints, nil) || slices.Contains(o.Routes, nil)
}
