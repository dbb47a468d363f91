package ticket

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/settings"
)

const sampleHash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

// sample is a ticket file that is valid for the empty configuration.
const sample = `# first ticket
[ticket]
note = first = ticket # 1
base = 0

[account "kita-news"]
rate = 5000
burst = 60000
stale_keys = refuse
stale_after = 45s

[key "kita-1"]
account = kita-news
hash = ` + sampleHash + `

[pool "caption-models"]
kind = model
model = caption
adapters = a, b

[endpoint "c1"]
pool = caption-models
addr = 127.0.0.1:9001
data_centre = dohoku-a
role = decode
slots = 20
pieces = 400

[route "caption"]
method = POST
path = /v1/completions
model = caption
pool = caption-models
max_wait = 3s
`

func TestParseFile(t *testing.T) {
	d, err := ParseFile("t.ini", []byte(sample))
	assert.NilError(t, err)
	assert.NilError(t, Validate(config.Empty(), d))
	assert.Equal(t, d.Note, "first = ticket # 1")
	assert.Assert(t, d.HasBase)
	assert.Equal(t, len(d.Changes), 5)
	assert.DeepEqual(t, d.Changes[0].Account, &config.Account{
		Name: "kita-news", Rate: 5000, Burst: 60000, Weight: 1, StaleKeys: config.StaleRefuse, StaleAfter: 45 * time.Second,
	})
	assert.DeepEqual(t, d.Changes[2].Pool.Adapters, []string{"a", "b"})
	assert.Equal(t, d.Changes[4].Route.MaxWait, 3*time.Second)
}

func TestParseFileErrors(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"", "t.ini: file: contains no changes; allowed: [ticket], "},
		{"x = 1\n", "t.ini:1: x: must be inside a section"},
		{"[acount \"a\"]\n", `t.ini:1: [acount "a"]: unknown section; allowed: [ticket], `},
		{"[account a]\n", `t.ini:1: [account a]: unknown section`},
		{"[account \"a/b\"]\n", `t.ini:1: [account "a/b"]: allowed in names`},
		{"[account \"a\"\n", `t.ini:1: [account "a": unknown section`},
		{"[account \"a\"]\nrate = 1\nburst = 1\n[account \"a\"]\n", `t.ini:4: [account "a"]: duplicate section; first defined in line 1`},
		{"[account \"a\"]\nrate = 1\nrate = 2\n", `t.ini:3: account "a".rate: duplicate setting; first defined in line 2`},
		{"[account \"a\"]\nrate = 1\nburst = 1\nspeed = 2\n", `t.ini:4: account "a".speed: unknown setting; known: rate, burst, weight, stale_keys, stale_after`},
		{"[account \"a\"]\nrate = NaN\nburst = 1\n", `t.ini:2: account "a".rate: "NaN" is not a number`},
		{"[account \"a\"]\nrate = 1\n", `t.ini:1: account "a".burst: is required: burst size in tokens`},
		{"[account \"a\"]\nrate 1\n", `t.ini:2: rate 1: allowed: [section], name = value, # comment`},
		{"[account \"a\"]\nrate = \"\"\"1\n", `t.ini:2: rate: quoted names and multi-line values`},
		{"[account \"a\"]\ndelete = true\nrate = 1\n", `t.ini:2: account "a".delete: allowed: delete = true as the only setting`},
		{"[account \"a\"]\ndelete = yes\n", `t.ini:2: account "a".delete: allowed: delete = true`},
		{"[key \"k\"]\naccount = a\nhash = 12\n", `t.ini:3: key "k".hash: allowed: SHA-256`},
		{"[route \"r\"]\npath = /\npool = p\ndeadline = soon\n", `t.ini:4: route "r".deadline: "soon" is not a duration such as 250ms`},
		{"[ticket]\nbase = -1\n[account \"a\"]\ndelete = true\n", `t.ini:2: ticket.base: "-1" is not a ticket number`},
	} {
		_, err := ParseFile("t.ini", []byte(c.text))
		assert.ErrorContains(t, err, c.want, c.text)
		var fe *settings.FileError
		assert.Assert(t, errors.As(err, &fe))
		assert.Assert(t, !strings.Contains(err.Error(), "\n"))
	}
}

