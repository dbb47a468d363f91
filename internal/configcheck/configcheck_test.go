package configcheck

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"carawayrouter.example/router/internal/config"
)

// sound returns a configuration without findings under any rules of the tests.
func sound() *config.Objects {
	return &config.Objects{
		Accounts: []*config.Account{{Name: "a", Rate: 10, Burst: 200, FlatTokens: 200}},
		Keys:     []*config.Key{{ID: "k", Account: "a", Hash: config.HashKey("k")}},
		Pools: []*config.Pool{
			{Name: "p", Kind: config.ServicePool},
			{Name: "q", Kind: config.ModelPool, Engine: &config.EngineSpec{KVTokens: 200}},
		},
		Endpoints: []*config.Endpoint{
			{Name: "e", Pool: "p", Role: config.Plain, Region: "r1"},
			{Name: "d", Pool: "q", Role: config.Decode, Region: "r2"},
			{Name: "f", Pool: "q", Role: config.Prefill, Region: "r2"},
		},
		Routes: []*config.Route{
			{Name: "x", Host: "h", Path: "/x/*", Pool: "p", FirstToken: time.Second, Deadline: time.Second, MaxGap: time.Second, MaxAttempts: 1},
			{Name: "y", Host: "h", Path: "/y/*", Pool: "q", Homes: []string{"r2"}, MaxAttempts: 1},
		},
	}
}

func TestSoundConfigurationHasNoFindings(t *testing.T) {
	for _, rules := range []Rules{{}, {HostRoutes: true, ZeroIsUnlimited: true, NoEndpoints: true}, {Partial: true}} {
		assert.Equal(t, len(Check(sound(), nil, rules)), 0, "%+v: %+v", rules, Check(sound(), nil, rules))
	}
}

var (
	users = Rules{HostRoutes: true, ZeroIsUnlimited: true, NoEndpoints: true}
	split = func(weights ...int) []config.Share {
		return []config.Share{{Pool: "p", Weight: weights[0]}, {Pool: "q", Weight: weights[1]}}
	}
)

