package httpendpoint

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"

	"carawayrouter.example/router/internal/endpoint"
)

// hopByHopHeaders are the headers that apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host",
}

// service is the client of one plain service.
type service struct {
	base      string
	transport *http.Transport
}

// Do implements endpoint.Service. A request is sent at most once: the transport must not
// retry it after any byte was written.
func (s *service) Do(ctx context.Context, r endpoint.ServiceRequest) (*endpoint.ServiceResponse, error) {
	var body io.Reader
	if len(r.Body) > 0 {
		body = bytes.NewReader(r.Body)
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, s.base+r.Path, body)
	if err != nil {
		return nil, wrapCause(endpoint.ErrNotSent, err, "request")
	}
	for _, h := range r.Headers {
		if !slices.Contains(hopByHopHeaders, http.CanonicalHeaderKey(h.Name)) {
			req.Header.Add(h.Name, h.Value)
		}
	}
	req.Header.Set(HeaderRequestID, r.ID.String())
	resp, err := roundTrip(s.transport, req, true)
	if err != nil {
		return nil, err
	}
	if err := capacityRefusal(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return &endpoint.ServiceResponse{
		Status:  resp.StatusCode,
		Headers: endToEndHeaders(resp.Header),
		Body:    &serviceBody{ReadCloser: resp.Body, ctx: ctx, transport: s.transport},
	}, nil
}

// capacityRefusal returns an error if the response proves that the service did not run the
// request for lack of capacity. All other responses are forwarded to the caller.
func capacityRefusal(resp *http.Response) error {
	if resp.Header.Get(HeaderNotRun) == "" {
		return nil
	}
	if resp.StatusCode != http.StatusTooManyRequests && resp.StatusCode != http.StatusServiceUnavailable {
		return nil
	}
	return statusError(resp.StatusCode, resp.Header, ErrorBody{})
}

func endToEndHeaders(h http.Header) []endpoint.Header {
	var list []endpoint.Header
	for name, values := range h {
		if slices.Contains(hopByHopHeaders, name) {
			continue
		}
		for _, v := range values {
			list = append(list, endpoint.Header{Name: name, Value: v})
		}
	}
	return list
}

// serviceBody is a response body that classifies read errors.
type serviceBody struct {
	io.ReadCloser
	ctx       context.Context
	transport *http.Transport
}

// Read implements io.Reader.
func (b *serviceBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil || err == io.EOF {
		return n, err
	}
	return n, readError(b.ctx, b.transport, err)
}
