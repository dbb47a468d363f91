// Package config holds the operators' configuration as immutable snapshots: client
// accounts, keys, endpoint pools and routes as of one ticket number.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"
)

// Kind is the kind of a configured object.
type Kind string

// The kinds of objects that tickets carry.
const (
	KindAccount  Kind = "account"
	KindKey      Kind = "key"
	KindPool     Kind = "pool"
	KindEndpoint Kind = "endpoint"
	KindRoute    Kind = "route"
)

// StalePolicy determines how an instance treats an account's keys while it cannot tell
// whether its configuration is current.
type StalePolicy string

// The stale policies.
const (
	StaleServe  StalePolicy = "serve"
	StaleRefuse StalePolicy = "refuse"
)

// Account is a client account with its fleet-wide rate limit.
type Account struct {
	Name       string        `json:"name"`
	Rate       float64       `json:"rate"`   // tokens per second over all instances
	Burst      float64       `json:"burst"`  // tokens
	Weight     float64       `json:"weight"` // multiplies the fair-queueing share that follows from the rate
	StaleKeys  StalePolicy   `json:"stale_keys"`
	StaleAfter time.Duration `json:"stale_after"`           // age at which configuration counts as stale
	Priority   int           `json:"priority,omitempty"`    // 0 is the most urgent
	FlatTokens int           `json:"flat_tokens,omitempty"` // tokens charged for a request that declares none
	Homes      []string      `json:"homes,omitempty"`       // regions that its requests stay in; empty for any
}

// KeyHash is the SHA-256 of a caller's key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash under which a key is stored.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// MarshalText implements encoding.TextMarshaler.
func (h KeyHash) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(h[:])), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *KeyHash) UnmarshalText(b []byte) error {
	_, err := hex.Decode(h[:], b)
	return err
}

// Key is a credential of an account. The key itself is never stored.
type Key struct {
	ID        string  `json:"id"`
	Account   string  `json:"account"`
	Hash      KeyHash `json:"hash"`
	Withdrawn bool    `json:"withdrawn"`
}

// PoolKind is the kind of a pool's endpoints.
type PoolKind string

// The kinds of pools.
const (
	ModelPool   PoolKind = "model"
	ServicePool PoolKind = "service"
)

// Pool is a set of endpoints that serve one model or one service.
type Pool struct {
	Name     string   `json:"name"`
	Kind     PoolKind `json:"kind"`
	Model    string   `json:"model,omitempty"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`

	HealthPath  string      `json:"health_path,omitempty"`
	Connections int         `json:"connections,omitempty"` // maximum open connections per endpoint
	Engine      *EngineSpec `json:"engine,omitempty"`      // nil for plain services

	ColdTime time.Duration `json:"cold_time,omitempty"` // for which an endpoint is slow after its start
	ColdRate float64       `json:"cold_rate,omitempty"` // requests per second from all instances that a cold endpoint bears; 0 for any number
}

// EngineSpec holds the properties that all engines of a pool share.
type EngineSpec struct {
	Slots     int           `json:"slots"`      // requests decoded concurrently
	KVTokens  int           `json:"kv_tokens"`  // tokens that fit in KV memory
	Stride    int           `json:"stride"`     // output tokens per event of a stream
	HandleTTL time.Duration `json:"handle_ttl"` // lifetime of a prefill result that is not fetched
}

// Role is the function of an endpoint within its pool.
type Role string

// The roles of endpoints.
const (
	Prefill Role = "prefill"
	Decode  Role = "decode"
	Plain   Role = "plain"
)

// Endpoint is one server of a pool.
type Endpoint struct {
	Name       string `json:"name"`
	Pool       string `json:"pool"`
	Addr       string `json:"addr"` // IP:port
	DataCentre string `json:"data_centre"`
	Region     string `json:"region,omitempty"`
	Role       Role   `json:"role"`
	Slots      int    `json:"slots"`   // concurrent requests
	Pieces     int    `json:"pieces"`  // KV pieces
	Fencing    bool   `json:"fencing"` // refuses orders with a stale epoch
	Leaving    bool   `json:"leaving"`

	SoftwareVersion string `json:"software_version,omitempty"`

	Incarnation int64         `json:"incarnation,omitempty"` // start of the process, Unix ms
	Revision    uint64        `json:"revision,omitempty"`    // increases with every report of one incarnation
	Written     uint64        `json:"written,omitempty"`     // position in the store at which the entry was written
	WarmUp      time.Duration `json:"cold,omitempty"`        // remaining warm-up time after its start, during which it is slow
}

