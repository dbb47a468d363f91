// Package operator serves an instance's operator port: a page for a phone, the
// same as JSON, events, metrics and tickets. Only operators get anything.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/event"
	"carawayrouter.example/router/internal/keys"
	"carawayrouter.example/router/internal/platform"
	"carawayrouter.example/router/internal/rollout"
	"carawayrouter.example/router/internal/ticket"
)

// readTimeout bounds the reads from the table that one request makes.
const readTimeout = 2 * time.Second

// CutOffSource knows which data centres this instance cannot hear. Those whose instances no
// longer renew their sessions are known from the table.
type CutOffSource interface {
	CutOff() []string
}

// Refusal counts the requests of one account that were refused lately.
type Refusal struct {
	Account string       `json:"account"`
	Kind    errkind.Kind `json:"kind"`
	Count   uint64       `json:"count"`
}

// RefusalSource knows the accounts whose requests are being refused, most first.
type RefusalSource interface {
	Refusals() []Refusal
}

// Options configure the handler.
type Options struct {
	Instance   string
	DataCentre string
	Version    string
	Tokens     []string // SHA-256 of the operators' tokens, in hexadecimal
	Config     config.Source
	Table      platform.Table
	CutOff     CutOffSource  // may be nil
	Refusals   RefusalSource // may be nil
	Clock      clock.Clock   // the system clock if nil
	Ring       *event.Ring
}

// Status is what the page shows and GET /status returns.
type Status struct {
	Instance   string           `json:"instance"`
	DataCentre string           `json:"data_centre"`
	Version    string           `json:"version"`
	Applied    uint64           `json:"applied"`               // newest ticket in force on this instance
	AgeSeconds float64          `json:"age_seconds"`           // since the configuration was last known to be current; -1: never
	StoreError string           `json:"store_error,omitempty"` // set if the table could not be read
	Accepted   uint64           `json:"accepted"`              // newest ticket; 0 if not known
	Progress   rollout.Progress `json:"progress"`              // of the newest ticket
	CutOff     []string         `json:"cut_off"`               // data centres
	Refusals   []Refusal        `json:"refusals"`
}

// Handler returns the operator port's handler. It returns an error if a token's
// hash is malformed or there is none.
func Handler(o Options) (fasthttp.RequestHandler, error) {
	if o.Clock == nil {
		o.Clock = clock.Real{}
	}
	h := &handler{Options: o}
	for _, text := range o.Tokens {
		hash, err := hex.DecodeString(text)
		if err != nil || len(hash) != sha256.Size {
			return nil, errors.New("operator token: allowed: SHA-256 as 64 hexadecimal digits")
		}
		h.tokens = append(h.tokens, hash)
	}
	if len(h.tokens) == 0 {
		return nil, errors.New("operator token: at least one is required")
	}
	return h.serve, nil
}

type handler struct {
	Options
	tokens [][]byte
}

func (h *handler) serve(rc *fasthttp.RequestCtx) {
	if !h.allowed(string(rc.Request.Header.Peek(fasthttp.HeaderAuthorization))) {
		rc.Response.Header.Add(fasthttp.HeaderWWWAuthenticate, `Bearer`)
		rc.Response.Header.Add(fasthttp.HeaderWWWAuthenticate, `Basic realm="operator"`)
		rc.SetStatusCode(errkind.NotOperator.Status())
		return
	}
	rc.Response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
	if !rc.IsGet() {
		rc.SetStatusCode(fasthttp.StatusMethodNotAllowed)
		return
	}
	path := string(rc.Path())
	switch {
	case path == "/":
		h.page(rc)
	case path == "/status":
		writeJSON(rc, h.status())
	case path == "/events":
		h.events(rc)
	case path == "/metrics":
		expvarhandler.ExpvarHandler(rc)
	case strings.HasPrefix(path, "/tickets/"):
		h.ticket(rc, strings.TrimPrefix(path, "/tickets/"))
	default:
		rc.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// allowed reports whether an Authorization header carries an operator's token, as a
// bearer credential or, for browsers, as the password of the basic scheme.
func (h *handler) allowed(header string) bool {
	token, ok := keys.Bearer(header)
	if !ok {
		token, ok = basicPassword(header)
	}
	if !ok {
		return false
	}
	sum := sha256.Sum256([]byte(token))
	found := 0
	for _, t := range h.tokens {
		found |= subtle.ConstantTimeCompare(t, sum[:])
	}
	return found == 1
}

func basicPassword(header string) (string, bool) {
	const scheme = "Basic "
	if len(header) < len(scheme) || !strings.EqualFold(header[:len(scheme)], scheme) {
		return "", false
	}
	raw, err := base64.StdEncoding.DecodeString(header[len(scheme):])
	if err != nil {
		return "", false
	}
	_, password, ok := strings.Cut(string(raw), ":")
	return password, ok && password != ""
}

// status reads the fleet's state. While the table cannot be read it tells what this
// instance knows by itself.
func (h *handler) status() Status {
	s := Status{
		Instance:   h.Instance,
		DataCentre: h.DataCentre,
		Version:    h.Version,
		Applied:    h.Config.Current().Ticket,
		AgeSeconds: -1,
	}
	if age := h.Config.Age(); age < ticket.UnknownAge {
		s.AgeSeconds = age.Seconds()
	}
	if h.Refusals != nil {
		s.Refusals = h.Refusals.Refusals()
	}
	if err := h.readFleet(&s); err != nil {
		s.StoreError = err.Error()
	}
	if h.CutOff != nil {
		s.CutOff = append(s.CutOff, h.CutOff.CutOff()...)
		slices.Sort(s.CutOff)
		s.CutOff = slices.Compact(s.CutOff)
	}
	return s
}

func (h *handler) readFleet(s *Status) error {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	head, err := ticket.Head(ctx, h.Table)
	if err != nil {
		return err
	}
	sessions, err := rollout.Sessions(ctx, h.Table)
	if err != nil {
		return err
	}
	s.Accepted = head
	s.Progress = rollout.ProgressOf(head, sessions)
	s.CutOff = rollout.CutOff(sessions, h.Clock.Now())
	return nil
}

func (h *handler) events(rc *fasthttp.RequestCtx) {
	after := uint64(0)
	if text := string(rc.QueryArgs().Peek("after")); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			rc.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		after = n
	}
	writeJSON(rc, h.Ring.Page(after))
}

func (h *handler) ticket(rc *fasthttp.RequestCtx, text string) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		rc.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	t, err := ticket.Get(ctx, h.Table, n)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		rc.SetStatusCode(fasthttp.StatusNotFound)
	case err != nil:
		rc.SetStatusCode(errkind.StoreUnavailable.Status())
	default:
		writeJSON(rc, t)
	}
}

func writeJSON(rc *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		rc.SetStatusCode(errkind.Internal.Status())
		return
	}
	rc.SetContentType("application/json")
	rc.SetBody(body)
}
