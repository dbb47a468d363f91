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
	Instance      string
	DataCentre    string
	CallerAddr    string   // address for callers
	ReadinessAddr string   // address for the platform's balancer
	PeerAddr      string   // address for other instances
	MetricsAddr   string   // address for metrics, empty for none
	UpdatePort    string   // UDP port for updates of other instances
	Seeds         []string // addresses of some other instances

	RelayRank   int // strength of the instance among others
	MemoryBytes int64
	GracePeriod time.Duration // from SIGTERM to SIGKILL

	RetryRatio  float64       // repeats as a share of requests, over the fleet
	RetryWindow time.Duration // in which repeats are counted
	RetryExtra  float64       // repeats beyond the share, over the fleet
	QuotaWindow time.Duration // in which tokens are counted
	// What the fleet's sum may lie above an account's limit.
	QuotaSlackRatio  float64 // of the limit
	QuotaSlackTokens float64
	Bootstrap        bool // the whole deployment starts for the first time
}

// Call is a caller's request, its headers decoded.
type Call struct {
	ID             string // of this attempt, chosen by the caller
	Key            string
	Headers        http.Header // those that are passed on
	LastEventID    string      // id of the last event that the caller has, empty at a first attempt
	EventsReceived int         // events up to that one
	Arrived        time.Time
	Deadline       time.Time // zero where the caller named none

	HasTokenCounts  bool // the caller declared Prompt and Output
	PromptTokens    int  // tokens
	MaxOutputTokens int  // tokens at the most
	OutputHint      int  // the caller's estimate of the output, 0 if it made none

	Method string
	URI    string // with query
	Host   string
	Path   string
	Body   []byte

	Route         *config.Route
	Account       *config.Account
	Pool          *config.Pool
	ChargedTokens int  // charged to the account
	OverLimit     bool // the account is above its limit, within the slack
}

// RequestOptions are the parts of an endpoint's request that the router decides.
type RequestOptions struct {
	Endpoint    string // name that the endpoint must have
	Account     string
	Deadline    time.Time
	PrefillOnly bool
	KVSource    string // address and handle of a prefill result
	LastEventID string // id of the event to go on after
}

// ResponseInfo holds what the headers of an endpoint's response say.
type ResponseInfo struct {
	AttemptID     string // attempt that the answer belongs to; may be empty
	EndpointName  string // of the endpoint that answers; mostly empty
	Signed        bool   // made by the endpoint itself
	NotRun        bool   // the endpoint states that it did not run the request
	WrongEndpoint bool   // the endpoint is not the expected one
	Encoded       bool   // the body is not the endpoint's own bytes
	HasLoad       bool
	Running       int
	Queued        int
	Headers       http.Header // those that are passed on
}

// Wire translates between headers and the gateway's types.
type Wire interface {
	ParseCall(h http.Header, arrived time.Time) (Call, error)
	RequestHeaders(c *Call, o RequestOptions) http.Header
	ParseResponse(status int, h http.Header) ResponseInfo
	RetryAfter(d time.Duration) (name, value string)
	EchoID(id string) (name, value string)
	// PrefillResult returns the handle that a prefill's answer names.
	PrefillHandle(body []byte) (handle string, err error)
	// FreePath returns the path that frees a handle with DELETE.
	HandlePath(handle string) string
}

// refusal is an error that a caller gets for a request that did not run.
func refusal(k errkind.Kind, message string, retryAfter time.Duration) error {
	return errkind.New(k, message).WithRetryAfter(retryAfter)
}
