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

// field is a setting of an object, in the format of ticket files.
type field struct {
	name  string
	value string
}

// objectDiff holds the fields of an object that differ.
type objectDiff struct {
	Object string            `json:"object"`
	Before map[string]string `json:"before,omitempty"` // absent if the object is new
	After  map[string]string `json:"after,omitempty"`  // absent if the object is deleted
}

// diff compares a ticket file with the newest configuration, or the configurations of
// two tickets.
func (c *command) diff(ctx context.Context, cmd *DiffCmd) error {
	ctx, cancel := c.withTimeout(ctx)
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
	return c.printDiff(diffObjects(indexByRef(states[0]), indexByRef(states[1])))
}

func (c *command) diffFile(ctx context.Context, file string) error {
	d, err := readTicketFile(file)
	if err != nil {
		return err
	}
	state, err := c.newestState(ctx)
	if err != nil {
		return err
	}
	all := indexByRef(state)
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
	return c.printDiff(diffObjects(before, after))
}

// newestState returns the configuration as of the newest ticket.
func (c *command) newestState(ctx context.Context) (*config.State, error) {
	head, err := ticket.Head(ctx, c.platform.Table)
	if err != nil {
		return nil, err
	}
	return ticket.Load(ctx, c.platform, head)
}

// indexByRef indexes the objects of a configuration by reference.
func indexByRef(s *config.State) map[ticket.Ref]*ticket.Change {
	m := map[ticket.Ref]*ticket.Change{}
	for _, ch := range ticket.Changes(s.Objects()) {
		m[ch.Ref] = &ch
	}
	return m
}

// diffObjects returns the objects that differ, sorted by kind and name.
func diffObjects(before, after map[ticket.Ref]*ticket.Change) []objectDiff {
	var out []objectDiff
	add := func(r ticket.Ref) {
		c := objectDiff{Object: r.String()}
		c.Before, c.After = differingFields(fieldsOf(before[r]), fieldsOf(after[r]))
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
	slices.SortFunc(out, func(a, b objectDiff) int { return strings.Compare(a.Object, b.Object) })
	return out
}

// differingFields returns the fields that are not the same in a and b.
func differingFields(a, b []field) (before, after map[string]string) {
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

func (c *command) printDiff(changes []objectDiff) error {
	if changes == nil {
		changes = []objectDiff{}
	}
	return c.print(changes, func(l *lineWriter) { writeDiff(l, changes) })
}

func writeDiff(l *lineWriter, changes []objectDiff) {
	if len(changes) == 0 {
		l.addf("no difference")
	}
	for _, ch := range changes {
		l.addf("%s", ch.Object)
		for _, name := range fieldNames(ch.Before, ch.After) {
			if v, ok := ch.Before[name]; ok {
				l.addf("- %s = %s", name, v)
			}
			if v, ok := ch.After[name]; ok {
				l.addf("+ %s = %s", name, v)
			}
		}
	}
}

func fieldNames(a, b map[string]string) []string {
	var list []string
	for _, m := range []map[string]string{a, b} {
		for n := range m {
			list = append(list, n)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// fieldsOf returns the settings of a change's object, sorted by name. It returns nil for
// a nil change and for a deletion.
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
	return objectFields(object)
}

// objectFields returns the settings of an object, sorted by name.
func objectFields(object any) []field {
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
			list = append(list, field{name, formatValue(name, v)})
		}
	}
	slices.SortFunc(list, func(a, b field) int { return strings.Compare(a.name, b.name) })
	return list
}

// durationFields are the settings that are encoded in nanoseconds.
var durationFields = []string{"stale_after", "max_wait", "first_token", "deadline", "max_gap", "cold_time", "HeaderTimeout", "IdleTimeout"}

// formatValue formats a value as in a ticket file.
func formatValue(name string, v any) string {
	if n, ok := v.(json.Number); ok && slices.Contains(durationFields, name) {
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
