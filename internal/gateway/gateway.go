// Package gateway serves pass-through deployments: it forwards callers' requests to endpoints
// with method, path, query and body unchanged, and returns the responses unchanged. Routes are
// matched by host and path.
//
// The header names used by callers and endpoints are hidden behind the Wire interface.
package gateway

import (
	"net/http"
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/errkind"
)

// Settings hold what a gateway needs before it has a configuration.
type Settings struct {
	Instance      string
	DataCentre    string
	Regions       map[string]string // the region of each data centre
	CallerAddr    string            // listen address for callers
	ReadinessAddr string            // listen address for the balancer's readiness probes
	PeerAddr      string            // listen address for other instances
	MetricsAddr   string            // listen address for metrics; empty disables them
	UpdatePort    string            // UDP port for state updates from other instances
	Seeds         []string          // addresses of some other instances, asked for state while there is no configuration

	RelayRank   int // preference of this instance as a relay; higher is preferred
	MemoryBytes int64
	GracePeriod time.Duration // from SIGTERM to SIGKILL

	RetryRatio  float64       // retries as a fraction of requests, across the fleet
	RetryWindow time.Duration // sliding window for counting retries
	RetryExtra  float64       // retries allowed beyond the ratio, across the fleet
	QuotaWindow time.Duration // sliding window for counting tokens
	// How far the fleet's total may exceed an account's limit.
	QuotaSlackRatio  float64 // fraction of the limit
	QuotaSlackTokens float64
	// How many requests the fleet may send a cold endpoint in any second: the pool's cold rate multiplied, and some more.
	ColdSlackRatio    float64
	ColdSlackRequests float64
	Bootstrap         bool // the whole deployment starts for the first time
	SlowReaders       bool // callers and endpoints may read slowly
}

// Call is a caller's request with its headers decoded.
type Call struct {
	ID             string // attempt ID, chosen by the caller
	Key            string
	Headers        http.Header // headers to forward
	LastEventID    string      // ID of the last event the caller received; empty on a first attempt
	EventsReceived int         // number of events up to LastEventID
	Resumes        string      // ID of the attempt that brought the stream's first event; empty on a first attempt
	Arrived        time.Time
	Deadline       time.Time // zero if the caller set none

	HasTokenCounts  bool // the caller declared PromptTokens and MaxOutputTokens
	PromptTokens    int
	MaxOutputTokens int
	OutputHint      int      // the caller's estimate of the output tokens, 0 if it gave none
	PromptParts     []string // IDs of the prompt's shareable parts; the part of the request's own is left out

	Method string
	URI    string // with query
	Host   string
	Path   string
	Body   []byte

	Route         *config.Route
	Account       *config.Account
	Pool          *config.Pool
	ChargedTokens int  // to the account
	OverLimit     bool // the account is above its limit but within the slack
}

// RequestOptions are the parts of a request to an endpoint that the router sets.
type RequestOptions struct {
	Endpoint    string // expected endpoint name
	Account     string
	Deadline    time.Time
	PrefillOnly bool
	KVSource    string // address and handle of a prefill result
	LastEventID string // ID of the event to resume after
	// Urgency is how urgent the request is among those of its pool, 1 (most) to scarcity.Levels, or 0 if the endpoint is not told.
	Urgency int
}

// ResponseInfo holds what the headers of an endpoint's response say.
type ResponseInfo struct {
	AttemptID     string // attempt that the response belongs to; may be empty
	EndpointName  string // name of the responding endpoint; usually empty
	Signed        bool   // signed by the endpoint
	NotRun        bool   // the endpoint states that it did not run the request
	WrongEndpoint bool   // the responding endpoint is not the expected one
	Encoded       bool   // the body was re-encoded on the way
	Load          EndpointLoad
	ColdFor       time.Duration // for which the endpoint says that it stays cold; 0 if it says nothing
	ColdMalformed bool          // the time is not one
	Leaving       bool          // the endpoint announces that it leaves
	// Pause is for how long the endpoint wants no request from this instance.
	Pause   time.Duration
	Limit   AnnouncedLimit
	Headers http.Header // headers to forward
}

// EndpointLoad is what a response says of its endpoint's load.
type EndpointLoad struct {
	Told      bool
	Running   int // requests, with the answered one
	Waiting   int
	Slots     int
	Pace      float64 // how long work takes there, as a multiple of the usual time; 0 if it is not told
	Malformed bool    // the response has a load that cannot be read
}

// AnnouncedLimit is the rate of requests that an endpoint accepts from all instances together,
// for as long as its responses say so.
type AnnouncedLimit struct {
	Announced bool
	Rate      float64 // requests per second
	Malformed bool    // the response has a limit that cannot be read
}

// Wire translates between HTTP headers and the gateway's types.
type Wire interface {
	ParseCall(h http.Header, arrived time.Time) (Call, error)
	RequestHeaders(c *Call, o RequestOptions) http.Header
	ParseResponse(status int, h http.Header) ResponseInfo
	RetryAfter(d time.Duration) (name, value string)
	EchoID(id string) (name, value string)
	// PrefillHandle returns the handle in the body of a prefill response.
	PrefillHandle(body []byte) (handle string, err error)
	// HandlePath returns the path that frees a handle with DELETE.
	HandlePath(handle string) string
	// ReportPath returns the path at which an engine reports its state with GET.
	ReportPath() string
	// ReportedIncarnation returns the incarnation in an engine's report, 0 if there is none.
	ReportedIncarnation(report []byte) (int64, error)
}

// minRetryAfter is the shortest time after which a refused caller is told to return. The header
// has two decimals, and a caller that returns at once finds the same state.
const minRetryAfter = 50 * time.Millisecond

// refusal returns the error for a request that was rejected without being run.
func refusal(k errkind.Kind, message string, retryAfter time.Duration) error {
	return errkind.New(k, message).WithRetryAfter(max(retryAfter, minRetryAfter))
}
