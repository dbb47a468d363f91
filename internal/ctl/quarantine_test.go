package ctl

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/platform/emulator"
)

// An operator sees what is quarantined and lifts one. The instances act on the mark in the row, see
// TestOperatorLiftsAQuarantine of the gateway.
func TestQuarantineCommands(t *testing.T) {
	b := newTestEnv(t)
	store, err := emulator.NewStore("127.0.0.1")
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	run := func(argv ...string) (string, error) {
		return b.run(append([]string{"quarantine", "--store", store.Addr()}, argv...)...)
	}
	out, err := run("show")
	assert.NilError(t, err)
	assert.Equal(t, out, "nothing is quarantined\n")
	store.Put("fleet", "secret", []byte("not to be shown"))
	store.Put("fleet", "quarantine/5c1e07a2", []byte("2026-12-07T01:00:00Z"))
	store.Put("fleet", "quarantine/r:9c41d07be2a35f689c41d07b", []byte("2026-12-07T02:00:00Z"))
	out, err = run("show")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(out, "5c1e07a2: until 2026-12-07T01:00:00Z"), out)
	assert.Assert(t, !strings.Contains(out, "secret"), out)

	_, err = run("lift", "none")
	assert.ErrorContains(t, err, "not quarantined")
	_, err = run("lift", "5c1e07a2")
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(store.Value("fleet", "quarantine/5c1e07a2")), "lifted "))
	assert.Equal(t, string(store.Value("fleet", "quarantine/r:9c41d07be2a35f689c41d07b")), "2026-12-07T02:00:00Z")
	out, err = run("show")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(out, "5c1e07a2: about to be lifted"), out)

	_, err = run()
	assert.Assert(t, IsUsage(err))
	store.Close()
	_, err = run("show")
	assert.Assert(t, err != nil && !IsUsage(err))
}
