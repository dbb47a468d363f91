package ctl

import (
	"encoding/json"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/platform/emulator"
)

// A route that takes all requests of the one of the initial ticket, and a pool without endpoints.
const faultyTicket = initialTicket + `[account "mita"]
rate = 5
burst = 50
[pool "spare"]
kind = service
[route "all"]
path = /consent/*
pool = submission-app
deadline = 3s
first_token = 4s
max_wait = 1s
[route "spare"]
path = /spare
pool = spare
`

func TestCheckOfATicket(t *testing.T) {
	b := newTestEnv(t)
	b.mustRun("ticket", "submit", b.writeFile("first.ini", initialTicket))
	file := b.writeFile("faulty.ini", faultyTicket)

	out, err := b.run("ticket", "check", file)
	assert.Error(t, err, "1 errors, 2 warnings")
	assert.Assert(t, !IsUsage(err))
	got := strings.Join(strings.Fields(out), " ")
	for _, want := range []string{
		"8 objects, valid at ticket 1 error: pool spare has no endpoint that accepts requests, and routes lead to it: spare mend: add an endpoint, or delete the routes warning: route all the",
		"no request reaches it: route all goes before it and matches all of its requests",
		"the latency target of 4s is above the deadline of 3s",
		"note: account kita-news (so in force already) has no valid key",
		"note: account mita has no valid key",
		"differences from ticket 1: account mita + burst = 50",
	} {
		assert.Assert(t, strings.Contains(got, want), "%s\n%s", want, got)
	}

	out, err = b.run("--json", "ticket", "check", file)
	assert.Error(t, err, "1 errors, 2 warnings")
	var o checkOutput
	assert.NilError(t, json.Unmarshal([]byte(out), &o))
	assert.Equal(t, o.File, file)
	assert.Equal(t, o.Against, "ticket 1")
	assert.Equal(t, len(o.Findings), o.Errors+o.Warnings+o.Notes)
	assert.Equal(t, o.Findings[0].Object, "pool spare")
	assert.Equal(t, len(o.Differences), 4)
	assert.Equal(t, o.Differences[0].Object, "account mita")
}

func TestCheckFailsOnWarningsOnlyIfStrict(t *testing.T) {
	b := newTestEnv(t)
	file := b.writeFile("slow.ini", strings.Replace(initialTicket, "path = /consent/*\n", "path = /consent/*\ndeadline = 3s\nfirst_token = 4s\n", 1))
	for _, more := range [][]string{nil, {"--offline"}} {
		argv := append([]string{"ticket", "check", file}, more...)
		out := b.mustRun(argv...)
		assert.Assert(t, strings.Contains(strings.Join(strings.Fields(out), " "), "is above the deadline of 3s"), out)
		_, err := b.run(append(argv, "--strict")...)
		assert.Error(t, err, "0 errors, 1 warnings")
	}
	sound := b.writeFile("sound.ini", initialTicket)
	b.mustRun("ticket", "check", sound, "--strict") // a note does not fail
	b.mustRun("ticket", "check", sound, "--offline", "--strict")
}

const platformConfiguration = `{"version":7,
	"routes":[{"name":"a","host":"h","path-prefix":"/x/","timeout-ms":900,"target-latency-ms":900,"service":"s"}],
	"services":[{"name":"s"}],
	"limits":{"idle-timeout-ms":5000},
	"tenants":[{"name":"p","api-keys":["secret-of-p"],"uncached-tokens":200,"rate-per-s":5,"burst":200}]}`

func TestCheckOfAPlatformConfiguration(t *testing.T) {
	b := newTestEnv(t)
	b.settings = filepath.Join(b.dir, "absent.ini") // neither settings nor store are needed
	sound := b.writeFile("sound.json", platformConfiguration)
	out := b.mustRun("ticket", "check", "--platform", "--strict", sound)
	assert.Assert(t, strings.HasSuffix(strings.Join(strings.Fields(out), " "), "version 7, form is valid"), out)

	whole, err := json.Marshal(emulator.Configuration(1, emulator.ConfigurationOptions{Extra: []string{"/more/"}, Rate: 100, Burst: 50000, ColdRate: 5, Homes: []string{"north"}}))
	assert.NilError(t, err)
	b.mustRun("ticket", "check", "--platform", "--strict", b.writeFile("whole.json", string(whole)))

	out = b.mustRun("--json", "ticket", "check", "--platform", sound)
	assert.Assert(t, strings.Contains(out, `"findings": [],`) && strings.Contains(out, `"differences": [],`), out)

	faulty := strings.NewReplacer(
		`"burst":200`, `"burst":20`,
		`"secret-of-p"`, `"secret-of-p","another-secret"`,
		`"idle-timeout-ms":5000`, `"idle-timeout-ms":6000`,
		`"service":"s"}`, `"service":"t"}`).Replace(platformConfiguration)
	file := b.writeFile("faulty.json", faulty)
	out, err = b.run("--json", "ticket", "check", "--platform", file, "--against", sound)
	assert.Error(t, err, "1 errors, 2 warnings")
	assert.Assert(t, !IsUsage(err))
	var o checkOutput
	assert.NilError(t, json.Unmarshal([]byte(out), &o))
	assert.Equal(t, o.Findings[0].Problem, `there is no pool "t"`)
	var objects []string
	for _, d := range o.Differences {
		kind, _, _ := strings.Cut(d.Object, "-")
		objects = append(objects, kind)
	}
	assert.DeepEqual(t, objects, []string{"account p", "key p", "route a", "limits"})
	assert.DeepEqual(t, o.Differences[3].After, map[string]string{"IdleTimeout": "6s"})
	assert.Assert(t, !strings.Contains(out, "secret") && !strings.Contains(out, `"hash"`), out)
}

func TestUsageErrorsOfTheCheck(t *testing.T) {
	b := newTestEnv(t)
	sound, bad := b.writeFile("sound.json", platformConfiguration), b.writeFile("bad.json", `{"routes":[]}`)
	for _, argv := range [][]string{
		{bad, "--platform"},
		{sound, "--platform", "--against", bad},
		{sound, "--platform", "--against", filepath.Join(b.dir, "absent.json")},
		{sound, "--platform", "--offline"},
		{b.writeFile("first.ini", initialTicket), "--against", sound},
		{sound},
	} {
		out, err := b.run(append([]string{"ticket", "check"}, argv...)...)
		assert.Assert(t, err != nil && IsUsage(err), "%v: %v", argv, err)
		assert.Equal(t, out, "")
	}
}
