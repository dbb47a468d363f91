package ticket

import (
	"fmt"
	"math"
	"net/netip"
	"strings"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/settings"
)

// Validate reports the first fault that the draft would bring into the given
// configuration, as a *settings.FileError that names the line.
func Validate(state *config.State, d *Draft) error {
	return validate(newSet(state.Ticket, state.Objects()), d)
}

// validate is Validate on a set, which it changes.
func validate(s *set, d *Draft) error {
	v := &validator{draft: d, set: s}
	seen := map[Ref]bool{}
	for i := range d.Changes {
		c := &d.Changes[i]
		if seen[c.Ref] {
			return v.fault(c, "", "stands twice")
		}
		seen[c.Ref] = true
		if c.Delete && !s.has(c.Ref) {
			return v.fault(c, "delete", "there is no such object")
		}
		if !c.Delete {
			if err := c.check(); err != nil {
				return v.fault(c, "", "%v", err)
			}
		}
		if !namePattern.MatchString(c.Name) {
			return v.fault(c, "", "%s", allowedName)
		}
	}
	for i := range d.Changes {
		s.change(&d.Changes[i])
	}
	for i := range d.Changes {
		if err := v.change(&d.Changes[i]); err != nil {
			return err
		}
	}
	return nil
}

// has reports whether the set holds an object.
func (s *set) has(r Ref) bool {
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

// validator checks a draft's changes against the configuration that they lead to.
type validator struct {
	draft *Draft
	set   *set // with all changes applied
}

// fault names the line of a setting of the changed object.
func (v *validator) fault(c *Change, name, format string, args ...any) error {
	full := fmt.Sprintf("%s %q", c.Kind, c.Name)
	if name != "" {
		full += "." + name
	}
	l := v.draft.lines[c.Ref]
	return &settings.FileError{File: v.draft.File, Line: l.at(name), Name: full, Problem: fmt.Sprintf(format, args...)}
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
	return v.fault(c, "", "unknown kind of object")
}

func (v *validator) account(c *Change) error {
	if c.Delete {
		for _, k := range v.set.keys {
			if k.Account == c.Name {
				return v.fault(c, "delete", "key %q still belongs to it", k.ID)
			}
		}
		return nil
	}
	a := c.Account
	switch {
	case !positive(a.Rate):
		return v.fault(c, "rate", "allowed: above 0")
	case !positive(a.Burst):
		return v.fault(c, "burst", "allowed: above 0")
	case !positive(a.Weight):
		return v.fault(c, "weight", "allowed: above 0")
	case a.StaleKeys != config.StaleServe && a.StaleKeys != config.StaleRefuse:
		return v.fault(c, "stale_keys", "allowed: serve, refuse")
	case a.StaleKeys == config.StaleRefuse && a.StaleAfter <= 0:
		return v.fault(c, "stale_after", "allowed: above 0")
	}
	return nil
}

func positive(x float64) bool { return x > 0 && !math.IsInf(x, 0) }

func (v *validator) key(c *Change) error {
	if c.Delete {
		return nil
	}
	if _, ok := v.set.accounts[c.Key.Account]; !ok {
		return v.fault(c, "account", "there is no account %q", c.Key.Account)
	}
	for _, k := range v.set.keys {
		if k.Hash == c.Key.Hash && k.ID != c.Key.ID {
			return v.fault(c, "hash", "is that of key %q", k.ID)
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
			return v.fault(c, "delete", "endpoint %q still belongs to it", e.Name)
		}
		if !roleFits(c.Pool.Kind, e.Role) {
			return v.fault(c, "kind", "endpoint %q has role %s", e.Name, e.Role)
		}
	}
	if c.Delete {
		return v.unroutedPool(c)
	}
	switch {
	case c.Pool.Kind != config.ModelPool && c.Pool.Kind != config.ServicePool:
		return v.fault(c, "kind", "allowed: model, service")
	case c.Pool.Kind == config.ModelPool && c.Pool.Model == "":
		return v.fault(c, "model", "is required for kind = model")
	case c.Pool.Kind == config.ServicePool && (c.Pool.Model != "" || c.Pool.Version != "" || len(c.Pool.Adapters) > 0):
		return v.fault(c, "model", "model, version and adapters are for kind = model")
	}
	return nil
}

func (v *validator) unroutedPool(c *Change) error {
	for _, r := range v.set.routes {
		if r.Pool == c.Name {
			return v.fault(c, "delete", "route %q still leads to it", r.Name)
		}
	}
	return nil
}

// roleFits reports whether endpoints of a role may belong to a pool of a kind.
func roleFits(k config.PoolKind, r config.Role) bool {
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
		return v.fault(c, "pool", "there is no pool %q", e.Pool)
	case !roleFits(p.Kind, e.Role):
		return v.fault(c, "role", "%s does not fit pool %q of kind %s", e.Role, p.Name, p.Kind)
	case err != nil || addr.Port() == 0:
		return v.fault(c, "addr", "%q is not IP:port", e.Addr)
	case !namePattern.MatchString(e.DataCentre):
		return v.fault(c, "data_centre", "%s", allowedName)
	case e.Slots < 1:
		return v.fault(c, "slots", "allowed: at least 1")
	case e.Role != config.Plain && e.Pieces < 1:
		return v.fault(c, "pieces", "allowed for role %s: at least 1", e.Role)
	}
	for _, o := range v.set.endpoints {
		if o.Addr == e.Addr && o.Name != e.Name {
			return v.fault(c, "addr", "is that of endpoint %q", o.Name)
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
		return v.fault(c, "path", "must start with '/'")
	case strings.Contains(strings.TrimSuffix(r.Path, "*"), "*"):
		return v.fault(c, "path", "'*' is allowed at the end only")
	case !ok:
		return v.fault(c, "pool", "there is no pool %q", r.Pool)
	case r.Class != config.Interactive && r.Class != config.Patient:
		return v.fault(c, "class", "allowed: interactive, patient")
	case r.MaxWait < 0:
		return v.fault(c, "max_wait", "allowed: at least 0s")
	case r.FirstToken <= 0:
		return v.fault(c, "first_token", "allowed: above 0s")
	case r.Deadline <= r.MaxWait:
		return v.fault(c, "deadline", "allowed: above max_wait, which is %s", r.MaxWait)
	}
	for _, o := range v.set.routes {
		if o.Name != r.Name && o.Method == r.Method && o.Path == r.Path && o.Model == r.Model {
			return v.fault(c, "path", "route %q takes the same requests", o.Name)
		}
	}
	return nil
}
