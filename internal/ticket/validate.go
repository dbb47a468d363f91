package ticket

import (
	"fmt"
	"math"
	"net/netip"
	"strings"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/settings"
)

// Validate checks whether the draft can be applied to the given configuration. It
// returns the first error as a *settings.FileError with the line number.
func Validate(state *config.State, d *Draft) error {
	return validate(newObjectSet(state.Ticket, state.Objects()), d)
}

// Outcome returns the configuration that the draft makes of the given one. It checks nothing.
func Outcome(state *config.State, d *Draft) *config.State {
	s := newObjectSet(state.Ticket, state.Objects())
	for i := range d.Changes {
		s.applyChange(&d.Changes[i])
	}
	return s.build()
}

// validate is Validate on an object set; it applies the changes to the set.
func validate(s *objectSet, d *Draft) error {
	v := &validator{draft: d, set: s}
	seen := map[Ref]bool{}
	for i := range d.Changes {
		c := &d.Changes[i]
		if seen[c.Ref] {
			return v.errorf(c, "", "duplicate object")
		}
		seen[c.Ref] = true
		if c.Delete && !s.has(c.Ref) {
			return v.errorf(c, "delete", "there is no such object")
		}
		if !c.Delete {
			if err := c.check(); err != nil {
				return v.errorf(c, "", "%v", err)
			}
		}
		if !namePattern.MatchString(c.Name) {
			return v.errorf(c, "", "%s", allowedName)
		}
	}
	for i := range d.Changes {
		s.applyChange(&d.Changes[i])
	}
	for i := range d.Changes {
		if err := v.change(&d.Changes[i]); err != nil {
			return err
		}
	}
	return nil
}

// has reports whether the set contains the object.
func (s *objectSet) has(r Ref) bool {
	ok := false
	switch r.Kind {
	case config.KindAccount:
		_, ok = s.accounts[r.Name]
	case config.KindKey:
		_, ok = s.keys[r.Name]
	case config.KindPool:
		_, ok = s.pools[r.Name]
	case config.KindEndpoint:
		_, ok = s.endpoints[r.Name]
	case config.KindRoute:
		_, ok = s.routes[r.Name]
	}
	return ok
}

// validator checks the changes of a draft against the resulting configuration.
type validator struct {
	draft *Draft
	set   *objectSet // with all changes applied
}

// errorf returns a *settings.FileError for a setting of the changed object.
func (v *validator) errorf(c *Change, name, format string, args ...any) error {
	full := fmt.Sprintf("%s %q", c.Kind, c.Name)
	if name != "" {
		full += "." + name
	}
	l := v.draft.locations[c.Ref]
	return &settings.FileError{File: v.draft.File, Line: l.lineOf(name), Name: full, Problem: fmt.Sprintf(format, args...)}
}

func (v *validator) change(c *Change) error {
	switch c.Kind {
	case config.KindAccount:
		return v.account(c)
	case config.KindKey:
		return v.key(c)
	case config.KindPool:
		return v.pool(c)
	case config.KindEndpoint:
		return v.endpoint(c)
	case config.KindRoute:
		return v.route(c)
	}
	return v.errorf(c, "", "unknown kind of object")
}

func (v *validator) account(c *Change) error {
	if c.Delete {
		for _, k := range v.set.keys {
			if k.Account == c.Name {
				return v.errorf(c, "delete", "key %q still belongs to it", k.ID)
			}
		}
		return nil
	}
	a := c.Account
	switch {
	case !positiveFinite(a.Rate):
		return v.errorf(c, "rate", "allowed: above 0")
	case !positiveFinite(a.Burst):
		return v.errorf(c, "burst", "allowed: above 0")
	case !positiveFinite(a.Weight):
		return v.errorf(c, "weight", "allowed: above 0")
	case a.StaleKeys != config.StaleServe && a.StaleKeys != config.StaleRefuse:
		return v.errorf(c, "stale_keys", "allowed: serve, refuse")
	case a.StaleKeys == config.StaleRefuse && a.StaleAfter <= 0:
		return v.errorf(c, "stale_after", "allowed: above 0")
	}
	return nil
}

func positiveFinite(x float64) bool { return x > 0 && !math.IsInf(x, 0) }

