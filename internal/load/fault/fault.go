// Package fault parses fault scripts: INI files with one fault event per section.
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

// Kind is the kind of a fault event.
type Kind string

// The event kinds, each with the value that the "which" setting takes.
const (
	Kill              Kind = "kill"               // instance
	Pause             Kind = "pause"              // instance
	Drain             Kind = "drain"              // instance
	Restart           Kind = "restart"            // instance, drained first if it is running
	StoreDown         Kind = "store-down"         // no value
	StoreSlow         Kind = "store-slow"         // delay per call, such as 400ms
	StoreAnswersLost  Kind = "store-answers-lost" // fraction of responses, such as 0.3
	DataCentreCut     Kind = "data-centre-cut"    // data centre
	ConnectionsSilent Kind = "connections-silent" // endpoint, or "all"
	EngineDead        Kind = "engine-dead"        // engine
	EngineStalled     Kind = "engine-stalled"     // engine
	EngineSilent      Kind = "engine-silent"      // engine
	EngineCrossed     Kind = "engine-crossed"     // engine
	EndpointLeaving   Kind = "endpoint-leaving"   // endpoint
	KeyWithdrawn      Kind = "key-withdrawn"      // account
	CallersCancel     Kind = "callers-cancel"     // fraction of callers, such as 0.3
	AccountFloods     Kind = "account-floods"     // account=factor, such as kita-shimbun=5
	CompetingTickets  Kind = "competing-tickets"  // tickets submitted concurrently, such as 4
)

// targetType is the type of value that "which" takes.
type targetType int

const (
	noTarget targetType = iota
	instanceTarget
	engineTarget
	endpointOrAllTarget
	accountTarget
	dataCentreTarget
	delayValue
	fractionValue
	floodValue
	countValue
)

// kindSpec describes the settings that an event kind requires.
type kindSpec struct {
	target        targetType
	needsDuration bool // "for" is required
}

var kindSpecs = map[Kind]kindSpec{
	Kill:              {instanceTarget, false},
	Pause:             {instanceTarget, true},
	Drain:             {instanceTarget, false},
	Restart:           {instanceTarget, false},
	StoreDown:         {noTarget, true},
	StoreSlow:         {delayValue, true},
	StoreAnswersLost:  {fractionValue, true},
	DataCentreCut:     {dataCentreTarget, true},
	ConnectionsSilent: {endpointOrAllTarget, false},
	EngineDead:        {engineTarget, true},
	EngineStalled:     {engineTarget, true},
	EngineSilent:      {engineTarget, false},
	EngineCrossed:     {engineTarget, true},
	EndpointLeaving:   {endpointOrAllTarget, false},
	KeyWithdrawn:      {accountTarget, false},
	CallersCancel:     {fractionValue, true},
	AccountFloods:     {floodValue, true},
	CompetingTickets:  {countValue, false},
}

// All as the target selects every endpoint.
const All = "all"

// Event is one event of a script.
type Event struct {
	Name     string
	At       time.Duration // offset from the start of the measurement window
	Duration time.Duration // zero for a one-time or permanent event
	Kind     Kind
	Target   string

	Delay    time.Duration // store-slow
	Fraction float64       // store-answers-lost, callers-cancel
	Account  string        // account-floods
	Factor   float64       // account-floods
	Count    int           // competing-tickets

	line int
}

// Script is a list of events ordered by time.
type Script struct {
	File   string
	Events []Event
}

// sectionFields holds the settings of one script section.
type sectionFields struct {
	At    time.Duration `ini:"at" min:"0s" max:"24h" doc:"offset from the start of the measurement window"`
	For   time.Duration `ini:"for" default:"0s" min:"0s" max:"24h" doc:"duration of the event"`
	What  string        `ini:"what" doc:"event kind"`
	Which string        `ini:"which" default:"" doc:"target or value of the event"`
}

// Load reads a script from a file. Errors are *settings.FileError.
func Load(file string) (Script, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Script{}, &settings.FileError{File: file, Name: "file", Problem: "cannot be read"}
	}
	return Parse(file, data)
}

// section is one script section with the line numbers of its settings.
type section struct {
	name   string
	line   int
	values map[string]string
	lines  map[string]int
}

// Parse is like Load for data that has already been read.
func Parse(file string, data []byte) (Script, error) {
	sections, err := splitSections(file, data)
	if err != nil {
		return Script{}, err
	}
	s := Script{File: file}
	for i := range sections {
		e, err := sections[i].parse(file)
		if err != nil {
			return Script{}, err
		}
		s.Events = append(s.Events, e)
	}
	if len(s.Events) == 0 {
		return Script{}, &settings.FileError{File: file, Name: "file", Problem: "contains no events; allowed: [NAME] with at, for, what, which"}
	}
	slices.SortStableFunc(s.Events, func(a, b Event) int { return int(a.At - b.At) })
	return s, nil
}

// splitSections splits a script into sections and their settings.
func splitSections(file string, data []byte) ([]section, error) {
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
				return nil, fail(text, fmt.Sprintf("duplicate section; first defined in line %d", first))
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
			return nil, fail(s.name+"."+name, fmt.Sprintf("duplicate setting; first defined in line %d", first))
		}
		s.values[name], s.lines[name] = strings.TrimSpace(value), n
	}
	if err := lines.Err(); err != nil {
		return nil, &settings.FileError{File: file, Name: "syntax", Problem: err.Error()}
	}
	return list, nil
}

