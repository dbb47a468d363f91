// Package settings reads a program's INI settings into a struct and rejects unknown
// sections, unknown names and invalid values with the file name and line number.
//
// A settings struct has one field per section, itself a struct whose fields carry
// these tags:
//
//	ini:"name"            the name of the setting
//	default:"value"       the value if the setting is absent; without this tag the
//	                      setting is required
//	allowed:"a|b"         the allowed values
//	min:"v" max:"v"       bounds of numbers and durations
//	doc:"text"            one-line description for the reference page
//
// Fields are string, bool, int, float64, time.Duration or []string (comma separated).
package settings

import (
	"bufio"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// FileError reports an error in a settings file. Its text is a single line.
type FileError struct {
	File    string
	Line    int // 0 if no line applies
	Name    string
	Problem string
}

// Error implements error.
func (e *FileError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s: %s", e.File, e.Name, e.Problem)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Name, e.Problem)
}

// Load reads the file into the struct that into points to. Errors are *FileError.
func Load(file string, into any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return &FileError{File: file, Name: "file", Problem: "cannot be read: " + osErrorText(err)}
	}
	return Parse(file, data, into)
}

// Parse is like Load for data that has already been read.
func Parse(file string, data []byte, into any) error {
	lines := lineNumbers(data)
	f, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "=", SkipUnrecognizableLines: false, IgnoreInlineComment: true}, data)
	if err != nil {
		return &FileError{File: file, Name: "syntax", Problem: strings.ReplaceAll(err.Error(), "\n", " ")}
	}
	knownSections := sections(into)
	for _, s := range f.Sections() {
		if s.Name() == ini.DefaultSection {
			if keys := s.KeyStrings(); len(keys) > 0 {
				return &FileError{File: file, Line: lines[keys[0]], Name: keys[0], Problem: "must be inside a section"}
			}
			continue
		}
		if _, ok := knownSections[s.Name()]; !ok {
			return &FileError{File: file, Line: lines["["+s.Name()+"]"], Name: "[" + s.Name() + "]", Problem: "unknown section; known: " + sectionNames(knownSections)}
		}
	}
	for name, v := range knownSections {
		if err := fillSection(file, lines, name, f, v); err != nil {
			return err
		}
	}
	return nil
}

// fillSection sets the fields of one section.
func fillSection(file string, lines map[string]int, section string, f *ini.File, v reflect.Value) error {
	var keys map[string]string
	if s, err := f.GetSection(section); err == nil {
		keys = s.KeysHash()
	}
	line := func(name string) int { return lines[section+"."+name] }
	return fillStruct(file, section, keys, line, v)
}

// Section fills the struct that into points to from the values of one section, using
// the same tags as Parse; line returns the line number of a name in the file.
func Section(file, section string, values map[string]string, line func(name string) int, into any) error {
	return fillStruct(file, section, values, line, reflect.ValueOf(into).Elem())
}

func fillStruct(file, section string, keys map[string]string, line func(string) int, v reflect.Value) error {
	var known []string
	for i := range v.NumField() {
		known = append(known, v.Type().Field(i).Tag.Get("ini"))
	}
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		if !slices.Contains(known, k) {
			return &FileError{File: file, Line: line(k), Name: section + "." + k, Problem: "unknown setting; known: " + strings.Join(known, ", ")}
		}
	}
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name := field.Tag.Get("ini")
		text, given := keys[name]
		if !given {
			def, ok := field.Tag.Lookup("default")
			if !ok {
				return &FileError{File: file, Line: line(""), Name: section + "." + name, Problem: "is required: " + field.Tag.Get("doc")}
			}
			text = def
		}
		if err := setField(v.Field(i), field, text); err != nil {
			return &FileError{File: file, Line: line(name), Name: section + "." + name, Problem: err.Error()}
		}
	}
	return nil
}

