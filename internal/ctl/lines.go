package ctl

import (
	"fmt"
	"io"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

const (
	width  = 40   // columns of a line on a phone
	indent = "  " // of continued lines
)

// lines collects output in lines of at most width columns.
type lines struct {
	b strings.Builder
}

// add appends one line, continued where it is too long.
func (l *lines) add(format string, args ...any) {
	l.wrap(fmt.Sprintf(format, args...))
}

func (l *lines) wrap(text string) {
	lead := text[:len(text)-len(strings.TrimLeft(text, " "))]
	line := lead
	empty := true
	for _, word := range strings.Fields(text) {
		if !empty && columns(line)+1+columns(word) > width {
			l.line(line)
			line, empty = lead+indent, true
		}
		if !empty {
			line += " "
		}
		line, empty = l.fit(line+word, lead), false
	}
	l.line(line)
}

// fit writes out whole lines of an overlong word and returns the rest.
func (l *lines) fit(line, lead string) string {
	for columns(line) > width {
		r := []rune(line)
		l.line(string(r[:width]))
		line = lead + indent + string(r[width:])
	}
	return line
}

func (l *lines) line(text string) {
	l.b.WriteString(strings.TrimRight(text, " "))
	l.b.WriteByte('\n')
}

func (l *lines) flush(w io.Writer) error {
	_, err := io.WriteString(w, l.b.String())
	return errors.Wrap(err, "write")
}

func columns(s string) int { return utf8.RuneCountInString(s) }