// Class is the urgency class of a request.
type Class string

// The request classes.
const (
	Interactive Class = "interactive"
	Patient     Class = "patient"
)

// Route maps requests to a pool.
type Route struct {
	Name       string        `json:"name"`
	Method     string        `json:"method"` // empty matches every method
	Path       string        `json:"path"`   // a trailing '*' matches any suffix
	Model      string        `json:"model,omitempty"`
	Pool       string        `json:"pool"`
	Open       bool          `json:"open"` // accepts requests without a key
	Class      Class         `json:"class"`
	MaxWait    time.Duration `json:"max_wait"`    // longest time in queue
	FirstToken time.Duration `json:"first_token"` // latency target
	Deadline   time.Duration `json:"deadline"`    // time limit of the whole request
	Idempotent bool          `json:"idempotent"`

	// Used by routes of pass-through deployments.
	Host        string        `json:"host,omitempty"` // empty matches every host
	Split       []Share       `json:"split,omitempty"`
	Streaming   bool          `json:"streaming,omitempty"`
	Resumable   bool          `json:"resumable,omitempty"`
	MaxAttempts int           `json:"max_attempts,omitempty"`
	MaxGap      time.Duration `json:"max_gap,omitempty"` // longest gap between events that meets the target
	Priority    int           `json:"priority,omitempty"`
	Homes       []string      `json:"homes,omitempty"` // regions that its requests stay in; empty for any
}

// Share is one pool's part of a route's requests.
type Share struct {
	Pool   string `json:"pool"`
	Weight int    `json:"weight"`
}

// PoolFor returns the pool that a request goes to; point in [0, 1) selects a pool of a
// split by weight.
func (r *Route) PoolFor(point float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := point * float64(total)
	for _, s := range r.Split {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Pool
		}
	}
	return r.Pool
}

// Allows reports whether requests may go to a pool.
func (r *Route) Allows(pool string) bool {
	if len(r.Split) == 0 {
		return r.Pool == pool
	}
	return slices.ContainsFunc(r.Split, func(s Share) bool { return s.Pool == pool && s.Weight > 0 })
}

