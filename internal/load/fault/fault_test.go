package fault

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/fleet"
)

func TestEventsAreSortedByTime(t *testing.T) {
	s, err := Parse("f.ini", []byte("# two events\n[second]\nat = 5s\nwhat = store-slow\nfor = 1s\nwhich = 400ms\n\n[first]\nat = 1s\nfor = 3s\nwhat = account-floods\nwhich = doto-press=5\n"))
	assert.NilError(t, err)
	assert.Equal(t, len(s.Events), 2)
	assert.Equal(t, s.Events[0].Factor, 5.0)
	assert.Equal(t, s.Events[1].Delay, 400*time.Millisecond)
	assert.DeepEqual(t, s.Floods("doto-press"), []Flood{{time.Second, 3 * time.Second, 5}})
	assert.NilError(t, s.Check(fleet.Deployments[0]))
	err = s.Check(fleet.Deployments[1])
	assert.ErrorContains(t, err, "f.ini:8: first.which")
}

func TestInvalidScriptErrorsNameTheLine(t *testing.T) {
	for text, want := range map[string]string{
		"":                                      "f.ini: file: contains no events",
		"at = 1s":                               "f.ini:1: at: must be inside a section",
		"[a":                                    "f.ini:1: [a: allowed: [NAME]",
		"[a]\nnonsense":                         "f.ini:2: nonsense: allowed",
		"[a]\nat=1s\nwhat=kill\nwhich=x\n[a]":   "f.ini:5: [a]: duplicate section; first defined in line 1",
		"[a]\nat=1s\nat=2s":                     "f.ini:3: a.at: duplicate setting; first defined in line 2",
		"[a]\nat=1s\nwhat=kill\nwhich=x\nwho=y": "f.ini:5: a.who",
		"[a]\nat=soon\nwhat=kill\nwhich=x":      "f.ini:2: a.at",
		"[a]\nat=1s\nwhat=burn":                 "f.ini:3: a.what: \"burn\" is not allowed; allowed: account-floods, ",
		"[a]\nat=1s\nwhat=kill":                 "f.ini:1: a.which: is required for kill",
		"[a]\nat=1s\nwhat=pause\nwhich=x":       "f.ini:1: a.for: is required for pause",
		"[a]\nat=1s\nfor=1s\nwhat=callers-cancel\nwhich=2": "f.ini:5: a.which",
		"[a]\nat=1s\nfor=1s\nwhat=store-down\nwhich=x":     "f.ini:5: a.which: store-down takes no value",
	} {
		_, err := Parse("f.ini", []byte(text))
		assert.Assert(t, err != nil && strings.HasPrefix(err.Error(), want), "%q: got %v, want %s", text, err, want)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[a]\nat = 1s\nfor = 1s\nwhat = pause\nwhich = dohoku-a-1\n"))
	f.Add([]byte("[a]\nat=1s\nwhat=competing-tickets\nwhich=4\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("f.ini", data)
		if err == nil {
			assert.Assert(t, len(s.Events) > 0)
			_ = s.Check(fleet.Deployments[0])
		}
	})
}

func TestExampleScriptsMatchDeployment(t *testing.T) {
	files, err := filepath.Glob("../../../examples/faults/*.ini")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 5)
	for _, file := range files {
		s, err := Load(file)
		assert.NilError(t, err)
		assert.NilError(t, s.Check(fleet.Deployments[0]))
	}
}
