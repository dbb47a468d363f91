package ticket

import (
	"bufio"
	"bytes"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"gopkg.in/ini.v1"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/settings"
)

const (
	maxFile    = 4 << 20 // bytes of a ticket file
	maxChanges = 1000    // objects in one ticket
	maxNote    = 500     // characters
)

// ticketForm is the [ticket] section.
type ticketForm struct {
	Note string `ini:"note" default:"" doc:"what the ticket is for"`
	Base string `ini:"base" default:"" doc:"newest ticket that the author has seen"`
}

type accountForm struct {
	Rate       float64       `ini:"rate" min:"0" max:"1e12" doc:"tokens per second over all instances"`
	Burst      float64       `ini:"burst" min:"0" max:"1e12" doc:"tokens"`
	Weight     float64       `ini:"weight" default:"1" min:"0.001" max:"1000" doc:"share in fair queues"`
	StaleKeys  string        `ini:"stale_keys" default:"serve" allowed:"serve|refuse" doc:"what to do with keys while the configuration may be old"`
	StaleAfter time.Duration `ini:"stale_after" default:"30s" min:"10s" max:"24h" doc:"age at which the configuration counts as old"`
}

type keyForm struct {
	Account   string `ini:"account" doc:"account that the key belongs to"`
	Hash      string `ini:"hash" doc:"SHA-256 of the key, 64 hexadecimal digits"`
	Withdrawn bool   `ini:"withdrawn" default:"false" doc:"the key is refused"`
}

type poolForm struct {
	Kind     string   `ini:"kind" allowed:"model|service" doc:"what the endpoints are"`
	Model    string   `ini:"model" default:"" doc:"model that the endpoints serve"`
	Version  string   `ini:"version" default:"" doc:"version of the model"`
	Adapters []string `ini:"adapters" default:"" doc:"adapters loaded beside the model"`
}

type endpointForm struct {
	Pool       string `ini:"pool" doc:"pool that the endpoint belongs to"`
	Addr       string `ini:"addr" doc:"IP:port"`
	DataCentre string `ini:"data_centre" doc:"data centre of the endpoint"`
	Role       string `ini:"role" allowed:"prefill|decode|plain" doc:"job within the pool"`
	Slots      int    `ini:"slots" min:"1" max:"100000" doc:"concurrent requests"`
	Pieces     int    `ini:"pieces" default:"0" min:"0" max:"10000000" doc:"KV pieces"`
	Fencing    bool   `ini:"fencing" default:"false" doc:"refuses orders with a stale epoch"`
	Leaving    bool   `ini:"leaving" default:"false" doc:"gets no new work"`
}

type routeForm struct {
	Method     string        `ini:"method" default:"" allowed:"|GET|HEAD|POST|PUT|PATCH|DELETE" doc:"empty matches every method"`
	Path       string        `ini:"path" doc:"path; a trailing * matches any rest"`
	Model      string        `ini:"model" default:"" doc:"model in the request; empty matches any"`
	Pool       string        `ini:"pool" doc:"pool that serves the route"`
	Open       bool          `ini:"open" default:"false" doc:"needs no key"`
	Class      string        `ini:"class" default:"interactive" allowed:"interactive|patient" doc:"urgency"`
	MaxWait    time.Duration `ini:"max_wait" default:"2s" min:"0s" max:"24h" doc:"longest time in queue"`
	FirstToken time.Duration `ini:"first_token" default:"1900ms" min:"1ms" max:"24h" doc:"latency target"`
	Deadline   time.Duration `ini:"deadline" default:"2m" min:"1ms" max:"24h" doc:"longest whole request"`
	Idempotent bool          `ini:"idempotent" default:"false" doc:"may be sent again"`
}

// location tells where an object and its settings stand in the file.
type location struct {
	line   int
	values map[string]int
}

// section is one section of a ticket file.
type section struct {
	location
	title string // text between the brackets
	kind  string
	name  string
}

var (
	namePattern    = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	sectionPattern = regexp.MustCompile(`^(account|key|pool|endpoint|route) "([^"]*)"$`)
)

const (
	allowedSections = `allowed: [ticket], [account "NAME"], [key "ID"], [pool "NAME"], [endpoint "NAME"], [route "NAME"]`
	allowedName     = "allowed in names: 1 to 64 letters, digits, '.', '_', '-', starting with a letter or digit"
)