// Each finding, and the nearest configuration that must not have it.
func TestFindings(t *testing.T) {
	for _, tc := range []struct {
		severity Severity
		object   string
		problem  string // part of the text
		rules    Rules
		fault    func(o *config.Objects)
		nearMiss func(o *config.Objects)
	}{
		{Error, "route x", "given more than once", users,
			func(o *config.Objects) { o.Routes[1].Name = "x" },
			func(o *config.Objects) { o.Routes[1].Name = "p" }}, // another kind's name
		{Error, "account a", "given more than once", users,
			func(o *config.Objects) { o.Accounts = append(o.Accounts, o.Accounts[0]) }, func(*config.Objects) {}},
		{Error, "key l", "account a and account a", users,
			func(o *config.Objects) {
				o.Keys = append(o.Keys, &config.Key{ID: "l", Account: "a", Hash: config.HashKey("k")})
			},
			func(o *config.Objects) {
				o.Keys = append(o.Keys, &config.Key{ID: "l", Account: "a", Hash: config.HashKey("l")})
			}},
		{Error, "key k", "there is no account b", Rules{},
			func(o *config.Objects) { o.Keys[0].Account = "b" }, func(o *config.Objects) { o.Keys[0].Withdrawn = true }},
		{Note, "account a", "no valid key", Rules{},
			func(o *config.Objects) { o.Keys[0].Withdrawn = true },
			func(o *config.Objects) { o.Keys = append(o.Keys, &config.Key{ID: "l", Account: "a", Withdrawn: true}) }},
		{Error, "account a", "below 0", users,
			func(o *config.Objects) { o.Accounts[0].Rate = -1 }, func(o *config.Objects) { o.Accounts[0].Rate = 0 }},
		{Warning, "account a", "sets no limit", users,
			func(o *config.Objects) { o.Accounts[0].Rate = 0 },
			func(o *config.Objects) { o.Accounts[0].Rate, o.Accounts[0].Burst = 0, 0 }},
		{Error, "account a", "a rate of 0", Rules{},
			func(o *config.Objects) { o.Accounts[0].Rate = 0 },
			func(o *config.Objects) { o.Accounts[0].Rate, o.Keys[0].Withdrawn = 0, true }},
		{Warning, "account a", "is charged 201 tokens", Rules{},
			func(o *config.Objects) { o.Accounts[0].FlatTokens = 201 },
			func(o *config.Objects) { o.Accounts[0].FlatTokens, o.Accounts[0].Burst = 201, 201 }},
		{Warning, "account a", "is charged 201 tokens", users,
			func(o *config.Objects) { o.Accounts[0].FlatTokens = 201 },
			func(o *config.Objects) { o.Accounts[0].FlatTokens, o.Accounts[0].Rate = 201, 201 }}, // one second at the rate
		{Note, "account a", "requests of up to 201 tokens", Rules{},
			func(o *config.Objects) { o.Pools[1].Engine.KVTokens = 201 },
			func(o *config.Objects) { o.Pools[1].Engine.KVTokens, o.Routes[1].Open = 201, true }},
		{Warning, "account a", "no region in common", users,
			func(o *config.Objects) { o.Accounts[0].Homes = []string{"r1"} },
			func(o *config.Objects) { o.Accounts[0].Homes = []string{"r1", "r2"} }},
		{Error, "account a", "in any of its home regions (r2)", Rules{},
			func(o *config.Objects) { o.Accounts[0].Homes = []string{"r2"} },
			func(o *config.Objects) { o.Accounts[0].Homes, o.Routes[0].Open = []string{"r2"}, true }},
		{Error, "route y", "in any of its home regions (r3)", Rules{},
			func(o *config.Objects) { o.Routes[1].Homes = []string{"r3"} },
			func(o *config.Objects) { o.Routes[1].Homes = []string{"r3", "r2"} }},
		{Warning, "route y", "no endpoint in home region r3", Rules{},
			func(o *config.Objects) { o.Routes[1].Homes = []string{"r2", "r3"} },
			func(o *config.Objects) { o.Routes[1].Homes = nil }},
		{Warning, "pool p", "no route leads to it", users,
			func(o *config.Objects) { o.Routes[0].Pool = "q" },
			func(o *config.Objects) { o.Routes[0].Pool, o.Routes[0].Split = "", split(1, 0) }},
		{Error, "pool p", "routes lead to it: x", Rules{},
			func(o *config.Objects) { o.Endpoints[0].Leaving = true },
			func(o *config.Objects) {
				o.Endpoints = append(o.Endpoints, &config.Endpoint{Name: "g", Pool: "p", Role: config.Plain, Leaving: true})
			}},
		{Warning, "pool z", "no endpoint that accepts", Rules{},
			func(o *config.Objects) { o.Pools = append(o.Pools, &config.Pool{Name: "z"}) },
			func(o *config.Objects) {
				o.Pools = append(o.Pools, &config.Pool{Name: "z"})
				o.Endpoints = append(o.Endpoints, &config.Endpoint{Name: "g", Pool: "z"})
			}},
		{Error, "route x", "no pool of its split", users,
			func(o *config.Objects) { o.Routes[0].Split = split(0, 0) },
			func(o *config.Objects) { o.Routes[0].Split = split(0, 1) }},
		{Error, "route x", "in its split is -1", users,
			func(o *config.Objects) { o.Routes[0].Split = split(1, -1) },
			func(o *config.Objects) { o.Routes[0].Split = split(1, 0) }},
		{Error, "route x", `there is no pool "z"`, users,
			func(o *config.Objects) { o.Routes[0].Pool = "z" },
			func(o *config.Objects) { o.Routes[0].Pool, o.Routes[0].Split = "z", split(1, 1) }},
		{Error, "route x", "a time is below 0", users,
			func(o *config.Objects) { o.Routes[0].Deadline = -1 },
			func(o *config.Objects) { o.Routes[0].Deadline = 0 }},
		{Warning, "route x", "latency target of 1.001s", users,
			func(o *config.Objects) { o.Routes[0].FirstToken = 1001 * time.Millisecond },
			func(o *config.Objects) { o.Routes[0].FirstToken, o.Routes[0].Deadline = 1001*time.Millisecond, 0 }},
		{Warning, "route x", "longest gap of 1.001s", users,
			func(o *config.Objects) { o.Routes[0].MaxGap = 1001 * time.Millisecond },
			func(o *config.Objects) { o.Routes[0].MaxGap, o.Routes[0].Deadline = 1001*time.Millisecond, 0 }},
		{Warning, "route y", "2 attempts", Rules{}, // a prefill engine begins no attempt
			func(o *config.Objects) { o.Routes[1].MaxAttempts = 2 },
			func(o *config.Objects) { o.Routes[1].MaxAttempts, o.Endpoints[2].Role = 2, config.Decode }},
		{Warning, "route x", "path begins with", Rules{},
			func(o *config.Objects) { o.Routes[0].Path = "x/*" }, func(o *config.Objects) { o.Routes[0].Path = "*" }},
		{Warning, "route x", "which is not looked at", users,
			func(o *config.Objects) { o.Routes[0].Model = "m" }, func(*config.Objects) {}},
		{Warning, "route x", "has no host", users,
			func(o *config.Objects) { o.Routes[0].Host = "" }, func(*config.Objects) {}},
		{Warning, "route y", "route x goes before it", users,
			func(o *config.Objects) { o.Routes[1].Path = "/x/*" },
			func(o *config.Objects) { o.Routes[1].Path, o.Routes[1].Host = "/x/*", "other" }},
		{Warning, "route y", "route x goes before it", Rules{},
			func(o *config.Objects) { o.Routes[1].Path, o.Routes[1].Method = "/x/*", "GET" },
			func(o *config.Objects) { o.Routes[1].Path, o.Routes[0].Method = "/x/*", "GET" }},
		{Warning, "route y", "route x goes before it", Rules{},
			func(o *config.Objects) {
				o.Routes[0].Path, o.Routes[0].Model = "/x", "m"
				o.Routes[1].Path, o.Routes[1].Model = "/x", "m"
			},
			func(o *config.Objects) {
				o.Routes[0].Path, o.Routes[0].Model = "/x", "m"
				o.Routes[1].Path = "/x"
			}},
	} {
		t.Run(string(tc.severity)+" "+tc.object+" "+tc.problem, func(t *testing.T) {
			is := func(f Finding) bool { return strings.Contains(f.Problem, tc.problem) }
			o := sound()
			tc.fault(o)
			list := Check(o, nil, tc.rules)
			i := slices.IndexFunc(list, is)
			assert.Assert(t, i >= 0, "%+v", list)
			assert.Equal(t, list[i].Severity, tc.severity)
			assert.Equal(t, list[i].Object, tc.object)
			assert.Assert(t, list[i].Remedy != "")
			near := sound()
			tc.nearMiss(near)
			list = Check(near, nil, tc.rules)
			assert.Assert(t, !slices.ContainsFunc(list, is), "%+v", list)
			again := Check(o, o, tc.rules)
			assert.Assert(t, !slices.ContainsFunc(again, func(f Finding) bool { return !f.InForce }))
			for _, f := range Check(o, sound(), tc.rules) {
				assert.Assert(t, !f.InForce)
			}
		})
	}
}

