package httpendpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/reqid"
)

// maxResponseBytes is the maximum size of a JSON response body.
const maxResponseBytes = 4 << 20

// engine is the client of one model engine.
type engine struct {
	base             string
	workTransport    *http.Transport
	controlTransport *http.Transport
}

// Prefill implements endpoint.Engine.
func (e *engine) Prefill(ctx context.Context, r endpoint.PrefillRequest) (endpoint.PrefillResult, error) {
	var res endpoint.PrefillResult
	if err := e.callStreaming(ctx, PathPrefill, r, &res); err != nil {
		return endpoint.PrefillResult{}, err
	}
	if res.ID != r.ID || res.Attempt != r.Attempt {
		return endpoint.PrefillResult{}, mismatchError(res.ID, res.Attempt)
	}
	return res, nil
}

// Import implements endpoint.Engine.
func (e *engine) Import(ctx context.Context, r endpoint.ImportRequest) error {
	var res ImportResult
	if err := e.callStreaming(ctx, PathImport, r, &res); err != nil {
		return err
	}
	if res.ID != r.ID || res.Attempt != r.Attempt {
		return mismatchError(res.ID, res.Attempt)
	}
	return nil
}

// Decode implements endpoint.Engine.
func (e *engine) Decode(ctx context.Context, r endpoint.DecodeRequest) (endpoint.TokenStream, error) {
	s, err := e.openStream(ctx, PathDecode, r)
	if err != nil {
		return nil, err
	}
	return &tokenStream{events: s, id: r.ID, attempt: r.Attempt, nextIndex: r.Offset}, nil
}

// Cancel implements endpoint.Engine.
func (e *engine) Cancel(ctx context.Context, id reqid.ID, attempt int) error {
	return e.callControl(ctx, http.MethodPost, PathCancel, CancelRequest{ID: id, Attempt: attempt}, nil)
}

// Running implements endpoint.Engine.
func (e *engine) Running(ctx context.Context) ([]endpoint.Running, error) {
	var list []endpoint.Running
	err := e.callControl(ctx, http.MethodGet, PathRunning, nil, &list)
	return list, err
}

// Load implements endpoint.Engine.
func (e *engine) Load(ctx context.Context) (endpoint.LoadReport, error) {
	var l endpoint.LoadReport
	err := e.callControl(ctx, http.MethodGet, PathLoad, nil, &l)
	return l, err
}

// CacheEvents implements endpoint.Engine.
func (e *engine) CacheEvents(ctx context.Context, after uint64) ([]endpoint.CacheEvent, error) {
	var list []endpoint.CacheEvent
	err := e.callControl(ctx, http.MethodGet, PathCacheEvents+"?after="+strconv.FormatUint(after, 10), nil, &list)
	return list, err
}

// Order implements endpoint.Engine.
func (e *engine) Order(ctx context.Context, o endpoint.Order) (endpoint.OrderResult, error) {
	var res endpoint.OrderResult
	err := e.callControl(ctx, http.MethodPost, PathOrders, o, &res)
	return res, err
}

// callControl makes a call with a JSON response over the control transport.
func (e *engine) callControl(ctx context.Context, method, path string, in, out any) error {
	req, err := newRequest(ctx, method, e.base+path, in)
	if err != nil {
		return err
	}
	resp, err := roundTrip(e.controlTransport, req, false)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return readError(ctx, e.controlTransport, err)
	}
	if resp.StatusCode != http.StatusOK {
		return statusError(resp.StatusCode, resp.Header, errorBody(data))
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return wrapCause(endpoint.ErrCallFailed, err, "answer")
	}
	return nil
}

// openStream makes a call whose response is an event stream.
func (e *engine) openStream(ctx context.Context, path string, in any) (*eventReader, error) {
	req, err := newRequest(ctx, http.MethodPost, e.base+path, in)
	if err != nil {
		return nil, err
	}
	resp, err := roundTrip(e.workTransport, req, false)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return newEventReader(ctx, e.workTransport, resp.Body), nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, readError(ctx, e.workTransport, err)
	}
	return nil, statusError(resp.StatusCode, resp.Header, errorBody(data))
}

// callStreaming makes a call whose event stream carries a single result.
func (e *engine) callStreaming(ctx context.Context, path string, in, out any) error {
	s, err := e.openStream(ctx, path, in)
	if err != nil {
		return err
	}
	defer s.close()
	data, err := s.next()
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, out); err != nil {
		return wrapCause(endpoint.ErrCallFailed, err, "answer")
	}
	// Read to the end of the stream, so that the connection can be reused. Errors are
	// ignored because the result is already complete.
	_, _ = s.next()
	return nil
}

// Exporter fetches exported KV cache from an engine. Engines use it to transfer KV cache
// between each other.
type Exporter struct{ d *dialer }

// NewExporter returns an Exporter.
func NewExporter(o Options) *Exporter {
	return &Exporter{d: NewDialer(o).(*dialer)}
}

// Fetch transfers the KV cache identified by handle from the engine at addr.
func (x *Exporter) Fetch(ctx context.Context, addr, handle string) (ExportResult, error) {
	var out ExportResult
	e := x.d.Engine(addr).(*engine)
	err := e.callStreaming(ctx, PathExport, ExportRequest{Handle: handle}, &out)
	if err == nil && out.Handle != handle {
		err = errors.Wrapf(endpoint.ErrMismatch, "got handle %q", out.Handle)
	}
	return out, err
}

// Close closes the idle connections.
func (x *Exporter) Close() {
	x.d.mu.Lock()
	defer x.d.mu.Unlock()
	for _, e := range x.d.engines {
		e.client.closeIdle()
	}
}

// newRequest returns a request with in as its JSON body, or without a body if in is nil.
func newRequest(ctx context.Context, method, url string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, errors.Wrap(err, "encode request body")
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, wrapCause(endpoint.ErrNotSent, err, "request")
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

func errorBody(data []byte) ErrorBody {
	var b ErrorBody
	if json.Unmarshal(data, &b) != nil {
		return ErrorBody{}
	}
	return b
}

func mismatchError(id reqid.ID, attempt int) error {
	return errors.Wrapf(endpoint.ErrMismatch, "got request %s attempt %d", id, attempt)
}