// ParseFile reads a ticket file. Errors are *settings.FileError.
func ParseFile(name string, data []byte) (*Draft, error) {
	if len(data) > maxFile {
		return nil, &settings.FileError{File: name, Name: "file", Problem: fmt.Sprintf("has %d bytes; allowed: at most %d", len(data), maxFile)}
	}
	sections, err := locate(name, data)
	if err != nil {
		return nil, err
	}
	file, err := ini.LoadSources(ini.LoadOptions{
		KeyValueDelimiters:     "=",
		IgnoreInlineComment:    true,
		IgnoreContinuation:     true,
		AllowNonUniqueSections: true,
	}, data)
	if err != nil {
		return nil, &settings.FileError{File: name, Name: "syntax", Problem: oneLine(err.Error())}
	}
	d := &Draft{File: name, Submission: uuid.NewString(), lines: map[Ref]location{}}
	for i := range sections {
		if err := d.section(file, &sections[i]); err != nil {
			return nil, err
		}
	}
	if len(d.Changes) == 0 {
		return nil, &settings.FileError{File: name, Name: "file", Problem: "changes nothing; " + allowedSections}
	}
	if len(d.Changes) > maxChanges {
		return nil, &settings.FileError{File: name, Name: "file", Problem: fmt.Sprintf("changes %d objects; allowed: at most %d", len(d.Changes), maxChanges)}
	}
	return d, nil
}

// locate finds the sections with their lines and refuses what may stand only once.
func locate(file string, data []byte) ([]section, error) {
	var found []section
	seen := map[string]int{}
	sc := bufio.NewScanner(bytes.NewReader(data))
	sc.Buffer(nil, maxFile+1)
	for n := 1; sc.Scan(); n++ {
		text := strings.TrimSpace(strings.TrimPrefix(sc.Text(), "\ufeff"))
		if text == "" || text[0] == '#' || text[0] == ';' {
			continue
		}
		if text[0] == '[' {
			s, err := header(file, n, text)
			if err != nil {
				return nil, err
			}
			if first, ok := seen[s.title]; ok {
				return nil, &settings.FileError{File: file, Line: n, Name: text, Problem: fmt.Sprintf("stands twice; first in line %d", first)}
			}
			seen[s.title] = n
			found = append(found, s)
			continue
		}
		if err := setting(file, n, text, found); err != nil {
			return nil, err
		}
	}
	if err := sc.Err(); err != nil {
		return nil, &settings.FileError{File: file, Name: "syntax", Problem: oneLine(err.Error())}
	}
	return found, nil
}

// header reads a section's first line.
func header(file string, n int, text string) (section, error) {
	title, ok := strings.CutSuffix(text[1:], "]")
	title = strings.TrimSpace(title)
	s := section{location: location{line: n, values: map[string]int{}}, title: title}
	if ok && title == "ticket" {
		s.kind = title
		return s, nil
	}
	m := sectionPattern.FindStringSubmatch(title)
	if !ok || m == nil {
		return s, &settings.FileError{File: file, Line: n, Name: text, Problem: "unknown section; " + allowedSections}
	}
	if !namePattern.MatchString(m[2]) {
		return s, &settings.FileError{File: file, Line: n, Name: text, Problem: allowedName}
	}
	s.kind, s.name = m[1], m[2]
	return s, nil
}

// setting records the line of one setting in the newest section.
func setting(file string, n int, text string, found []section) error {
	name, value, ok := strings.Cut(text, "=")
	name = strings.TrimSpace(name)
	switch {
	case !ok || name == "":
		return &settings.FileError{File: file, Line: n, Name: text, Problem: "allowed: [section], name = value, # comment"}
	case len(found) == 0:
		return &settings.FileError{File: file, Line: n, Name: name, Problem: "must be inside a section"}
	case strings.ContainsAny(name, "\"`"), strings.HasPrefix(strings.TrimSpace(value), "\"\"\""), strings.HasPrefix(strings.TrimSpace(value), "`"):
		return &settings.FileError{File: file, Line: n, Name: name, Problem: "quoted names and values of several lines are not allowed"}
	}
	s := found[len(found)-1]
	if first, ok := s.values[name]; ok {
		return &settings.FileError{File: file, Line: n, Name: s.title + "." + name, Problem: fmt.Sprintf("stands twice; first in line %d", first)}
	}
	s.values[name] = n
	return nil
}

