package operator

import (
	"bytes"
	"html/template"
	"time"

	"github.com/valyala/fasthttp"

	"carawayrouter.example/router/internal/errkind"
)

// maxListItems limits the entries of each list on the page.
const maxListItems = 20

// pageTemplate is the status page. It reloads itself with a meta refresh and needs no script.
var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"age": func(seconds float64) string {
		return time.Duration(seconds * float64(time.Second)).Round(time.Second).String()
	},
	"listed": func() int { return maxListItems },
	"more":   func(n int) int { return max(0, n-maxListItems) },
}).Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<meta http-equiv="refresh" content="5">
<title>{{if .Accepted}}{{.Accepted}}{{else}}{{.Applied}}{{end}} {{.Instance}}</title>
<style>
body { font: 17px/1.4 system-ui, sans-serif; margin: 0 auto; max-width: 30em; padding: .8em; color: #111; background: #fff; overflow-wrap: anywhere; }
h1 { font-size: 1.6em; margin: 0; }
h2 { font-size: 1em; margin: 1em 0 .2em; }
ul { margin: 0; padding-left: 1.2em; }
p { margin: .2em 0; }
.ok { color: #0a5c20; } .bad { color: #a40000; font-weight: 600; } .dim { color: #555; }
@media (prefers-color-scheme: dark) { body { color: #eee; background: #111; } .ok { color: #7fd897; } .bad { color: #ff8f8f; } .dim { color: #aaa; } }
</style>
</head>
<body>
{{if .StoreError}}<h1>Ticket {{.Applied}} here</h1>
<p class="bad">The store cannot be read; the newest ticket is not known.</p>
{{else}}<h1>Ticket {{.Accepted}}</h1>
{{with .Progress}}<p class="{{if .Complete}}ok{{else}}bad{{end}}">in force on {{.InForce}} of {{.Instances}}</p>
{{if .Laggards}}<h2>Behind</h2>
<ul>{{range $i, $s := .Laggards}}{{if lt $i (listed)}}<li>{{$s.Name}}: at {{$s.Applied}} <span class="dim">{{$s.DataCentre}}</span></li>{{end}}{{end}}{{with more (len .Laggards)}}<li>and {{.}} more</li>{{end}}</ul>
{{end}}{{end}}{{end}}
{{if .CutOff}}<h2>Data centres cut off</h2>
<ul>{{range .CutOff}}<li class="bad">{{.}}</li>{{end}}</ul>
{{end}}
{{if .Refusals}}<h2>Accounts being refused</h2>
<ul>{{range $i, $r := .Refusals}}{{if lt $i (listed)}}<li>{{$r.Account}}: {{$r.Count}} {{$r.Kind}}</li>{{end}}{{end}}{{with more (len .Refusals)}}<li>and {{.}} more</li>{{end}}</ul>
{{end}}
<p class="dim">{{.Instance}}, {{.DataCentre}}<br>
at ticket {{.Applied}}, {{if lt .AgeSeconds 0.0}}never known to be current{{else}}known to be current {{age .AgeSeconds}} ago{{end}}<br>
version {{.Version}}</p>
</body>
</html>
`))

func (h *handler) servePage(rc *fasthttp.RequestCtx) {
	var b bytes.Buffer
	if err := pageTemplate.Execute(&b, h.readStatus()); err != nil {
		rc.SetStatusCode(errkind.Internal.Status())
		return
	}
	rc.Response.Header.Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	rc.SetContentType("text/html; charset=utf-8")
	rc.SetBody(b.Bytes())
}