func TestValidateErrors(t *testing.T) {
	d, err := ParseFile("t.ini", []byte(sample))
	assert.NilError(t, err)
	s := newObjectSet(0, &config.Objects{})
	assert.NilError(t, validate(s, d))
	state := s.build()
	endpoint := "[endpoint \"c2\"]\npool = caption-models\naddr = 127.0.0.1:9002\ndata_centre = a\nrole = decode\nslots = 1\npieces = 9\n"
	route := "[route \"r\"]\npath = /x\npool = caption-models\n"
	for _, c := range []struct{ text, want string }{
		{"[account \"a\"]\nrate = 0\nburst = 1\n", `t.ini:2: account "a".rate: allowed: above 0`},
		{"[account \"a\"]\nrate = 1\nburst = 0\n", `t.ini:3: account "a".burst: allowed: above 0`},
		{"[account \"b\"]\ndelete = true\n", `t.ini:2: account "b".delete: there is no such object`},
		{"[account \"kita-news\"]\ndelete = true\n", `t.ini:2: account "kita-news".delete: key "kita-1" still belongs to it`},
		{"[key \"k\"]\naccount = nobody\nhash = " + sampleHash + "\n", `t.ini:2: key "k".account: there is no account "nobody"`},
		{"[key \"k\"]\naccount = kita-news\nhash = " + sampleHash + "\n", `t.ini:3: key "k".hash: is already used by key "kita-1"`},
		{"[pool \"caption-models\"]\ndelete = true\n", `t.ini:2: pool "caption-models".delete: endpoint "c1" still belongs to it`},
		{"[pool \"caption-models\"]\ndelete = true\n[endpoint \"c1\"]\ndelete = true\n", `t.ini:2: pool "caption-models".delete: route "caption" still uses it`},
		{"[pool \"caption-models\"]\nkind = service\n", `t.ini:2: pool "caption-models".kind: endpoint "c1" has role decode`},
		{"[pool \"p\"]\nkind = model\n", `t.ini:1: pool "p".model: is required for kind = model`},
		{strings.Replace(endpoint, "caption-models", "none", 1), `t.ini:2: endpoint "c2".pool: there is no pool "none"`},
		{strings.Replace(endpoint, "127.0.0.1:9002", "host:9002", 1), `t.ini:3: endpoint "c2".addr: "host:9002" is not IP:port`},
		{strings.Replace(endpoint, "9002", "9001", 1), `t.ini:3: endpoint "c2".addr: is already used by endpoint "c1"`},
		{strings.Replace(endpoint, "decode", "plain", 1), `t.ini:5: endpoint "c2".role: plain does not fit pool "caption-models" of kind model`},
		{strings.Replace(endpoint, "pieces = 9", "pieces = 0", 1), `t.ini:7: endpoint "c2".pieces: allowed for role decode: at least 1`},
		{strings.Replace(route, "/x", "x", 1), `t.ini:2: route "r".path: must start with '/'`},
		{strings.Replace(route, "/x", "/*/x", 1), `t.ini:2: route "r".path: '*' is allowed at the end only`},
		{route + "max_wait = 1h\n", `t.ini:1: route "r".deadline: allowed: above max_wait, which is 1h0m0s`},
		{strings.Replace(route, "/x", "/v1/completions\nmethod = POST\nmodel = caption", 1), `t.ini:2: route "r".path: route "caption" matches the same requests`},
	} {
		d, err := ParseFile("t.ini", []byte(c.text))
		assert.NilError(t, err, c.text)
		assert.Error(t, Validate(state, d), c.want)
	}
}

func FuzzParseFile(f *testing.F) {
	f.Add(sample)
	f.Add("[account \"a\"]\ndelete = true\n")
	f.Add("[ticket]\nnote = \"\"\"x\n[account \"a\"]\n\"\"\"\n")
	f.Add("[account \"a\"]\nrate = 1 \\\nburst = 2\n")
	f.Add("[key \"k\"]\naccount = %(hash)s\nhash = `x`\n")
	f.Add("[route \"r\"]\r\npath = /\r\npool = \"p\"\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		d, err := ParseFile("f.ini", []byte(text))
		if err != nil {
			var fe *settings.FileError
			assert.Assert(t, errors.As(err, &fe))
			assert.Assert(t, !strings.Contains(err.Error(), "\n"), err.Error())
			return
		}
		seen := map[Ref]bool{}
		for _, c := range d.Changes {
			assert.NilError(t, c.check())
			assert.Assert(t, namePattern.MatchString(c.Name))
			assert.Assert(t, !seen[c.Ref])
			seen[c.Ref] = true
		}
		_ = Validate(config.Empty(), d)
	})
}
