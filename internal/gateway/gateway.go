// Package gateway serves pass-through deployments: callers' requests go to endpoints
// with method, path, query and body as they came, and the answers go back unchanged.
// Routes are found by host and path.
//
// What the two sides call things on the wire is behind the Wire interface.
package gateway

import (
	"net/http"
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/errkind"
)

// Settings are what a gateway has to know before it has a configuration.
type Settings struct {
	Instance   string
	DataCentre string
	Callers    string   // address for callers
	Readiness  string   // address for the platform's balancer
	Peers      string   // address for other instances
	Metrics    string   // address for metrics, empty for none
	UpdatePort string   // UDP port for updates of other instances
	Seeds      []string // addresses of some other instances

	Rank        int // strength of the instance among others
	MemoryBytes int64
	GracePeriod time.Duration // from SIGTERM to SIGKILL

	RetryShare  float64       // repeats as a share of requests, over the fleet
	RetryWindow time.Duration // in which repeats are counted
	RetryExtra  float64       // repeats beyond the share, over the fleet
	QuotaWindow time.Duration // in which tokens are counted
	// What the fleet's sum may lie above an account's limit.
	QuotaSlackPart   float64 // of the limit
	QuotaSlackTokens float64
	NewFleet         bool // the whole deployment starts for the first time
}

// Call is a caller's request, its headers decoded.
type Call struct {
	ID        string // of this attempt, chosen by the caller
	Key       string
	Headers   http.Header // those that are passed on
	LastEvent string      // id of the last event that the caller has, empty at a first attempt
	EventsHad int         // events up to that one
	Arrived   time.Time
	Deadline  time.Time // zero where the caller named none

	Sized  bool // the caller declared Prompt and Output
	Prompt int  // tokens
	Output int  // tokens at the most
	Hint   int  // the caller's estimate of the output, 0 if it made none

	Method string
	URI    string // with query
	Host   string
	Path   string
	Body   []byte

	Route   *config.Route
	Account *config.Account
	Pool    *config.Pool
	Tokens  int  // charged to the account
	Beyond  bool // the account is above its limit, within the slack
}

// SendOptions are the parts of an endpoint's request that the router decides.
type SendOptions struct {
	Endpoint    string // name that the endpoint must have
	Account     string
	Deadline    time.Time
	PrefillOnly bool
	Source      string // address and handle of a prefill result
	LastEvent   string // id of the event to go on after
}

// AnswerInfo is what the headers of an endpoint's answer say.
type AnswerInfo struct {
	ID      string // attempt that the answer belongs to; may be empty
	Name    string // of the endpoint that answers; mostly empty
	Signed  bool   // made by the endpoint itself
	NotRun  bool   // the endpoint states that it did not run the request
	Other   bool   // the endpoint is not the expected one
	Encoded bool   // the body is not the endpoint's own bytes
	HasLoad bool
	Running int
	Waiting int
	Headers http.Header // those that are passed on
}

// Wire translates between headers and the gateway's types.
type Wire interface {
	Call(h http.Header, arrived time.Time) (Call, error)
	Send(c *Call, o SendOptions) http.Header
	Answer(status int, h http.Header) AnswerInfo
	RetryAfter(d time.Duration) (name, value string)
	EchoID(id string) (name, value string)
	// PrefillResult returns the handle that a prefill's answer names.
	PrefillResult(body []byte) (handle string, err error)
	// FreePath returns the path that frees a handle with DELETE.
	FreePath(handle string) string
}

// refusal is an error that a caller gets for a request that did not run.
func refusal(k errkind.Kind, message string, retryAfter time.Duration) error {
	return errkind.New(k, message).WithRetryAfter(retryAfter)
}
