package httpplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/platform"
	"carawayrouter.example/router/internal/responsehead"
)

const (
	callTimeout         = 5 * time.Second // limit for every call, in addition to the caller's ctx
	dialTimeout         = 2 * time.Second
	idleTimeout         = 30 * time.Second
	maxIdleConnsPerHost = 16
	maxResponseBytes    = 256 << 20 // bytes
	maxErrorBytes       = 64 << 10  // bytes
)

// NewClient returns a client of the API server at addr (IP:port) for instances in the given
// data centre.
func NewClient(addr, dataCentre string) platform.Platform {
	return NewClientWithDialer(addr, dataCentre, (&net.Dialer{Timeout: dialTimeout}).DialContext)
}

// DialFunc establishes a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// NewClientWithDialer is like NewClient but uses dial to establish connections.
func NewClientWithDialer(addr, dataCentre string, dial DialFunc) platform.Platform {
	c := &client{
		base:       "http://" + addr,
		dataCentre: dataCentre,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         responsehead.CheckedDial(dial),
			MaxIdleConnsPerHost: maxIdleConnsPerHost,
			IdleConnTimeout:     idleTimeout,
		}},
	}
	return platform.Platform{Table: (*tableClient)(c), Objects: (*objectsClient)(c), Instances: (*instancesClient)(c)}
}

// SetFault sets the injected faults of the stand-in platform at addr.
func SetFault(ctx context.Context, addr string, f Fault) error {
	c := &client{base: "http://" + addr, http: http.DefaultClient}
	return c.post(ctx, pathFault, f, &struct{}{}, false)
}

// Register adds an instance to the list of the stand-in platform at addr, or replaces it.
func Register(ctx context.Context, addr string, i platform.Instance) error {
	c := &client{base: "http://" + addr, http: http.DefaultClient}
	body, err := json.Marshal(i)
	if err != nil {
		return errors.Wrap(err, "encode instance")
	}
	_, err = c.do(ctx, http.MethodPut, pathRegister+url.PathEscape(i.Name), body, false)
	return err
}

type client struct {
	base       string
	dataCentre string
	http       *http.Client
}

// post sends req as JSON and decodes the response into reply.
func (c *client) post(ctx context.Context, path string, req, reply any, isWrite bool) error {
	body, err := json.Marshal(req)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	respBody, err := c.do(ctx, http.MethodPost, path, body, isWrite)
	if err != nil {
		return err
	}
	return c.decode(respBody, reply, isWrite)
}

func (c *client) get(ctx context.Context, path string, reply any) error {
	respBody, err := c.do(ctx, http.MethodGet, path, nil, false)
	if err != nil {
		return err
	}
	return c.decode(respBody, reply, false)
}

func (c *client) decode(body []byte, reply any, isWrite bool) error {
	if err := json.Unmarshal(body, reply); err != nil {
		return transportError(isWrite, errors.Wrap(err, "decode answer"))
	}
	return nil
}

// do makes one call and returns the response body. A transport error of a write call after
// a connection was obtained is ErrUnknownOutcome. All other transport errors are
// ErrUnavailable.
func (c *client) do(ctx context.Context, method, path string, body []byte, isWrite bool) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(responsehead.Context(ctx), method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	req.Header.Set(headerDataCentre, c.dataCentre)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, transportError(isWrite && sent.Load(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, responseError(resp, isWrite)
	}
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, transportError(isWrite, err)
	}
	return respBody, nil
}

// transportError wraps a transport error with ErrUnknownOutcome or ErrUnavailable.
func transportError(outcomeUnknown bool, err error) error {
	if outcomeUnknown {
		return errors.WithSecondaryError(errors.Wrap(platform.ErrUnknownOutcome, err.Error()), err)
	}
	return errors.WithSecondaryError(errors.Wrap(platform.ErrUnavailable, err.Error()), err)
}

// responseError converts an error response of the server to an error.
func responseError(resp *http.Response, isWrite bool) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		return transportError(isWrite, err)
	}
	var a errorResponse
	if err := json.Unmarshal(body, &a); err != nil {
		return transportError(isWrite, errors.Newf("status %d", resp.StatusCode))
	}
	switch a.Code {
	case codeConflict:
		return errors.WithStack(&platform.ConflictError{Key: a.Key, Want: a.Want, Have: a.Have})
	case codeUnknownOutcome:
		return remoteError(platform.ErrUnknownOutcome, a.Message)
	case codeUnavailable:
		return remoteError(platform.ErrUnavailable, a.Message)
	case codeNotFound:
		return remoteError(platform.ErrNotFound, a.Message)
	case codeBadRequest:
		return errors.Newf("platform refused the request: %s", a.Message)
	}
	return transportError(isWrite, errors.Newf("status %d: %s", resp.StatusCode, a.Message))
}

// remoteError returns kind, wrapped with the part of the server's message that precedes the
// text of kind.
func remoteError(kind error, message string) error {
	detail := strings.TrimSuffix(message, kind.Error())
	detail = strings.TrimSuffix(detail, ": ")
	if detail == "" {
		return errors.WithStack(kind)
	}
	return errors.Wrap(kind, detail)
}

type tableClient client

// Get implements platform.Table.
func (t *tableClient) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	var a rowsResponse
	err := (*client)(t).post(ctx, pathGet, getRequest{Keys: keys}, &a, false)
	if err != nil {
		return nil, err
	}
	if len(a.Rows) != len(keys) {
		return nil, errors.Wrapf(platform.ErrUnavailable, "%d rows for %d keys", len(a.Rows), len(keys))
	}
	return rowsFromJSON(a.Rows), nil
}

// Scan implements platform.Table.
func (t *tableClient) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	var a rowsResponse
	err := (*client)(t).post(ctx, pathScan, scanRequest{Prefix: prefix, After: after, Limit: limit}, &a, false)
	if err != nil {
		return nil, err
	}
	return rowsFromJSON(a.Rows), nil
}

// Commit implements platform.Table.
func (t *tableClient) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	var a commitResponse
	if err := (*client)(t).post(ctx, pathCommit, txnToJSON(txn), &a, true); err != nil {
		return 0, err
	}
	return a.Version, nil
}

type objectsClient client

// Put implements platform.Objects. Put is idempotent, so ErrUnavailable is returned even if
// only the response was lost.
func (o *objectsClient) Put(ctx context.Context, name string, data []byte) error {
	_, err := (*client)(o).do(ctx, http.MethodPut, pathObjects+url.PathEscape(name), data, false)
	return err
}

// Get implements platform.Objects.
func (o *objectsClient) Get(ctx context.Context, name string) ([]byte, error) {
	return (*client)(o).do(ctx, http.MethodGet, pathObjects+url.PathEscape(name), nil, false)
}

// List implements platform.Objects.
func (o *objectsClient) List(ctx context.Context, prefix string) ([]string, error) {
	var a namesResponse
	err := (*client)(o).get(ctx, pathObjectList+"?prefix="+url.QueryEscape(prefix), &a)
	return a.Names, err
}

type instancesClient client

// List implements platform.Instances.
func (l *instancesClient) List(ctx context.Context) ([]platform.Instance, error) {
	var a instancesResponse
	err := (*client)(l).get(ctx, pathInstances, &a)
	return a.Instances, err
}

// Leave implements platform.Instances.
func (l *instancesClient) Leave(ctx context.Context, name string) error {
	return (*client)(l).post(ctx, pathLeave, leaveRequest{Name: name}, &struct{}{}, false)
}
