// Package operator implements an instance's operator port: a status page that is readable
// on a phone, the same status as JSON, events, metrics and tickets. Every request must
// carry an operator token.
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
	"carawayrouter.example/router/internal/evacuation"
	"carawayrouter.example/router/internal/event"
	"carawayrouter.example/router/internal/keys"
	"carawayrouter.example/router/internal/platform"
	"carawayrouter.example/router/internal/rollout"
	"carawayrouter.example/router/internal/ticket"
)

// readTimeout limits the table reads of one request.
const readTimeout = 2 * time.Second

// CutOffSource reports the data centres from which this instance receives no messages.
// The status adds the data centres whose instances no longer renew their sessions, which
// are read from the table.
type CutOffSource interface {
	CutOff() []string
}

// RunningSource reports the requests of this instance that run at the endpoints of a data centre.
type RunningSource interface {
	Running(dataCentre string) int
}

// Evacuated is an evacuated data centre.
type Evacuated struct {
	DataCentre string `json:"data_centre"`
	Running    int    `json:"running"` // requests of this instance that go on there
}

// Refusal is the number of recently refused requests of an account, by kind of error.
type Refusal struct {
	Account string       `json:"account"`
	Kind    errkind.Kind `json:"kind"`
	Count   uint64       `json:"count"`
}

// RefusalSource reports the recently refused requests, highest count first.
type RefusalSource interface {
	Refusals() []Refusal
}

// Options configures the handler.
type Options struct {
	Instance   string
	DataCentre string
	Version    string
	Tokens     []string // SHA-256 of the operators' tokens, in hexadecimal
	Config     config.Source
	Table      platform.Table
	CutOff     CutOffSource  // may be nil
	Refusals   RefusalSource // may be nil
	Running    RunningSource // may be nil
	Clock      clock.Clock   // system clock if nil
	Ring       *event.Ring
}

// Status is the status shown on the page and returned by GET /status.
type Status struct {
	Instance   string           `json:"instance"`
	DataCentre string           `json:"data_centre"`
	Version    string           `json:"version"`
	Applied    uint64           `json:"applied"`               // newest ticket in force on this instance
	AgeSeconds float64          `json:"age_seconds"`           // since the configuration was last known to be current; -1 if never
	StoreError string           `json:"store_error,omitempty"` // set if the table could not be read
	Accepted   uint64           `json:"accepted"`              // newest ticket; 0 if unknown
	Progress   rollout.Progress `json:"progress"`              // of the newest ticket
	CutOff     []string         `json:"cut_off"`               // data centres
	Evacuated  []Evacuated      `json:"evacuated,omitempty"`
	Refusals   []Refusal        `json:"refusals"`
}

// Handler returns the handler of the operator port. It returns an error if there is no
// token hash or one is malformed.
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
	if !h.authorized(string(rc.Request.Header.Peek(fasthttp.HeaderAuthorization))) {
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
		h.servePage(rc)
	case path == "/status":
		writeJSON(rc, h.readStatus())
	case path == "/events":
		h.serveEvents(rc)
	case path == "/metrics":
		expvarhandler.ExpvarHandler(rc)
	case strings.HasPrefix(path, "/tickets/"):
		h.serveTicket(rc, strings.TrimPrefix(path, "/tickets/"))
	default:
		rc.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// authorized reports whether an Authorization header carries an operator token, either as
// a bearer token or, for browsers, as the password of the basic scheme.
func (h *handler) authorized(header string) bool {
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

// readStatus returns the fleet's status. If the table cannot be read, it returns what this
// instance knows locally, with StoreError set.
func (h *handler) readStatus() Status {
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
	if err := h.readTable(&s); err != nil {
		s.StoreError = err.Error()
	}
	if h.CutOff != nil {
		s.CutOff = append(s.CutOff, h.CutOff.CutOff()...)
		slices.Sort(s.CutOff)
		s.CutOff = slices.Compact(s.CutOff)
	}
	return s
}

func (h *handler) readTable(s *Status) error {
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
	evacuated, err := evacuation.Rows{Table: h.Table}.List(ctx)
	if err != nil {
		return err
	}
	for _, name := range evacuated {
		e := Evacuated{DataCentre: name}
		if h.Running != nil {
			e.Running = h.Running.Running(name)
		}
		s.Evacuated = append(s.Evacuated, e)
	}
	s.Accepted = head
	s.Progress = rollout.ProgressOf(head, sessions)
	s.CutOff = rollout.CutOff(sessions, h.Clock.Now())
	return nil
}

func (h *handler) serveEvents(rc *fasthttp.RequestCtx) {
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

func (h *handler) serveTicket(rc *fasthttp.RequestCtx, text string) {
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