func (s *section) lineOf(name string) int {
	if n, ok := s.lines[name]; ok {
		return n
	}
	return s.line
}

// parse converts the section to an event.
func (s *section) parse(file string) (Event, error) {
	var f sectionFields
	if err := settings.Section(file, s.name, s.values, s.lineOf, &f); err != nil {
		return Event{}, err
	}
	e := Event{Name: s.name, At: f.At, Duration: f.For, Kind: Kind(f.What), Target: f.Which, line: s.line}
	fail := func(name, format string, args ...any) error {
		return &settings.FileError{File: file, Line: s.lineOf(name), Name: s.name + "." + name, Problem: fmt.Sprintf(format, args...)}
	}
	k, ok := kindSpecs[e.Kind]
	if !ok {
		return e, fail("what", "%q is not allowed; allowed: %s", f.What, knownKinds())
	}
	if k.needsDuration && e.Duration == 0 {
		return e, fail("for", "is required for %s", e.Kind)
	}
	if err := e.parseTarget(k.target); err != nil {
		return e, fail("which", "%s", err)
	}
	return e, nil
}

func knownKinds() string {
	var list []string
	for w := range kindSpecs {
		list = append(list, string(w))
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

// Upper bounds of the values in "which".
const (
	maxDelay            = time.Minute
	maxCompetingTickets = 100
)

// parseTarget parses the target if it is a value rather than a name.
func (e *Event) parseTarget(t targetType) error {
	var err error
	switch t {
	case noTarget:
		if e.Target != "" {
			return errors.Newf("%s takes no value", e.Kind)
		}
	case delayValue:
		e.Delay, err = time.ParseDuration(e.Target)
		if err != nil || e.Delay <= 0 || e.Delay > maxDelay {
			return errors.Newf("%q is not allowed; allowed: a delay such as 400ms, at most %s", e.Target, maxDelay)
		}
	case fractionValue:
		e.Fraction, err = strconv.ParseFloat(e.Target, 64)
		if err != nil || !(e.Fraction > 0 && e.Fraction <= 1) {
			return errors.Newf("%q is not allowed; allowed: a fraction above 0 and at most 1", e.Target)
		}
	case floodValue:
		e.Account, e.Factor, err = ParseFlood(e.Target)
		return err
	case countValue:
		e.Count, err = strconv.Atoi(e.Target)
		if err != nil || e.Count < 2 || e.Count > maxCompetingTickets {
			return errors.Newf("%q is not allowed; allowed: 2 to %d", e.Target, maxCompetingTickets)
		}
	default:
		if e.Target == "" {
			return errors.Newf("is required for %s", e.Kind)
		}
	}
	return nil
}

// Flood multiplies an account's arrival rate during a time span.
type Flood struct {
	At, Duration time.Duration
	Factor       float64
}

// Floods returns the floods of an account.
func (s *Script) Floods(account string) []Flood {
	var list []Flood
	for i := range s.Events {
		if e := &s.Events[i]; e.Kind == AccountFloods && e.Account == account {
			list = append(list, Flood{At: e.At, Duration: e.Duration, Factor: e.Factor})
		}
	}
	return list
}

// Check returns an error for the first event whose target is not in the deployment.
func (s *Script) Check(d fleet.Deployment) error {
	namesByType := targetNames(d)
	for i := range s.Events {
		e := &s.Events[i]
		name := e.Target
		if e.Kind == AccountFloods {
			name = e.Account
		}
		names, named := namesByType[kindSpecs[e.Kind].target]
		if named && !slices.Contains(names, name) {
			return &settings.FileError{File: s.File, Line: e.line, Name: e.Name + ".which", Problem: fmt.Sprintf("%q is unknown in %s; known: %s", name, d.Name, strings.Join(names, ", "))}
		}
	}
	return nil
}

// targetNames returns the valid target names in a deployment by target type.
func targetNames(d fleet.Deployment) map[targetType][]string {
	m := map[targetType][]string{}
	numbered := func(t targetType, base string, n int) {
		for i := range n {
			m[t] = append(m[t], fmt.Sprintf("%s-%d", base, i+1))
		}
	}
	for _, dc := range d.DataCentres {
		m[dataCentreTarget] = append(m[dataCentreTarget], dc.Name)
		numbered(instanceTarget, dc.Name, dc.Entries)
		numbered(engineTarget, dc.Name+"-prefill", dc.Prefills)
		numbered(engineTarget, dc.Name+"-decode", dc.Decodes)
		numbered(endpointOrAllTarget, dc.Name+"-"+d.Service.Name, dc.Services)
	}
	m[endpointOrAllTarget] = append(append(m[endpointOrAllTarget], m[engineTarget]...), All)
	for _, a := range d.Accounts {
		m[accountTarget] = append(m[accountTarget], a.Name)
	}
	m[floodValue] = m[accountTarget]
	return m
}

// ParseFlood parses ACCOUNT=FACTOR.
func ParseFlood(text string) (account string, factor float64, err error) {
	account, number, ok := strings.Cut(text, "=")
	factor, err = strconv.ParseFloat(number, 64)
	if !ok || err != nil || !(factor > 0) || account == "" {
		return "", 0, errors.Newf("%q is not allowed; allowed: ACCOUNT=FACTOR, such as kita-shimbun=5", text)
	}
	return account, factor, nil
}
