package httpplatform

import (
	"context"
	"encoding/json"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"carawayrouter.example/router/internal/platform"
	"carawayrouter.example/router/internal/platform/memplatform"
)

// serverTimeout limits the processing time of one call.
const serverTimeout = 30 * time.Second

// MaxBody is the maximum request body size in bytes that a server of the API must accept.
const MaxBody = 64 << 20

// Handler returns a handler that serves the API for store. The MaxRequestBodySize of the
// fasthttp.Server should be MaxBody.
func Handler(store *memplatform.Store) fasthttp.RequestHandler {
	h := &handler{store: store}
	return h.serve
}

type handler struct {
	store *memplatform.Store
}

func (h *handler) serve(rc *fasthttp.RequestCtx) {
	ctx, cancel := context.WithTimeout(context.Background(), serverTimeout)
	defer cancel()
	result, err := h.route(ctx, rc)
	if err != nil {
		writeError(rc, err)
		return
	}
	if raw, ok := result.([]byte); ok {
		rc.SetContentType("application/octet-stream")
		rc.SetBody(raw)
		return
	}
	body, err := json.Marshal(result)
	if err != nil {
		writeError(rc, err)
		return
	}
	rc.SetContentType("application/json")
	rc.SetBody(body)
}

// errBadRequest is returned for requests that do not conform to the API.
var errBadRequest = errors.New("bad request")

func (h *handler) route(ctx context.Context, rc *fasthttp.RequestCtx) (any, error) {
	p := h.store.For(string(rc.Request.Header.Peek(headerDataCentre)))
	path := string(rc.URI().PathOriginal())
	method := string(rc.Method())
	switch {
	case path == pathGet:
		return handleJSON(rc, func(r getRequest) (any, error) {
			rows, err := p.Table.Get(ctx, r.Keys...)
			return rowsResponse{Rows: rowsToJSON(rows)}, err
		})
	case path == pathScan:
		return handleJSON(rc, func(r scanRequest) (any, error) {
			rows, err := p.Table.Scan(ctx, r.Prefix, r.After, r.Limit)
			return rowsResponse{Rows: rowsToJSON(rows)}, err
		})
	case path == pathCommit:
		return handleJSON(rc, func(r commitRequest) (any, error) {
			v, err := p.Table.Commit(ctx, txnFromJSON(r))
			return commitResponse{Version: v}, err
		})
	case path == pathObjectList && method == fasthttp.MethodGet:
		names, err := p.Objects.List(ctx, string(rc.QueryArgs().Peek("prefix")))
		return namesResponse{Names: names}, err
	case strings.HasPrefix(path, pathObjects):
		return handleObject(ctx, rc, p.Objects, strings.TrimPrefix(path, pathObjects))
	case path == pathInstances && method == fasthttp.MethodGet:
		all, err := p.Instances.List(ctx)
		return instancesResponse{Instances: all}, err
	case path == pathLeave:
		return handleJSON(rc, func(r leaveRequest) (any, error) {
			return struct{}{}, p.Instances.Leave(ctx, r.Name)
		})
	case path == pathFault:
		return handleJSON(rc, func(f Fault) (any, error) { return struct{}{}, h.setFaults(f) })
	case path == pathCounts && method == fasthttp.MethodGet:
		return h.store.Counts(), nil
	case strings.HasPrefix(path, pathRegister):
		return h.register(rc, strings.TrimPrefix(path, pathRegister))
	}
	return nil, errors.Wrapf(platform.ErrNotFound, "%s %s", method, path)
}

// handleJSON decodes the JSON body of a POST request and calls f.
func handleJSON[T any](rc *fasthttp.RequestCtx, f func(T) (any, error)) (any, error) {
	if !rc.IsPost() {
		return nil, errors.Wrap(errBadRequest, "use POST")
	}
	var req T
	dec := json.NewDecoder(strings.NewReader(string(rc.PostBody())))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&req); err != nil {
		return nil, errors.Wrap(errBadRequest, err.Error())
	}
	return f(req)
}

