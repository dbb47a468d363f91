// Package fault reads fault scripts: INI files in which each section is one event.
package fault

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/fleet"
	"carawayrouter.example/router/internal/settings"
)

// What is the kind of an event.
type What string

// The kinds of events, with what "which" names.
const (
	Kill              What = "kill"               // instance
	Pause             What = "pause"              // instance
	Drain             What = "drain"              // instance
	Restart           What = "restart"            // instance, drained first if it runs
	StoreDown         What = "store-down"         // nothing
	StoreSlow         What = "store-slow"         // delay of each call, such as 400ms
	StoreAnswersLost  What = "store-answers-lost" // share of the answers, such as 0.3
	DataCentreCut     What = "data-centre-cut"    // data centre
	ConnectionsSilent What = "connections-silent" // endpoint, or "all"
	EngineDead        What = "engine-dead"        // engine
	EngineStalled     What = "engine-stalled"     // engine
	EngineSilent      What = "engine-silent"      // engine
	EngineCrossed     What = "engine-crossed"     // engine
	EndpointLeaving   What = "endpoint-leaving"   // endpoint
	KeyWithdrawn      What = "key-withdrawn"      // account
	CallersCancel     What = "callers-cancel"     // share of the callers, such as 0.3
	AccountFloods     What = "account-floods"     // account=factor, such as kita-shimbun=5
	CompetingTickets  What = "competing-tickets"  // tickets submitted at once, such as 4
)

// target is what "which" must name.
type target int

const (
	nothing target = iota
	instance
	engine
	endpointOrAll
	account
	dataCentre
	delay
	share
	flood
	number
)

// kind says what an event needs.
type kind struct {
	target target
	lasts  bool // "for" is required
}

var kinds = map[What]kind{
	Kill:              {instance, false},
	Pause:             {instance, true},
	Drain:             {instance, false},
	Restart:           {instance, false},
	StoreDown:         {nothing, true},
	StoreSlow:         {delay, true},
	StoreAnswersLost:  {share, true},
	DataCentreCut:     {dataCentre, true},
	ConnectionsSilent: {endpointOrAll, false},
	EngineDead:        {engine, true},
	EngineStalled:     {engine, true},
	EngineSilent:      {engine, false},
	EngineCrossed:     {engine, true},
	EndpointLeaving:   {endpointOrAll, false},
	KeyWithdrawn:      {account, false},
	CallersCancel:     {share, true},
	AccountFloods:     {flood, true},
	CompetingTickets:  {number, false},
}

// All is the "which" that names every endpoint.
const All = "all"

// Event is one event of a script.
type Event struct {
	Name  string
	At    time.Duration // since the start of the measured time
	For   time.Duration // zero: once, or for good
	What  What
	Which string

	Delay   time.Duration // store-slow
	Share   float64       // store-answers-lost, callers-cancel
	Account string        // account-floods
	Factor  float64       // account-floods
	Count   int           // competing-tickets

	line int
}

// Script is a list of events in order of their times.
type Script struct {
	File   string
	Events []Event
}

// form is a section of a script.
type form struct {
	At    time.Duration `ini:"at" min:"0s" max:"24h" doc:"time since the start of the measured time"`
	For   time.Duration `ini:"for" default:"0s" min:"0s" max:"24h" doc:"how long it lasts"`
	What  string        `ini:"what" doc:"what happens"`
	Which string        `ini:"which" default:"" doc:"what it happens to"`
}

// Load reads a script from a file. Errors are *settings.FileError.
func Load(file string) (Script, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Script{}, &settings.FileError{File: file, Name: "file", Problem: "cannot be read"}
	}
	return Parse(file, data)
}

// section is a section under way.
type section struct {
	name   string
	line   int
	values map[string]string
	lines  map[string]int
}

// Parse is Load for data that has been read already.
func Parse(file string, data []byte) (Script, error) {
	sections, err := split(file, data)
	if err != nil {
		return Script{}, err
	}
	s := Script{File: file}
	for i := range sections {
		e, err := sections[i].event(file)
		if err != nil {
			return Script{}, err
		}
		s.Events = append(s.Events, e)
	}
	if len(s.Events) == 0 {
		return Script{}, &settings.FileError{File: file, Name: "file", Problem: "has no event; allowed: [NAME] with at, for, what, which"}
	}
	slices.SortStableFunc(s.Events, func(a, b Event) int { return int(a.At - b.At) })
	return s, nil
}

// split finds the sections and their settings.
func split(file string, data []byte) ([]section, error) {
	var list []section
	seen := map[string]int{}
	lines := bufio.NewScanner(bytes.NewReader(data))
	for n := 1; lines.Scan(); n++ {
		text := strings.TrimSpace(lines.Text())
		fail := func(name, allowed string) error {
			return &settings.FileError{File: file, Line: n, Name: name, Problem: allowed}
		}
		if text == "" || text[0] == '#' || text[0] == ';' {
			continue
		}
		if text[0] == '[' {
			name, ok := strings.CutSuffix(text[1:], "]")
			name = strings.TrimSpace(name)
			if !ok || name == "" {
				return nil, fail(text, "allowed: [NAME]")
			}
			if first, ok := seen[name]; ok {
				return nil, fail(text, fmt.Sprintf("stands twice; first in line %d", first))
			}
			seen[name] = n
			list = append(list, section{name: name, line: n, values: map[string]string{}, lines: map[string]int{}})
			continue
		}
		name, value, ok := strings.Cut(text, "=")
		name = strings.TrimSpace(name)
		switch {
		case !ok:
			return nil, fail(text, "allowed: [NAME], name = value, # comment")
		case len(list) == 0:
			return nil, fail(name, "must be inside a section")
		}
		s := &list[len(list)-1]
		if first, ok := s.lines[name]; ok {
			return nil, fail(s.name+"."+name, fmt.Sprintf("stands twice; first in line %d", first))
		}
		s.values[name], s.lines[name] = strings.TrimSpace(value), n
	}
	if err := lines.Err(); err != nil {
		return nil, &settings.FileError{File: file, Name: "syntax", Problem: err.Error()}
	}
	return list, nil
}