// A pattern whose next bytes are all taken is not decided.
func TestUndecidedPatternIsNotReported(t *testing.T) {
	o := &config.Objects{Pools: []*config.Pool{{Name: "p"}}}
	for _, b := range nextBytes {
		o.Routes = append(o.Routes, &config.Route{Name: fmt.Sprint("r", b), Path: "/" + string(b) + "*", Pool: "p"})
	}
	o.Routes = append(o.Routes, &config.Route{Name: "rest", Path: "/*", Pool: "p"})
	assert.Equal(t, len(Check(o, nil, Rules{NoEndpoints: true})), 0)
}

// A ticket's file alone has no findings that the rest of the configuration could mend.
func TestPartialObjectsMissNothing(t *testing.T) {
	o := sound()
	o.Accounts, o.Endpoints, o.Pools = nil, nil, nil
	assert.Equal(t, len(Check(o, nil, Rules{Partial: true})), 0)
	assert.Assert(t, len(Check(o, nil, Rules{})) > 0)
}

func TestErrorsComeFirst(t *testing.T) {
	o := sound()
	o.Keys[0].Withdrawn = true
	o.Routes[0].MaxGap = time.Minute
	o.Endpoints = nil
	list := Check(o, nil, Rules{})
	assert.Equal(t, Count(list, Error), 2)
	assert.Equal(t, Count(list, Warning), 1)
	assert.Equal(t, Count(list, Note), 1)
	assert.Equal(t, list[0].Severity, Error)
	assert.Equal(t, list[3].Severity, Note)
}

// A route is reported as out of reach if and only if no request of a universe that has
// representatives of all kinds of requests to these routes is given to it.
func TestUnreachableRoutesAreNeverChosen(t *testing.T) {
	var (
		literals = []string{"", "/", "/a", "/a/", "/a/b", "x"}
		methods  = []string{"", "GET", "POST"}
		models   = []string{"", "m", "n"}
		hosts    = []string{"", "g", "h"}
		paths    []string
	)
	for _, l := range literals {
		if strings.HasPrefix(l, "/") {
			paths = append(paths, l, l+"z")
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		rules := Rules{HostRoutes: rapid.Bool().Draw(t, "by host"), NoEndpoints: true}
		o := &config.Objects{Pools: []*config.Pool{{Name: "p"}}}
		for i := range rapid.IntRange(1, 12).Draw(t, "routes") {
			r := &config.Route{
				Name: fmt.Sprint("r", i), Pool: "p",
				Path:   rapid.SampledFrom(literals).Draw(t, "path") + rapid.SampledFrom([]string{"", "*"}).Draw(t, "pattern"),
				Method: rapid.SampledFrom(methods).Draw(t, "method"),
				Model:  rapid.SampledFrom(models).Draw(t, "model"),
			}
			if rules.HostRoutes {
				r.Host = rapid.SampledFrom(hosts).Draw(t, "host")
			}
			o.Routes = append(o.Routes, r)
		}
		st := config.Build(1, o)
		chosen := map[*config.Route]bool{}
		for _, path := range paths {
			for _, method := range append(methods[1:], "PUT") {
				if rules.HostRoutes {
					for _, host := range hosts {
						chosen[st.HostRoute(host, method, path)] = true
					}
					continue
				}
				for _, model := range append(models, "another") {
					chosen[st.Route(method, path, model)] = true
				}
			}
		}
		reported := map[string]bool{}
		for _, f := range Check(o, nil, rules) {
			if strings.Contains(f.Problem, "no request reaches it") || strings.Contains(f.Problem, "no request's path") {
				reported[f.Object] = true
			}
		}
		for _, r := range o.Routes {
			assert.Equal(t, reported["route "+r.Name], !chosen[r], "%+v", r)
		}
	})
}
