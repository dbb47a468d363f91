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
	maxFileBytes  = 4 << 20 // maximum size of a ticket file
	maxChanges    = 1000    // maximum number of changed objects per ticket
	maxNoteLength = 500     // maximum length of a note, in bytes
)

// ticketSection is the [ticket] section.
type ticketSection struct {
	Note string `ini:"note" default:"" doc:"purpose of the ticket"`
	Base string `ini:"base" default:"" doc:"newest ticket known to the author"`
}

type accountSection struct {
	Rate       float64       `ini:"rate" min:"0" max:"1e12" doc:"tokens per second over all instances"`
	Burst      float64       `ini:"burst" min:"0" max:"1e12" doc:"burst size in tokens"`
	Weight     float64       `ini:"weight" default:"1" min:"0.001" max:"1000" doc:"weight in fair queues"`
	StaleKeys  string        `ini:"stale_keys" default:"serve" allowed:"serve|refuse" doc:"handling of keys while the configuration may be stale"`
	StaleAfter time.Duration `ini:"stale_after" default:"30s" min:"10s" max:"24h" doc:"age at which the configuration is considered stale"`
}

type keySection struct {
	Account   string `ini:"account" doc:"account that the key belongs to"`
	Hash      string `ini:"hash" doc:"SHA-256 of the key, 64 hexadecimal digits"`
	Withdrawn bool   `ini:"withdrawn" default:"false" doc:"the key is refused"`
}

type poolSection struct {
	Kind     string   `ini:"kind" allowed:"model|service" doc:"type of the endpoints"`
	Model    string   `ini:"model" default:"" doc:"model served by the endpoints"`
	Version  string   `ini:"version" default:"" doc:"version of the model"`
	Adapters []string `ini:"adapters" default:"" doc:"adapters loaded with the model"`
}

type endpointSection struct {
	Pool       string `ini:"pool" doc:"pool that the endpoint belongs to"`
	Addr       string `ini:"addr" doc:"IP:port"`
	DataCentre string `ini:"data_centre" doc:"data centre of the endpoint"`
	Role       string `ini:"role" allowed:"prefill|decode|plain" doc:"role within the pool"`
	Slots      int    `ini:"slots" min:"1" max:"100000" doc:"maximum number of concurrent requests"`
	Pieces     int    `ini:"pieces" default:"0" min:"0" max:"10000000" doc:"capacity of the KV cache in pieces"`
	Fencing    bool   `ini:"fencing" default:"false" doc:"the endpoint rejects orders with a stale epoch"`
	Leaving    bool   `ini:"leaving" default:"false" doc:"the endpoint receives no new requests"`
}

type routeSection struct {
	Method     string        `ini:"method" default:"" allowed:"|GET|HEAD|POST|PUT|PATCH|DELETE" doc:"empty matches every method"`
	Path       string        `ini:"path" doc:"path; a trailing * matches any suffix"`
	Model      string        `ini:"model" default:"" doc:"model in the request; empty matches any"`
	Pool       string        `ini:"pool" doc:"pool that serves the route"`
	Open       bool          `ini:"open" default:"false" doc:"requests need no key"`
	Class      string        `ini:"class" default:"interactive" allowed:"interactive|patient" doc:"scheduling class"`
	MaxWait    time.Duration `ini:"max_wait" default:"2s" min:"0s" max:"24h" doc:"maximum time in the queue"`
	FirstToken time.Duration `ini:"first_token" default:"1900ms" min:"1ms" max:"24h" doc:"target time to the first token"`
	Deadline   time.Duration `ini:"deadline" default:"2m" min:"1ms" max:"24h" doc:"maximum duration of a request"`
	Idempotent bool          `ini:"idempotent" default:"false" doc:"requests may be retried"`
}

// location holds the line numbers of a section and its settings.
type location struct {
	line   int            // of the section header
	values map[string]int // lines of the settings, by name
}