func (s *section) at(name string) int {
	if n, ok := s.lines[name]; ok {
		return n
	}
	return s.line
}

// event reads one section.
func (s *section) event(file string) (Event, error) {
	var f form
	if err := settings.Section(file, s.name, s.values, s.at, &f); err != nil {
		return Event{}, err
	}
	e := Event{Name: s.name, At: f.At, For: f.For, What: What(f.What), Which: f.Which, line: s.line}
	fail := func(name, format string, args ...any) error {
		return &settings.FileError{File: file, Line: s.at(name), Name: s.name + "." + name, Problem: fmt.Sprintf(format, args...)}
	}
	k, ok := kinds[e.What]
	if !ok {
		return e, fail("what", "%q is not allowed; allowed: %s", f.What, known())
	}
	if k.lasts && e.For == 0 {
		return e, fail("for", "is required for %s", e.What)
	}
	if err := e.which(k.target); err != nil {
		return e, fail("which", "%s", err)
	}
	return e, nil
}

func known() string {
	var list []string
	for w := range kinds {
		list = append(list, string(w))
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

// Bounds of numbers in "which".
const (
	maxDelay     = time.Minute
	maxCompeting = 100
)

// which reads the values that are not names.
func (e *Event) which(t target) error {
	var err error
	switch t {
	case nothing:
		if e.Which != "" {
			return errors.Newf("%s takes none", e.What)
		}
	case delay:
		e.Delay, err = time.ParseDuration(e.Which)
		if err != nil || e.Delay <= 0 || e.Delay > maxDelay {
			return errors.Newf("%q is not allowed; allowed: a delay such as 400ms, at most %s", e.Which, maxDelay)
		}
	case share:
		e.Share, err = strconv.ParseFloat(e.Which, 64)
		if err != nil || !(e.Share > 0 && e.Share <= 1) {
			return errors.Newf("%q is not allowed; allowed: a share above 0 and up to 1", e.Which)
		}
	case flood:
		e.Account, e.Factor, err = ParseFlood(e.Which)
		return err
	case number:
		e.Count, err = strconv.Atoi(e.Which)
		if err != nil || e.Count < 2 || e.Count > maxCompeting {
			return errors.Newf("%q is not allowed; allowed: 2 to %d", e.Which, maxCompeting)
		}
	default:
		if e.Which == "" {
			return errors.Newf("is required for %s", e.What)
		}
	}
	return nil
}

// Flood multiplies an account's arrivals for a time.
type Flood struct {
	At, For time.Duration
	Factor  float64
}

// Floods returns the floods of an account.
func (s *Script) Floods(account string) []Flood {
	var list []Flood
	for i := range s.Events {
		if e := &s.Events[i]; e.What == AccountFloods && e.Account == account {
			list = append(list, Flood{At: e.At, For: e.For, Factor: e.Factor})
		}
	}
	return list
}

// Check reports the first event that names nothing of the deployment.
func (s *Script) Check(d fleet.Deployment) error {
	known := namesOf(d)
	for i := range s.Events {
		e := &s.Events[i]
		name := e.Which
		if e.What == AccountFloods {
			name = e.Account
		}
		names, named := known[kinds[e.What].target]
		if named && !slices.Contains(names, name) {
			return &settings.FileError{File: s.File, Line: e.line, Name: e.Name + ".which", Problem: fmt.Sprintf("%q is unknown in %s; known: %s", name, d.Name, strings.Join(names, ", "))}
		}
	}
	return nil
}

// namesOf lists what events can name in a deployment.
func namesOf(d fleet.Deployment) map[target][]string {
	m := map[target][]string{}
	numbered := func(t target, base string, n int) {
		for i := range n {
			m[t] = append(m[t], fmt.Sprintf("%s-%d", base, i+1))
		}
	}
	for _, dc := range d.DataCentres {
		m[dataCentre] = append(m[dataCentre], dc.Name)
		numbered(instance, dc.Name, dc.Entries)
		numbered(engine, dc.Name+"-prefill", dc.Prefills)
		numbered(engine, dc.Name+"-decode", dc.Decodes)
		numbered(endpointOrAll, dc.Name+"-"+d.Service.Name, dc.Services)
	}
	m[endpointOrAll] = append(append(m[endpointOrAll], m[engine]...), All)
	for _, a := range d.Accounts {
		m[account] = append(m[account], a.Name)
	}
	m[flood] = m[account]
	return m
}

// ParseFlood reads ACCOUNT=FACTOR.
func ParseFlood(text string) (account string, factor float64, err error) {
	account, number, ok := strings.Cut(text, "=")
	factor, err = strconv.ParseFloat(number, 64)
	if !ok || err != nil || !(factor > 0) || account == "" {
		return "", 0, errors.Newf("%q is not allowed; allowed: ACCOUNT=FACTOR, such as kita-shimbun=5", text)
	}
	return account, factor, nil
}
