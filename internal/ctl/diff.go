package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/ticket"
)

// field is one setting of an object.
type field struct {
	name  string
	value string
}

// change is the difference in one object.
type change struct {
	Object string            `json:"object"`
	Before map[string]string `json:"before,omitempty"` // absent if the object is new
	After  map[string]string `json:"after,omitempty"`  // absent if the object is deleted
}

// diff compares a file with the newest configuration, or two configurations.
func (c *command) diff(ctx context.Context, cmd *DiffCmd) error {
	ctx, cancel := c.bounded(ctx)
	defer cancel()
	if cmd.To == "" {
		return c.diffFile(ctx, cmd.From)
	}
	var states [2]*config.State
	for i, text := range []string{cmd.From, cmd.To} {
		n, err := parseNumber(text)
		if err != nil {
			return err
		}
		if states[i], err = ticket.Load(ctx, c.platform, n); err != nil {
			return err
		}
	}
	return c.printDiff(compare(byRef(states[0]), byRef(states[1])))
}

func (c *command) diffFile(ctx context.Context, file string) error {
	d, err := readFile(file)
	if err != nil {
		return err
	}
	head, err := ticket.Head(ctx, c.platform.Table)
	if err != nil {
		return err
	}
	state, err := ticket.Load(ctx, c.platform, head)
	if err != nil {
		return err
	}
	all := byRef(state)
	before, after := map[ticket.Ref]*ticket.Change{}, map[ticket.Ref]*ticket.Change{}
	for i := range d.Changes {
		ch := &d.Changes[i]
		if old := all[ch.Ref]; old != nil {
			before[ch.Ref] = old
		}
		if !ch.Delete {
			after[ch.Ref] = ch
		}
	}
	return c.printDiff(compare(before, after))
}

// byRef indexes the objects of a configuration.
func byRef(s *config.State) map[ticket.Ref]*ticket.Change {
	m := map[ticket.Ref]*ticket.Change{}
	for _, ch := range ticket.Changes(s.Objects()) {
		m[ch.Ref] = &ch
	}
	return m
}

// compare lists the objects that differ, sorted by kind and name.
func compare(before, after map[ticket.Ref]*ticket.Change) []change {
	var out []change
	add := func(r ticket.Ref) {
		c := change{Object: r.String()}
		c.Before, c.After = onlyDifferent(fieldsOf(before[r]), fieldsOf(after[r]))
		if len(c.Before) > 0 || len(c.After) > 0 {
			out = append(out, c)
		}
	}
	for r := range before {
		add(r)
	}
	for r := range after {
		if before[r] == nil {
			add(r)
		}
	}
	slices.SortFunc(out, func(a, b change) int { return strings.Compare(a.Object, b.Object) })
	return out
}

// onlyDifferent drops the fields that are the same on both sides.
func onlyDifferent(a, b []field) (before, after map[string]string) {
	before, after = map[string]string{}, map[string]string{}
	for _, f := range a {
		if !slices.Contains(b, f) {
			before[f.name] = f.value
		}
	}
	for _, f := range b {
		if !slices.Contains(a, f) {
			after[f.name] = f.value
		}
	}
	return before, after
}

func (c *command) printDiff(changes []change) error {
	if changes == nil {
		changes = []change{}
	}
	return c.print(changes, func(l *lines) {
		if len(changes) == 0 {
			l.add("no difference")
		}
		for _, ch := range changes {
			l.add("%s", ch.Object)
			for _, name := range names(ch.Before, ch.After) {
				if v, ok := ch.Before[name]; ok {
					l.add("- %s = %s", name, v)
				}
				if v, ok := ch.After[name]; ok {
					l.add("+ %s = %s", name, v)
				}
			}
		}
	})
}

func names(a, b map[string]string) []string {
	var list []string
	for _, m := range []map[string]string{a, b} {
		for n := range m {
			list = append(list, n)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// fieldsOf lists the settings of a change's object, sorted by name; none for nil.
func fieldsOf(ch *ticket.Change) []field {
	if ch == nil || ch.Delete {
		return nil
	}
	var object any
	switch ch.Kind {
	case config.KindAccount:
		object = ch.Account
	case config.KindKey:
		object = ch.Key
	case config.KindPool:
		object = ch.Pool
	case config.KindEndpoint:
		object = ch.Endpoint
	case config.KindRoute:
		object = ch.Route
	}
	data, err := json.Marshal(object)
	if err != nil {
		return []field{{"error", err.Error()}}
	}
	var m map[string]any
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	if err := dec.Decode(&m); err != nil {
		return []field{{"error", err.Error()}}
	}
	var list []field
	for name, v := range m {
		if name != "name" && name != "id" {
			list = append(list, field{name, format(name, v)})
		}
	}
	slices.SortFunc(list, func(a, b field) int { return strings.Compare(a.name, b.name) })
	return list
}

// durations are the settings that hold nanoseconds.
var durations = []string{"stale_after", "max_wait", "first_token", "deadline"}

// format writes a value as in a ticket file.
func format(name string, v any) string {
	if n, ok := v.(json.Number); ok && slices.Contains(durations, name) {
		if ns, err := n.Int64(); err == nil {
			return time.Duration(ns).String()
		}
	}
	if list, ok := v.([]any); ok {
		var items []string
		for _, item := range list {
			items = append(items, fmt.Sprint(item))
		}
		return strings.Join(items, ", ")
	}
	return fmt.Sprint(v)
}