func (v *validator) key(c *Change) error {
	if c.Delete {
		return nil
	}
	if _, ok := v.set.accounts[c.Key.Account]; !ok {
		return v.errorf(c, "account", "there is no account %q", c.Key.Account)
	}
	for _, k := range v.set.keys {
		if k.Hash == c.Key.Hash && k.ID != c.Key.ID {
			return v.errorf(c, "hash", "is already used by key %q", k.ID)
		}
	}
	return nil
}

func (v *validator) pool(c *Change) error {
	for _, e := range v.set.endpoints {
		if e.Pool != c.Name {
			continue
		}
		if c.Delete {
			return v.errorf(c, "delete", "endpoint %q still belongs to it", e.Name)
		}
		if !roleMatchesKind(c.Pool.Kind, e.Role) {
			return v.errorf(c, "kind", "endpoint %q has role %s", e.Name, e.Role)
		}
	}
	if c.Delete {
		return v.checkNoRoutes(c)
	}
	switch {
	case c.Pool.Kind != config.ModelPool && c.Pool.Kind != config.ServicePool:
		return v.errorf(c, "kind", "allowed: model, service")
	case c.Pool.Kind == config.ModelPool && c.Pool.Model == "":
		return v.errorf(c, "model", "is required for kind = model")
	case c.Pool.Kind == config.ServicePool && (c.Pool.Model != "" || c.Pool.Version != "" || len(c.Pool.Adapters) > 0):
		return v.errorf(c, "model", "model, version and adapters are for kind = model")
	}
	return nil
}

func (v *validator) checkNoRoutes(c *Change) error {
	for _, r := range v.set.routes {
		if r.Pool == c.Name {
			return v.errorf(c, "delete", "route %q still uses it", r.Name)
		}
	}
	return nil
}

// roleMatchesKind reports whether a pool of the given kind may contain endpoints of the
// given role.
func roleMatchesKind(k config.PoolKind, r config.Role) bool {
	return (k == config.ServicePool) == (r == config.Plain)
}

func (v *validator) endpoint(c *Change) error {
	if c.Delete {
		return nil
	}
	e := c.Endpoint
	p, ok := v.set.pools[e.Pool]
	addr, err := netip.ParseAddrPort(e.Addr)
	switch {
	case !ok:
		return v.errorf(c, "pool", "there is no pool %q", e.Pool)
	case !roleMatchesKind(p.Kind, e.Role):
		return v.errorf(c, "role", "%s does not fit pool %q of kind %s", e.Role, p.Name, p.Kind)
	case err != nil || addr.Port() == 0:
		return v.errorf(c, "addr", "%q is not IP:port", e.Addr)
	case !namePattern.MatchString(e.DataCentre):
		return v.errorf(c, "data_centre", "%s", allowedName)
	case e.Slots < 1:
		return v.errorf(c, "slots", "allowed: at least 1")
	case e.Role != config.Plain && e.Pieces < 1:
		return v.errorf(c, "pieces", "allowed for role %s: at least 1", e.Role)
	}
	for _, o := range v.set.endpoints {
		if o.Addr == e.Addr && o.Name != e.Name {
			return v.errorf(c, "addr", "is already used by endpoint %q", o.Name)
		}
	}
	return nil
}

func (v *validator) route(c *Change) error {
	if c.Delete {
		return nil
	}
	r := c.Route
	_, ok := v.set.pools[r.Pool]
	switch {
	case !strings.HasPrefix(r.Path, "/"):
		return v.errorf(c, "path", "must start with '/'")
	case strings.Contains(strings.TrimSuffix(r.Path, "*"), "*"):
		return v.errorf(c, "path", "'*' is allowed at the end only")
	case !ok:
		return v.errorf(c, "pool", "there is no pool %q", r.Pool)
	case r.Class != config.Interactive && r.Class != config.Patient:
		return v.errorf(c, "class", "allowed: interactive, patient")
	case r.MaxWait < 0:
		return v.errorf(c, "max_wait", "allowed: at least 0s")
	case r.FirstToken <= 0:
		return v.errorf(c, "first_token", "allowed: above 0s")
	case r.Deadline <= r.MaxWait:
		return v.errorf(c, "deadline", "allowed: above max_wait, which is %s", r.MaxWait)
	}
	for _, o := range v.set.routes {
		if o.Name != r.Name && o.Method == r.Method && o.Path == r.Path && o.Model == r.Model {
			return v.errorf(c, "path", "route %q matches the same requests", o.Name)
		}
	}
	return nil
}
