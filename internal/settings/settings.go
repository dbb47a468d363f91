// Package settings reads a program's INI settings into a struct and refuses
// unknown sections, unknown names and bad values with file and line.
//
// A settings struct has one field for each section, itself a struct whose fields
// carry the tags:
//
//	ini:"name"            the name of the setting
//	default:"value"       the value if the setting is absent; without it the
//	                      setting is required
//	allowed:"a|b"         the closed list of values
//	min:"v" max:"v"       bounds of numbers and durations
//	doc:"text"            one line for the reference page
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

// FileError is a fault in a settings file. Its text is a single line.
type FileError struct {
	File    string
	Line    int // 0 where no line applies
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
		return &FileError{File: file, Name: "file", Problem: "cannot be read: " + reason(err)}
	}
	return Parse(file, data, into)
}

// Parse is Load for data that has been read already.
func Parse(file string, data []byte, into any) error {
	lines := locate(data)
	f, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "=", SkipUnrecognizableLines: false, IgnoreInlineComment: true}, data)
	if err != nil {
		return &FileError{File: file, Name: "syntax", Problem: strings.ReplaceAll(err.Error(), "\n", " ")}
	}
	known := sections(into)
	for _, s := range f.Sections() {
		if s.Name() == ini.DefaultSection {
			if keys := s.KeyStrings(); len(keys) > 0 {
				return &FileError{File: file, Line: lines[keys[0]], Name: keys[0], Problem: "must be inside a section"}
			}
			continue
		}
		if _, ok := known[s.Name()]; !ok {
			return &FileError{File: file, Line: lines["["+s.Name()+"]"], Name: "[" + s.Name() + "]", Problem: "unknown section; known: " + names(known)}
		}
	}
	for name, v := range known {
		if err := fill(file, lines, name, f, v); err != nil {
			return err
		}
	}
	return nil
}

// fill sets the fields of one section.
func fill(file string, lines map[string]int, section string, f *ini.File, v reflect.Value) error {
	var keys map[string]string
	if s, err := f.GetSection(section); err == nil {
		keys = s.KeysHash()
	}
	line := func(name string) int { return lines[section+"."+name] }
	return fillStruct(file, section, keys, line, v)
}

// Section fills the struct that into points to from the values of one section. It
// takes the tags that Parse takes; line tells where a name stands in the file.
func Section(file, section string, values map[string]string, line func(name string) int, into any) error {
	return fillStruct(file, section, values, line, reflect.ValueOf(into).Elem())
}

func fillStruct(file, section string, keys map[string]string, line func(string) int, v reflect.Value) error {
	var allowed []string
	for i := range v.NumField() {
		allowed = append(allowed, v.Type().Field(i).Tag.Get("ini"))
	}
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		if !slices.Contains(allowed, k) {
			return &FileError{File: file, Line: line(k), Name: section + "." + k, Problem: "unknown setting; known: " + strings.Join(allowed, ", ")}
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
		if err := set(v.Field(i), field, text); err != nil {
			return &FileError{File: file, Line: line(name), Name: section + "." + name, Problem: err.Error()}
		}
	}
	return nil
}

// set parses text into one field and checks its bounds.
func set(v reflect.Value, field reflect.StructField, text string) error {
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
			return errors.Newf("%q is not a whole number%s", text, bounds(field))
		}
		v.SetInt(int64(n))
		return check(float64(n), field, text, func(s string) (float64, error) { return strconv.ParseFloat(s, 64) })
	case float64:
		x, err := strconv.ParseFloat(text, 64)
		if err != nil || x != x {
			return errors.Newf("%q is not a number%s", text, bounds(field))
		}
		v.SetFloat(x)
		return check(x, field, text, func(s string) (float64, error) { return strconv.ParseFloat(s, 64) })
	case time.Duration:
		d, err := time.ParseDuration(text)
		if err != nil {
			return errors.Newf("%q is not a duration such as 250ms, 3s, 1h%s", text, bounds(field))
		}
		v.SetInt(int64(d))
		return check(float64(d), field, text, func(s string) (float64, error) {
			b, err := time.ParseDuration(s)
			return float64(b), err
		})
	default:
		return errors.Newf("field type %s is not supported", v.Type())
	}
	return nil
}

// check compares a number with the min and max tags.
func check(x float64, field reflect.StructField, text string, parse func(string) (float64, error)) error {
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
			return errors.Newf("%s is out of bounds%s", text, bounds(field))
		}
	}
	return nil
}

func bounds(field reflect.StructField) string {
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

// sections maps section names to the struct values that hold them.
func sections(into any) map[string]reflect.Value {
	v := reflect.ValueOf(into).Elem()
	m := map[string]reflect.Value{}
	for i := range v.NumField() {
		m[v.Type().Field(i).Tag.Get("ini")] = v.Field(i)
	}
	return m
}

func names(m map[string]reflect.Value) string {
	var list []string
	for n := range m {
		list = append(list, n)
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

// locate maps "[section]" and "section.name" to line numbers, counted from 1.
func locate(data []byte) map[string]int {
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
				allowed = strings.TrimPrefix(bounds(f), "; allowed: ")
			}
			fmt.Fprintf(&b, "| `%s` | `%s` | %s | %s |\n", f.Tag.Get("ini"), def, allowed, f.Tag.Get("doc"))
		}
		b.WriteString("\n")
	}
	return b.String()
}

func reason(err error) string {
	var pe *os.PathError
	if errors.As(err, &pe) {
		return pe.Err.Error()
	}
	return err.Error()
}