func handleObject(ctx context.Context, rc *fasthttp.RequestCtx, objects platform.Objects, escaped string) (any, error) {
	name, err := url.PathUnescape(escaped)
	if err != nil || name == "" {
		return nil, errors.Wrap(errBadRequest, "object name")
	}
	switch {
	case rc.IsGet():
		return objects.Get(ctx, name)
	case rc.IsPut():
		return struct{}{}, objects.Put(ctx, name, rc.PostBody())
	}
	return nil, errors.Wrap(errBadRequest, "use GET or PUT")
}

// register adds, replaces or removes one entry of the instance list.
func (h *handler) register(rc *fasthttp.RequestCtx, escaped string) (any, error) {
	name, err := url.PathUnescape(escaped)
	if err != nil || name == "" {
		return nil, errors.Wrap(errBadRequest, "instance name")
	}
	switch {
	case rc.IsDelete():
		h.store.RemoveInstance(name)
		return struct{}{}, nil
	case rc.IsPut():
		var i platform.Instance
		if err := json.Unmarshal(rc.PostBody(), &i); err != nil {
			return nil, errors.Wrap(errBadRequest, err.Error())
		}
		i.Name = name
		h.store.SetInstance(i)
		return struct{}{}, nil
	}
	return nil, errors.Wrap(errBadRequest, "use PUT or DELETE")
}

// setFaults applies the fields that are set in f. If any of them is invalid, it applies
// none.
func (h *handler) setFaults(f Fault) error {
	slow, err := parseOptionalDuration(f.Slow)
	if err != nil {
		return err
	}
	lag, err := parseOptionalDuration(f.ListLag)
	if err != nil {
		return err
	}
	for _, x := range []*float64{f.LoseAnswers, f.LoseRequests} {
		if x != nil && !(*x >= 0 && *x <= 1) {
			return errors.Wrap(errBadRequest, "fraction must be from 0 to 1")
		}
	}
	applyIfSet(f.Down, h.store.Down)
	applyIfSet(f.ListDown, h.store.ListDown)
	applyIfSet(slow, h.store.Slow)
	applyIfSet(lag, h.store.ListLag)
	applyIfSet(f.LoseAnswers, h.store.LoseAnswers)
	applyIfSet(f.LoseRequests, h.store.LoseRequests)
	for dc, cut := range f.Cut {
		h.store.Cut(dc, cut)
	}
	return nil
}

func applyIfSet[T any](v *T, f func(T)) {
	if v != nil {
		f(*v)
	}
}

func parseOptionalDuration(text *string) (*time.Duration, error) {
	if text == nil {
		return nil, nil
	}
	d, err := time.ParseDuration(*text)
	if err != nil || d < 0 {
		return nil, errors.Wrapf(errBadRequest, "%q is not a duration such as 250ms, 3s", *text)
	}
	return &d, nil
}

// writeError sends an error response for err.
func writeError(rc *fasthttp.RequestCtx, err error) {
	a := errorResponse{Message: err.Error()}
	status := fasthttp.StatusInternalServerError
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		status = fasthttp.StatusConflict
		a = errorResponse{Code: codeConflict, Message: err.Error(), Key: conflict.Key, Want: conflict.Want, Have: conflict.Have}
	case errors.Is(err, platform.ErrUnknownOutcome):
		status, a.Code = fasthttp.StatusGatewayTimeout, codeUnknownOutcome
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, context.DeadlineExceeded):
		status, a.Code = fasthttp.StatusServiceUnavailable, codeUnavailable
	case errors.Is(err, platform.ErrNotFound):
		status, a.Code = fasthttp.StatusNotFound, codeNotFound
	case errors.Is(err, errBadRequest):
		status, a.Code = fasthttp.StatusBadRequest, codeBadRequest
	}
	rc.SetStatusCode(status)
	rc.SetContentType("application/json")
	body, err := json.Marshal(a)
	if err == nil {
		rc.SetBody(body)
	}
}
