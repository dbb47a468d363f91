package settings

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type sample struct {
	Listen struct {
		Callers string        `ini:"callers" doc:"address for callers"`
		Idle    time.Duration `ini:"idle" default:"5s" min:"100ms" max:"1m"`
	} `ini:"listen"`
	Limits struct {
		Count int      `ini:"count" default:"3" min:"1"`
		Mode  string   `ini:"mode" default:"a" allowed:"a|b"`
		Names []string `ini:"names" default:""`
	} `ini:"limits"`
}

func TestParseFillsDefaults(t *testing.T) {
	var s sample
	assert.NilError(t, Parse("f.ini", []byte("[listen]\ncallers = 127.0.0.1:1\n[limits]\nnames = x, y\n"), &s))
	assert.Equal(t, s.Listen.Idle, 5*time.Second)
	assert.DeepEqual(t, s.Limits.Names, []string{"x", "y"})
}

func TestParseNamesFileLineAndAllowed(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"[listen]\ncallers=x\nidel=3s\n", "f.ini:3: listen.idel: unknown setting; known: callers, idle"},
		{"[listen]\ncallers=x\nidle=2m\n", "f.ini:3: listen.idle: 2m is out of bounds; allowed: 100ms to 1m"},
		{"[listen]\ncallers=x\n[limits]\nmode=c\n", `f.ini:4: limits.mode: "c" is not allowed; allowed: a, b`},
		{"[listen]\ncallers=x\n[limits]\ncount=many\n", `f.ini:4: limits.count: "many" is not a whole number; allowed: at least 1`},
		{"[listen]\ncallers=x\n[other]\n", "f.ini:3: [other]: unknown section; known: limits, listen"},
		{"[listen]\n", "f.ini: listen.callers: is required: address for callers"},
		{"stray=1\n[listen]\ncallers=x\n", "f.ini:1: stray: must be inside a section"},
	} {
		var s sample
		assert.Error(t, Parse("f.ini", []byte(c.text), &s), c.want)
	}
}

func TestLoadMissingFile(t *testing.T) {
	var s sample
	assert.Error(t, Load("absent.ini", &s), "absent.ini: file: cannot be read: no such file or directory")
}

func FuzzParse(f *testing.F) {
	f.Add("[listen]\ncallers=x\nidle=2s\n")
	f.Add("[limits\n=\n")
	f.Fuzz(func(t *testing.T, text string) {
		var s sample
		if err := Parse("f.ini", []byte(text), &s); err == nil {
			assert.Assert(t, s.Limits.Count >= 1)
			assert.Assert(t, s.Listen.Idle >= 100*time.Millisecond)
		}
	})
}