// section takes one section into the draft.
func (d *Draft) section(file *ini.File, s *section) error {
	values := map[string]string{}
	if parsed, err := file.GetSection(s.title); err == nil {
		for _, k := range parsed.Keys() {
			values[k.Name()] = k.Value()
		}
	}
	if len(values) != len(s.values) {
		return &settings.FileError{File: d.File, Line: s.line, Name: "[" + s.title + "]", Problem: "settings cannot be read; allowed: name = value, one a line"}
	}
	if s.kind == "ticket" {
		return d.header(s, values)
	}
	c, err := d.change(s, values)
	if err != nil {
		return err
	}
	d.Changes = append(d.Changes, c)
	d.lines[c.Ref] = s.location
	return nil
}

func (d *Draft) header(s *section, values map[string]string) error {
	var f ticketForm
	if err := settings.Section(d.File, s.title, values, s.at, &f); err != nil {
		return err
	}
	if len(f.Note) > maxNote {
		return &settings.FileError{File: d.File, Line: s.at("note"), Name: "ticket.note", Problem: fmt.Sprintf("allowed: at most %d characters", maxNote)}
	}
	d.Note = f.Note
	if f.Base == "" {
		return nil
	}
	base, err := strconv.ParseUint(f.Base, 10, 63)
	if err != nil {
		return &settings.FileError{File: d.File, Line: s.at("base"), Name: "ticket.base", Problem: fmt.Sprintf("%q is not a ticket number", f.Base)}
	}
	d.Base, d.HasBase = base, true
	return nil
}

// at returns the line of a setting, or that of the section.
func (l *location) at(name string) int {
	if n, ok := l.values[name]; ok {
		return n
	}
	return l.line
}

// change reads the section of one object.
func (d *Draft) change(s *section, values map[string]string) (Change, error) {
	ref := Ref{Kind: config.Kind(s.kind), Name: s.name}
	if text, ok := values["delete"]; ok {
		return d.deletion(ref, s, text, values)
	}
	fill := func(form any) error { return settings.Section(d.File, s.title, values, s.at, form) }
	switch ref.Kind {
	case config.KindAccount:
		var f accountForm
		err := fill(&f)
		return PutAccount(&config.Account{Name: s.name, Rate: f.Rate, Burst: f.Burst, Weight: f.Weight, StaleKeys: config.StalePolicy(f.StaleKeys), StaleAfter: f.StaleAfter}), err
	case config.KindKey:
		return d.key(s, fill)
	case config.KindPool:
		var f poolForm
		err := fill(&f)
		return PutPool(&config.Pool{Name: s.name, Kind: config.PoolKind(f.Kind), Model: f.Model, Version: f.Version, Adapters: f.Adapters}), err
	case config.KindEndpoint:
		var f endpointForm
		err := fill(&f)
		return PutEndpoint(&config.Endpoint{Name: s.name, Pool: f.Pool, Addr: f.Addr, DataCentre: f.DataCentre, Role: config.Role(f.Role), Slots: f.Slots, Pieces: f.Pieces, Fencing: f.Fencing, Leaving: f.Leaving}), err
	default:
		var f routeForm
		err := fill(&f)
		return PutRoute(&config.Route{Name: s.name, Method: f.Method, Path: f.Path, Model: f.Model, Pool: f.Pool, Open: f.Open, Class: config.Class(f.Class), MaxWait: f.MaxWait, FirstToken: f.FirstToken, Deadline: f.Deadline, Idempotent: f.Idempotent}), err
	}
}

func (d *Draft) key(s *section, fill func(any) error) (Change, error) {
	var f keyForm
	if err := fill(&f); err != nil {
		return Change{}, err
	}
	k := &config.Key{ID: s.name, Account: f.Account, Withdrawn: f.Withdrawn}
	if len(f.Hash) != 2*len(k.Hash) || k.Hash.UnmarshalText([]byte(f.Hash)) != nil {
		return Change{}, &settings.FileError{File: d.File, Line: s.at("hash"), Name: s.title + ".hash", Problem: "allowed: SHA-256 of the key as 64 hexadecimal digits"}
	}
	return PutKey(k), nil
}

func (d *Draft) deletion(ref Ref, s *section, text string, values map[string]string) (Change, error) {
	if text != "true" || len(values) != 1 {
		return Change{}, &settings.FileError{File: d.File, Line: s.at("delete"), Name: s.title + ".delete", Problem: "allowed: delete = true as the only setting of the section"}
	}
	return Delete(ref.Kind, ref.Name), nil
}

func oneLine(s string) string { return strings.ReplaceAll(s, "\n", " ") }
