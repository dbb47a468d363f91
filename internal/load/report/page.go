package report

import "html/template"

var pageTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>caraway-load report</title>
<style>
body { font-family: sans-serif; margin: 1.5em; max-width: 75em; }
table { border-collapse: collapse; margin: 0.5em 0; font-size: 0.85em; }
th, td { border: 1px solid #bbb; padding: 0.15em 0.5em; text-align: right; }
th:first-child, td:first-child { text-align: left; }
svg { max-width: 36em; height: auto; }
.notes { color: #a00; font-size: 0.85em; }
</style>
</head>
<body>
<h1>caraway-load report</h1>
{{range .Comparisons}}<h2>{{.Deployment}} over the load</h2>
{{range .Plots}}{{.}}
{{end}}{{end}}
{{range .Runs}}<h2>{{.Title}}</h2>
<p>Capacity according to the cost model: {{.Capacity}}.</p>
<table><tr><th>metric</th>{{range .Policies}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr><td>{{.Name}}</td>{{range .Values}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table>
{{range .Plots}}{{.}}
{{end}}
<details><summary>Accounts</summary>
<table><tr><th>policy</th><th>account</th><th>requests</th><th>in rate</th><th>good</th><th>fraction</th><th>wrongful</th><th>excess tokens</th></tr>
{{range .Accounts}}<tr><td>{{.Policy}}</td><td>{{.Account}}</td><td>{{.Requests}}</td><td>{{.InRate}}</td><td>{{.Good}}</td><td>{{printf "%.3f" .Fraction}}</td><td>{{.WrongfulRefusals}}</td><td>{{printf "%.0f" .ExcessTokens}}</td></tr>
{{end}}</table></details>
{{if .Notes}}<ul class="notes">{{range .Notes}}<li>{{.}}</li>
{{end}}</ul>{{end}}
{{end}}</body>
</html>
`))