// setField parses text into one field and checks its bounds.
func setField(v reflect.Value, field reflect.StructField, text string) error {
	if list := field.Tag.Get("allowed"); list != "" && !slices.Contains(strings.Split(list, "|"), text) {
		return errors.Newf("%q is not allowed; allowed: %s", text, strings.ReplaceAll(list, "|", ", "))
	}
	switch v.Interface().(type) {
	case string:
		v.SetString(text)
	case []string:
		v.Set(reflect.ValueOf(splitList(text)))
	case bool:
		b, err := strconv.ParseBool(text)
		if err != nil {
			return errors.Newf("%q is not allowed; allowed: true, false", text)
		}
		v.SetBool(b)
	case int:
		n, err := strconv.Atoi(text)
		if err != nil {
			return errors.Newf("%q is not a whole number%s", text, boundsText(field))
		}
		v.SetInt(int64(n))
		return checkBounds(float64(n), field, text, func(s string) (float64, error) { return strconv.ParseFloat(s, 64) })
	case float64:
		x, err := strconv.ParseFloat(text, 64)
		if err != nil || x != x {
			return errors.Newf("%q is not a number%s", text, boundsText(field))
		}
		v.SetFloat(x)
		return checkBounds(x, field, text, func(s string) (float64, error) { return strconv.ParseFloat(s, 64) })
	case time.Duration:
		d, err := time.ParseDuration(text)
		if err != nil {
			return errors.Newf("%q is not a duration such as 250ms, 3s, 1h%s", text, boundsText(field))
		}
		v.SetInt(int64(d))
		return checkBounds(float64(d), field, text, func(s string) (float64, error) {
			b, err := time.ParseDuration(s)
			return float64(b), err
		})
	default:
		return errors.Newf("field type %s is not supported", v.Type())
	}
	return nil
}

// checkBounds checks a number against the min and max tags.
func checkBounds(x float64, field reflect.StructField, text string, parse func(string) (float64, error)) error {
	for _, tag := range []string{"min", "max"} {
		limit, ok := field.Tag.Lookup(tag)
		if !ok {
			continue
		}
		b, err := parse(limit)
		if err != nil {
			return errors.Wrapf(err, "tag %s of %s", tag, field.Name)
		}
		if (tag == "min" && x < b) || (tag == "max" && x > b) {
			return errors.Newf("%s is out of bounds%s", text, boundsText(field))
		}
	}
	return nil
}

func boundsText(field reflect.StructField) string {
	lo, hi := field.Tag.Get("min"), field.Tag.Get("max")
	switch {
	case lo != "" && hi != "":
		return fmt.Sprintf("; allowed: %s to %s", lo, hi)
	case lo != "":
		return "; allowed: at least " + lo
	case hi != "":
		return "; allowed: at most " + hi
	}
	return ""
}

func splitList(text string) []string {
	var list []string
	for _, item := range strings.Split(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			list = append(list, item)
		}
	}
	return list
}

// sections maps section names to the struct values that hold their settings.
func sections(into any) map[string]reflect.Value {
	v := reflect.ValueOf(into).Elem()
	m := map[string]reflect.Value{}
	for i := range v.NumField() {
		m[v.Type().Field(i).Tag.Get("ini")] = v.Field(i)
	}
	return m
}

func sectionNames(m map[string]reflect.Value) string {
	var list []string
	for n := range m {
		list = append(list, n)
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

// lineNumbers maps "[section]" and "section.name" to line numbers, counted from 1.
func lineNumbers(data []byte) map[string]int {
	lines := map[string]int{}
	section := ""
	sc := bufio.NewScanner(strings.NewReader(string(data)))
	for n := 1; sc.Scan(); n++ {
		text := strings.TrimSpace(sc.Text())
		if strings.HasPrefix(text, "[") && strings.HasSuffix(text, "]") {
			section = strings.TrimSpace(text[1 : len(text)-1])
			lines["["+section+"]"] = n
			continue
		}
		name, _, ok := strings.Cut(text, "=")
		if !ok || strings.HasPrefix(text, "#") || strings.HasPrefix(text, ";") {
			continue
		}
		name = strings.TrimSpace(name)
		if section != "" {
			name = section + "." + name
		}
		lines[name] = n
	}
	return lines
}

// Reference returns one Markdown table for each section of a settings struct.
func Reference(into any) string {
	var b strings.Builder
	t := reflect.TypeOf(into).Elem()
	for i := range t.NumField() {
		s := t.Field(i)
		fmt.Fprintf(&b, "### [%s]\n\n| name | default | allowed | meaning |\n|---|---|---|---|\n", s.Tag.Get("ini"))
		for j := range s.Type.NumField() {
			f := s.Type.Field(j)
			def, ok := f.Tag.Lookup("default")
			if !ok {
				def = "(required)"
			}
			allowed := strings.ReplaceAll(f.Tag.Get("allowed"), "|", ", ")
			if allowed == "" {
				allowed = strings.TrimPrefix(boundsText(f), "; allowed: ")
			}
			fmt.Fprintf(&b, "| `%s` | `%s` | %s | %s |\n", f.Tag.Get("ini"), def, allowed, f.Tag.Get("doc"))
		}
		b.WriteString("\n")
	}
	return b.String()
}

func osErrorText(err error) string {
	var pe *os.PathError
	if errors.As(err, &pe) {
		return pe.Err.Error()
	}
	return err.Error()
}
