package fleet

import (
	"fmt"
	"strings"
)

// Names of the routes that the initial ticket of every deployment creates.
const (
	completionRoute = "completions"
	chatRoute       = "chat"
	serviceRoute    = "service"
	operationRoute  = "operations"
	statusRoute     = "status"
)

// Path prefixes of a deployment's service: ServicePath for its idempotent calls,
// StatusPath for its calls that need no key.
const (
	ServicePath = "/service/"
	StatusPath  = "/status/"
)

// InitialTicket returns the ticket file that configures the whole deployment: accounts,
// the hashes of their keys, pools, endpoints and routes.
func (f *Fleet) InitialTicket() string {
	var b strings.Builder
	d := f.Deployment
	b.WriteString("[ticket]\nnote = first configuration\n\n")
	for _, a := range d.Accounts {
		fmt.Fprintf(&b, "[account %q]\nrate = %g\nburst = %g\nweight = 1\n\n", a.Name, a.Rate, a.Burst)
	}
	for _, a := range d.Accounts {
		hash, _ := f.keyHash(a.Name).MarshalText()
		fmt.Fprintf(&b, "[key %q]\naccount = %s\nhash = %s\n\n", a.Name+"-1", a.Name, hash)
	}
	fmt.Fprintf(&b, "[pool %q]\nkind = model\nmodel = %s\nversion = 1\n\n", d.Model.Name, d.Model.Model)
	fmt.Fprintf(&b, "[pool %q]\nkind = service\n\n", d.Service.Name)
	for _, e := range f.endpoints() {
		fmt.Fprintf(&b, "[endpoint %q]\npool = %s\naddr = %s\ndata_centre = %s\nrole = %s\nslots = %d\npieces = %d\nfencing = true\n\n",
			e.Name, e.Pool, e.Addr, e.DataCentre, e.Role, e.Slots, e.Pieces)
	}
	f.writeRoutes(&b)
	return b.String()
}

func (f *Fleet) writeRoutes(b *strings.Builder) {
	d := f.Deployment
	for _, route := range []struct{ name, path string }{
		{completionRoute, "/v1/completions"},
		{chatRoute, "/v1/chat/completions"},
	} {
		fmt.Fprintf(b, "[route %q]\nmethod = POST\npath = %s\nmodel = %s\npool = %s\nclass = %s\nmax_wait = %s\nfirst_token = %s\ndeadline = %s\nidempotent = true\n\n",
			route.name, route.path, d.Model.Model, d.Model.Name, d.Model.Class, d.Model.MaxWait, d.Model.FirstToken, d.Model.Deadline)
	}
	service := func(name, path string, idempotent, open bool) {
		fmt.Fprintf(b, "[route %q]\npath = %s\npool = %s\nclass = interactive\nmax_wait = 5s\nfirst_token = 2s\ndeadline = 30s\nidempotent = %t\nopen = %t\n\n",
			name, path, d.Service.Name, idempotent, open)
	}
	service(serviceRoute, ServicePath+"*", true, false)
	service(operationRoute, d.OperationsPath+"*", false, false)
	service(statusRoute, StatusPath+"*", true, true)
}