// section is a section of a ticket file.
type section struct {
	location
	title string // text between the brackets of the header
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

// ParseFile parses a ticket file. Errors are of type *settings.FileError.
func ParseFile(name string, data []byte) (*Draft, error) {
	if len(data) > maxFileBytes {
		return nil, &settings.FileError{File: name, Name: "file", Problem: fmt.Sprintf("has %d bytes; allowed: at most %d", len(data), maxFileBytes)}
	}
	sections, err := scanSections(name, data)
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
	d := &Draft{File: name, Submission: uuid.NewString(), locations: map[Ref]location{}}
	for i := range sections {
		if err := d.addSection(file, &sections[i]); err != nil {
			return nil, err
		}
	}
	if len(d.Changes) == 0 {
		return nil, &settings.FileError{File: name, Name: "file", Problem: "contains no changes; " + allowedSections}
	}
	if len(d.Changes) > maxChanges {
		return nil, &settings.FileError{File: name, Name: "file", Problem: fmt.Sprintf("changes %d objects; allowed: at most %d", len(d.Changes), maxChanges)}
	}
	return d, nil
}

// scanSections finds the sections and their line numbers and rejects duplicates.
func scanSections(file string, data []byte) ([]section, error) {
	var found []section
	seen := map[string]int{}
	sc := bufio.NewScanner(bytes.NewReader(data))
	sc.Buffer(nil, maxFileBytes+1)
	for n := 1; sc.Scan(); n++ {
		text := strings.TrimSpace(strings.TrimPrefix(sc.Text(), "\ufeff"))
		if text == "" || text[0] == '#' || text[0] == ';' {
			continue
		}
		if text[0] == '[' {
			s, err := parseSectionHeader(file, n, text)
			if err != nil {
				return nil, err
			}
			if first, ok := seen[s.title]; ok {
				return nil, &settings.FileError{File: file, Line: n, Name: text, Problem: fmt.Sprintf("duplicate section; first defined in line %d", first)}
			}
			seen[s.title] = n
			found = append(found, s)
			continue
		}
		if err := recordSetting(file, n, text, found); err != nil {
			return nil, err
		}
	}
	if err := sc.Err(); err != nil {
		return nil, &settings.FileError{File: file, Name: "syntax", Problem: oneLine(err.Error())}
	}
	return found, nil
}

// parseSectionHeader parses the header line of a section.
func parseSectionHeader(file string, n int, text string) (section, error) {
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

// recordSetting records the line number of a setting in the last section found.
func recordSetting(file string, n int, text string, found []section) error {
	name, value, ok := strings.Cut(text, "=")
	name = strings.TrimSpace(name)
	switch {
	case !ok || name == "":
		return &settings.FileError{File: file, Line: n, Name: text, Problem: "allowed: [section], name = value, # comment"}
	case len(found) == 0:
		return &settings.FileError{File: file, Line: n, Name: name, Problem: "must be inside a section"}
	case strings.ContainsAny(name, "\"`"), strings.HasPrefix(strings.TrimSpace(value), "\"\"\""), strings.HasPrefix(strings.TrimSpace(value), "`"):
		return &settings.FileError{File: file, Line: n, Name: name, Problem: "quoted names and multi-line values are not allowed"}
	}
	s := found[len(found)-1]
	if first, ok := s.values[name]; ok {
		return &settings.FileError{File: file, Line: n, Name: s.title + "." + name, Problem: fmt.Sprintf("duplicate setting; first defined in line %d", first)}
	}
	s.values[name] = n
	return nil
}

// addSection adds a section to the draft.
func (d *Draft) addSection(file *ini.File, s *section) error {
	values := map[string]string{}
	if parsed, err := file.GetSection(s.title); err == nil {
		for _, k := range parsed.Keys() {
			values[k.Name()] = k.Value()
		}
	}
	if len(values) != len(s.values) {
		return &settings.FileError{File: d.File, Line: s.line, Name: "[" + s.title + "]", Problem: "settings cannot be parsed; allowed: name = value, one per line"}
	}
	if s.kind == "ticket" {
		return d.setMetadata(s, values)
	}
	c, err := d.parseChange(s, values)
	if err != nil {
		return err
	}
	d.Changes = append(d.Changes, c)
	d.locations[c.Ref] = s.location
	return nil
}

func (d *Draft) setMetadata(s *section, values map[string]string) error {
	var f ticketSection
	if err := settings.Section(d.File, s.title, values, s.lineOf, &f); err != nil {
		return err
	}
	if len(f.Note) > maxNoteLength {
		return &settings.FileError{File: d.File, Line: s.lineOf("note"), Name: "ticket.note", Problem: fmt.Sprintf("allowed: at most %d characters", maxNoteLength)}
	}
	d.Note = f.Note
	if f.Base == "" {
		return nil
	}
	base, err := strconv.ParseUint(f.Base, 10, 63)
	if err != nil {
		return &settings.FileError{File: d.File, Line: s.lineOf("base"), Name: "ticket.base", Problem: fmt.Sprintf("%q is not a ticket number", f.Base)}
	}
	d.Base, d.HasBase = base, true
	return nil
}

// lineOf returns the line of a setting, or that of the section header if it is not set.
func (l *location) lineOf(name string) int {
	if n, ok := l.values[name]; ok {
		return n
	}
	return l.line
}

// parseChange converts the section of an object into a change.
func (d *Draft) parseChange(s *section, values map[string]string) (Change, error) {
	ref := Ref{Kind: config.Kind(s.kind), Name: s.name}
	if text, ok := values["delete"]; ok {
		return d.parseDeletion(ref, s, text, values)
	}
	fill := func(target any) error { return settings.Section(d.File, s.title, values, s.lineOf, target) }
	switch ref.Kind {
	case config.KindAccount:
		var f accountSection
		err := fill(&f)
		return PutAccount(&config.Account{Name: s.name, Rate: f.Rate, Burst: f.Burst, Weight: f.Weight, StaleKeys: config.StalePolicy(f.StaleKeys), StaleAfter: f.StaleAfter}), err
	case config.KindKey:
		return d.parseKey(s, fill)
	case config.KindPool:
		var f poolSection
		err := fill(&f)
		return PutPool(&config.Pool{Name: s.name, Kind: config.PoolKind(f.Kind), Model: f.Model, Version: f.Version, Adapters: f.Adapters}), err
	case config.KindEndpoint:
		var f endpointSection
		err := fill(&f)
		return PutEndpoint(&config.Endpoint{Name: s.name, Pool: f.Pool, Addr: f.Addr, DataCentre: f.DataCentre, Role: config.Role(f.Role), Slots: f.Slots, Pieces: f.Pieces, Fencing: f.Fencing, Leaving: f.Leaving}), err
	default:
		var f routeSection
		err := fill(&f)
		return PutRoute(&config.Route{Name: s.name, Method: f.Method, Path: f.Path, Model: f.Model, Pool: f.Pool, Open: f.Open, Class: config.Class(f.Class), MaxWait: f.MaxWait, FirstToken: f.FirstToken, Deadline: f.Deadline, Idempotent: f.Idempotent}), err
	}
}

func (d *Draft) parseKey(s *section, fill func(any) error) (Change, error) {
	var f keySection
	if err := fill(&f); err != nil {
		return Change{}, err
	}
	k := &config.Key{ID: s.name, Account: f.Account, Withdrawn: f.Withdrawn}
	if len(f.Hash) != 2*len(k.Hash) || k.Hash.UnmarshalText([]byte(f.Hash)) != nil {
		return Change{}, &settings.FileError{File: d.File, Line: s.lineOf("hash"), Name: s.title + ".hash", Problem: "allowed: SHA-256 of the key as 64 hexadecimal digits"}
	}
	return PutKey(k), nil
}

func (d *Draft) parseDeletion(ref Ref, s *section, text string, values map[string]string) (Change, error) {
	if text != "true" || len(values) != 1 {
		return Change{}, &settings.FileError{File: d.File, Line: s.lineOf("delete"), Name: s.title + ".delete", Problem: "allowed: delete = true as the only setting of the section"}
	}
	return Delete(ref.Kind, ref.Name), nil
}

func oneLine(s string) string { return strings.ReplaceAll(s, "\n", " ") }