// Matches reports whether the route accepts a request.
func (r *Route) Matches(method, path, model string) bool {
	if r.Method != "" && r.Method != method {
		return false
	}
	if r.Model != "" && r.Model != model {
		return false
	}
	if prefix, ok := strings.CutSuffix(r.Path, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return r.Path == path
}

// State is the complete configuration as of one ticket. It is immutable once built.
type State struct {
	Ticket    uint64
	Accounts  map[string]*Account
	Keys      map[KeyHash]*Key
	Pools     map[string]*Pool
	Endpoints map[string]*Endpoint
	Routes    []*Route // exact paths before patterns, longer patterns first

	Limits Limits

	byPool map[string][]*Endpoint
	byHost map[string][]*Route // longest path first
}

// Limits bound the size and the duration of what a caller sends. Zero means no limit.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Empty returns the configuration before the first ticket.
func Empty() *State { return Build(0, nil) }

// Objects lists configured objects of all kinds; Build makes a State of them.
type Objects struct {
	Accounts  []*Account  `json:"accounts"`
	Keys      []*Key      `json:"keys"`
	Pools     []*Pool     `json:"pools"`
	Endpoints []*Endpoint `json:"endpoints"`
	Routes    []*Route    `json:"routes"`
	Limits    Limits      `json:"limits"`
}

// Build returns the State of the given objects as of a ticket number.
func Build(ticket uint64, o *Objects) *State {
	if o == nil {
		o = &Objects{}
	}
	s := &State{Ticket: ticket}
	s.setAccounts(o.Accounts)
	s.setKeys(o.Keys)
	s.setPools(o.Pools)
	s.setEndpoints(o.Endpoints)
	s.setRoutes(o.Routes)
	s.Limits = o.Limits
	return s
}

// Replace returns the State as of a later ticket, in which each non-nil list of o
// replaces all objects of its kind. It shares the other kinds with s.
func (s *State) Replace(ticket uint64, o *Objects) *State {
	next := *s
	next.Ticket = ticket
	if o.Accounts != nil {
		next.setAccounts(o.Accounts)
	}
	if o.Keys != nil {
		next.setKeys(o.Keys)
	}
	if o.Pools != nil {
		next.setPools(o.Pools)
	}
	if o.Endpoints != nil {
		next.setEndpoints(o.Endpoints)
	}
	if o.Routes != nil {
		next.setRoutes(o.Routes)
	}
	return &next
}

func (s *State) setAccounts(list []*Account) {
	s.Accounts = make(map[string]*Account, len(list))
	for _, a := range list {
		s.Accounts[a.Name] = a
	}
}

func (s *State) setKeys(list []*Key) {
	s.Keys = make(map[KeyHash]*Key, len(list))
	for _, k := range list {
		s.Keys[k.Hash] = k
	}
}

func (s *State) setPools(list []*Pool) {
	s.Pools = make(map[string]*Pool, len(list))
	for _, p := range list {
		s.Pools[p.Name] = p
	}
}

func (s *State) setEndpoints(list []*Endpoint) {
	s.Endpoints = make(map[string]*Endpoint, len(list))
	s.byPool = map[string][]*Endpoint{}
	for _, e := range list {
		s.Endpoints[e.Name] = e
		s.byPool[e.Pool] = append(s.byPool[e.Pool], e)
	}
	for _, es := range s.byPool {
		slices.SortFunc(es, func(a, b *Endpoint) int { return strings.Compare(a.Name, b.Name) })
	}
}

func (s *State) setRoutes(list []*Route) {
	s.Routes = slices.Clone(list)
	slices.SortStableFunc(s.Routes, compareRoutes)
	s.byHost = map[string][]*Route{}
	for _, r := range s.Routes {
		s.byHost[r.Host] = append(s.byHost[r.Host], r)
	}
}

// HostRoute returns the route of a host with the longest path that matches, or nil.
func (s *State) HostRoute(host, method, path string) *Route {
	for _, r := range s.byHost[host] {
		if r.Matches(method, path, "") {
			return r
		}
	}
	return nil
}

// Pool returns the endpoints of a pool, sorted by name. The slice is shared.
func (s *State) Pool(name string) []*Endpoint { return s.byPool[name] }

// Objects returns the objects of the State, each list in a stable order.
func (s *State) Objects() *Objects {
	o := &Objects{Routes: s.Routes}
	for _, a := range s.Accounts {
		o.Accounts = append(o.Accounts, a)
	}
	for _, k := range s.Keys {
		o.Keys = append(o.Keys, k)
	}
	for _, p := range s.Pools {
		o.Pools = append(o.Pools, p)
	}
	for _, e := range s.Endpoints {
		o.Endpoints = append(o.Endpoints, e)
	}
	slices.SortFunc(o.Accounts, func(a, b *Account) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(o.Keys, func(a, b *Key) int { return strings.Compare(a.ID, b.ID) })
	slices.SortFunc(o.Pools, func(a, b *Pool) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(o.Endpoints, func(a, b *Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return o
}

// Route returns the first route that matches the request, or nil.
func (s *State) Route(method, path, model string) *Route {
	for _, r := range s.Routes {
		if r.Matches(method, path, model) {
			return r
		}
	}
	return nil
}

// compareRoutes sorts exact paths first, then longer patterns, then routes that
// name a model, then by name.
func compareRoutes(a, b *Route) int {
	pa, pb := strings.HasSuffix(a.Path, "*"), strings.HasSuffix(b.Path, "*")
	switch {
	case pa != pb && pb:
		return -1
	case pa != pb:
		return 1
	case len(a.Path) != len(b.Path):
		return len(b.Path) - len(a.Path)
	case (a.Model == "") != (b.Model == ""):
		if a.Model != "" {
			return -1
		}
		return 1
	}
	return strings.Compare(a.Name, b.Name)
}

// Source provides the snapshot in force on this instance.
type Source interface {
	// Current returns the snapshot. Callers use the same one for a whole decision.
	Current() *State
	// Age returns the time since the configuration was last known to be current.
	Age() time.Duration
}
