// Package gossip defines the datagrams with which the instances of a pass-through deployment
// share their state. Each one carries an instance's full state and is authenticated, so that
// the next datagram makes up for a lost one.
package gossip

import (
	"crypto/hmac"
	"crypto/sha256"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// MaxDatagramBytes is the largest datagram that is sent; UDP over IPv4 carries little more.
const MaxDatagramBytes = 60 << 10

const macBytes = 16 // of the truncated signature

// Update is the state that one instance sends to the others.
type Update struct {
	_ struct{} `cbor:",toarray"`

	Instance    string
	Incarnation int64 // start of the process, Unix ns
	Sequence    uint64
	KnownFor    int64  // ms for which the instance knows the usage of the fleet
	StateAddr   string // IP:port for state requests of other instances
	Leaving     bool

	ConfigurationVersion uint64 // version in force
	EndpointsVersion     uint64 // last position read of the endpoint table, as a number

	Loads []EndpointLoad
	Usage []AccountUsage
	// AllLevels means that Usage has every account with a level, not only those that the instance
	// uses.
	AllLevels bool
	Queued    []QueuedRequest
	Ejected   []Ejection

	Crashes     []Crash
	Begun       []BegunResponses
	Quarantined []Quarantine
	// KnowsQuarantine means that Quarantined has all causes that were quarantined before the start.
	KnowsQuarantine  bool
	Limits           []EndpointLimit
	Streams          []BegunStreams
	Software         []SoftwareVersion
	EndpointsLeaving []LeavingEndpoint
	Evacuations      []Evacuation
	Observations     []EndpointObservation
	Demand           []RankDemand

	// Form is the one in which the update was received, SentForm that in which the instance encoded it. They
	// differ if a relay has converted the update.
	Form     Form `cbor:"-"`
	SentForm Form `cbor:"-"`
	// Size is that of the datagram in which the update was received, as its receiver records it.
	Size int `cbor:"-"`
}

// LeavingEndpoint is an endpoint that has announced to the instance, in a response, that it leaves.
type LeavingEndpoint struct {
	_ struct{} `cbor:",toarray"`

	Endpoint    string
	Incarnation int64
}

// Evacuation says whether the operator wants that the endpoints of a data centre get no requests.
type Evacuation struct {
	_ struct{} `cbor:",toarray"`

	DataCentre string
	Evacuated  bool
	Written    uint64 // position in the store of the operator's write or removal, as a number
}

// EndpointObservation is what an endpoint has said of its load in a response to the instance.
type EndpointObservation struct {
	_ struct{} `cbor:",toarray"`

	Endpoint    string
	Incarnation int64 // of the endpoint
	Running     int   // requests
	Waiting     int   // requests
	Slots       int
	Pace        int   // how long work takes there, in percent of the usual time; 0 if it was not told
	ColdFor     int64 // ms for which the endpoint stays cold; 0 if it is not, or was not told
	Age         int64 // ms
}

// RankDemand is the demand that has lately arrived at the instance for a pool, by the rank of the requests.
type RankDemand struct {
	_ struct{} `cbor:",toarray"`

	Pool     string
	Rank     int // lower values first
	Requests int // thousandths of a request per second
	Work     int // token-seconds of engine memory that they need, per second; 0 for plain calls
}

// EndpointLimit is the rate of requests that an endpoint has announced to accept from all
// instances together, or the end of such a limit.
type EndpointLimit struct {
	_ struct{} `cbor:",toarray"`

	Endpoint    string
	Incarnation int64 // of the endpoint
	Limited     bool
	Rate        float64 // requests per second
	SinceAge    int64   // ms since the first announcement
	Age         int64   // ms since the observation
}

// Crash is the crash of an endpoint that was about to begin the responses to requests of the
// instance.
type Crash struct {
	_ struct{} `cbor:",toarray"`

	Endpoint string
	Age      int64 // ms
	Requests []CrashedRequest
}

// CrashedRequest is a request that may have crashed its endpoint.
type CrashedRequest struct {
	_ struct{} `cbor:",toarray"`

	Fingerprint string
	Parts       []string // of its prompt
}

// BegunResponses counts the responses that have begun lately to requests with a possible cause of
// crashes: a fingerprint or a prompt part.
type BegunResponses struct {
	_ struct{} `cbor:",toarray"`

	Cause string
	Count int
}

// Quarantine is a fingerprint or a prompt part whose requests are refused.
type Quarantine struct {
	_ struct{} `cbor:",toarray"`

	Cause     string
	Remaining int64 // ms until the quarantine ends
}

// Ejection is an endpoint that an instance has ejected after failures.
type Ejection struct {
	_ struct{} `cbor:",toarray"`

	Endpoint  string
	Remaining int64 // ms until it is tried again
}

// EndpointLoad is the load that an instance has at one endpoint.
type EndpointLoad struct {
	_ struct{} `cbor:",toarray"`

	Endpoint      string
	PrefillTokens int // prompt tokens of running prefills
	Runs          []Run
}

// Run is one generation on a decode engine.
type Run struct {
	_ struct{} `cbor:",toarray"`

	Prompt, Output, Generated int   // tokens
	Age                       int64 // ms since Generated was determined; negative before the expected start
}

// AccountUsage is an account's usage that has not drained from its limit yet.
type AccountUsage struct {
	_ struct{} `cbor:",toarray"`

	Account string
	Tokens  int // of the instance
	Level   int // of the whole fleet as the instance knows it, tokens

	Claims    []Claim
	Returning int // tokens of new requests of the instance whose callers were told to return
}

// Claim is a request that waits for its account's tokens: a stream that its caller takes up again, or a
// generation that is announced.
type Claim struct {
	_ struct{} `cbor:",toarray"`

	Key    []byte
	New    bool // a generation that is announced
	Tokens int
	Since  int64 // first return of its caller, Unix ms by the clock of the instance where it came
	Due    int64 // ms until its caller is to return, negative after that time; 0 while it waits
}

// QueuedRequest is a generation that waits for an engine.
type QueuedRequest struct {
	_ struct{} `cbor:",toarray"`

	Pool           string
	Prompt, Output int   // tokens
	Generated      int   // output tokens generated in earlier attempts
	Age            int64 // ms since arrival
	StartBy        int64 // ms until the latest start that meets the latency target; negative once it has passed
	Priority       int
	// SoftwareVersion is the only version that can serve the request; empty for any.
	SoftwareVersion string
}

// BegunStreams are streams that began at engines of one software version, for callers that take
// them up again.
type BegunStreams struct {
	_ struct{} `cbor:",toarray"`

	Pool            string
	SoftwareVersion string // of the engines
	Keys            []byte // of the callers' attempts, one after the other
	Age             int64  // ms, of the oldest one
}

// SoftwareVersion is a version that engines of a pool have, or had lately.
type SoftwareVersion struct {
	_ struct{} `cbor:",toarray"`

	Pool    string
	Version string
	Age     int64 // ms since an engine was last seen to have it
}

// Batch carries the unchanged datagrams of several instances. A relay sends it to the instances
// of its data centre, and with Forward set to the relays of the others.
type Batch struct {
	_ struct{} `cbor:",toarray"`

	Relay     string // name of the instance that sends the batch
	Forward   bool   // the receiver relays the updates within its own data centre
	Datagrams [][]byte
}

// Types of datagrams, in their first byte.
const (
	kindUpdate = 'u'
	kindBatch  = 'b'
)

const (
	batchOverhead    = 64 // bytes besides the datagrams and the relay's name
	datagramOverhead = 5  // bytes for each datagram in a batch
)

// EncodeBatches returns datagrams that together hold the batch, signed with the fleet's secret.
func EncodeBatches(b *Batch, secret []byte) ([][]byte, error) {
	limit := MaxDatagramBytes - macBytes - batchOverhead - len(b.Relay)
	var out [][]byte
	part := &Batch{Relay: b.Relay, Forward: b.Forward}
	size := 0
	flush := func() error {
		if len(part.Datagrams) == 0 {
			return nil
		}
		d, err := seal(kindBatch, part, secret)
		out, size, part.Datagrams = append(out, d), 0, nil
		return err
	}
	for _, d := range b.Datagrams {
		if size+len(d)+datagramOverhead > limit {
			if err := flush(); err != nil {
				return nil, err
			}
		}
		part.Datagrams = append(part.Datagrams, d)
		size += len(d) + datagramOverhead
	}
	if err := flush(); err != nil {
		return nil, err
	}
	return out, nil
}

// Decode verifies a datagram and decodes its update or batch.
func Decode(datagram, secret []byte) (*Update, *Batch, error) {
	body, err := verify(datagram, secret)
	if err != nil {
		return nil, nil, err
	}
	switch body[0] {
	case kindUpdate:
		u, err := decodeUpdate(body)
		return u, nil, err
	case kindBatch:
		var batch Batch
		if err := cbor.Unmarshal(body[1:], &batch); err != nil {
			return nil, nil, errors.Wrap(err, "decode batch")
		}
		return nil, &batch, nil
	}
	return nil, nil, errors.Newf("datagram has unknown type %d", body[0])
}

// DecodeRelayed decodes an update out of a batch. The signature of the batch vouches for it: the
// relay has verified the update's own one, with the same secret.
func DecodeRelayed(datagram []byte) (*Update, error) {
	if len(datagram) <= macBytes || datagram[0] != kindUpdate {
		return nil, errors.New("datagram in a batch is no update")
	}
	body, mac := datagram[:len(datagram)-macBytes], datagram[len(datagram)-macBytes:]
	u, err := decodeUpdate(body)
	if err != nil {
		return nil, err
	}
	if sent, converted := convertedFrom(mac); converted {
		u.SentForm = sent
	}
	return u, nil
}

// decodeUpdate decodes the part of a datagram that its signature covers.
func decodeUpdate(body []byte) (*Update, error) {
	payload := body[1:]
	form, err := formOf(payload)
	if err != nil {
		return nil, err
	}
	if form != CurrentForm {
		if payload, err = convert(payload, CurrentForm); err != nil {
			return nil, err
		}
	}
	u := Update{Form: form, SentForm: form}
	if err := cbor.Unmarshal(payload, &u); err != nil {
		return nil, errors.Wrap(err, "decode update")
	}
	if u.Instance == "" {
		return nil, errors.New("update has no instance name")
	}
	return &u, nil
}

// verify checks the signature of a datagram and returns the part that it covers.
func verify(datagram, secret []byte) ([]byte, error) {
	if len(datagram) <= macBytes {
		return nil, ErrBadSignature
	}
	body, mac := datagram[:len(datagram)-macBytes], datagram[len(datagram)-macBytes:]
	if !hmac.Equal(mac, Sign(body, secret)) {
		return nil, ErrBadSignature
	}
	return body, nil
}

func seal(kind byte, v any, secret []byte) ([]byte, error) {
	payload, err := cbor.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode datagram")
	}
	b := append(make([]byte, 0, 1+len(payload)+macBytes), kind)
	b = append(b, payload...)
	if len(b)+macBytes > MaxDatagramBytes {
		return nil, errors.Newf("datagram of %d bytes is too large", len(b))
	}
	return append(b, Sign(b, secret)...), nil
}

// Before reports whether u is older than other, an update of the same instance.
func (u *Update) Before(other *Update) bool {
	if u.Incarnation != other.Incarnation {
		return u.Incarnation < other.Incarnation
	}
	return u.Sequence < other.Sequence
}

// Encode returns the datagram of u, signed with the fleet's secret.
func Encode(u *Update, secret []byte) ([]byte, error) { return seal(kindUpdate, u, secret) }

// ErrBadSignature means that a datagram was not signed with the fleet's secret.
var ErrBadSignature = errors.New("datagram is not signed with the fleet's secret")

// Sign returns the truncated HMAC-SHA256 of b.
func Sign(b, secret []byte) []byte {
	m := hmac.New(sha256.New, secret)
	m.Write(b)
	return m.Sum(nil)[:macBytes]
}

// AgeMillis returns the age of t in ms, for the fields that carry ages.
func AgeMillis(now, t time.Time) int64 { return now.Sub(t).Milliseconds() }

// TimeOfAge returns the time that has the given age in ms.
func TimeOfAge(now time.Time, ms int64) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}
