package gateway

import (
	"context"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/endpoint"
)

const (
	// endConfirmTime is how long an endpoint may take to show that it still runs after it has ended an answer; well
	// within the time for which callers wait for the next event.
	endConfirmTime = time.Second
	endRetryDelay  = 40 * time.Millisecond
	// endSettleTime is how long a new connection has to stay open to show that a process listens: the kernel resets
	// the connections that were not accepted when it closes the listener of a process that ends.
	endSettleTime = 50 * time.Millisecond
)

// errEndNotConfirmed means that the connection of an answer without a length has ended, and that its endpoint's process
// has not shown that it ended the answer itself.
var errEndNotConfirmed = errors.New("the answer may have broken off: its endpoint's process has not outlived it")

// confirmedBody is a body that ends with its connection. The kernel ends the connections of a process that is
// gone like those that the process closes, so that its end counts once the process has answered a request after it.
//
// It answers engines and services that end in the middle of answers without a length: each end costs one request, on a
// kept connection if there is one.
type confirmedBody struct {
	io.ReadCloser
	confirm func() error
	end     error // the result of the confirmation; nil before it
}

func (b *confirmedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if b.end = b.confirm(); b.end == nil {
			b.end = io.EOF
		}
		err = b.end
	}
	return n, err
}

// confirmEnd returns nil if the process that answered a request on c has outlived the end of its answer.
func (u *upstream) confirmEnd(ctx context.Context, c *endpointConn, req endpointRequest) error {
	ctx, cancel := context.WithTimeout(ctx, endConfirmTime)
	defer cancel()
	for {
		err := u.showsLife(ctx, c.incarnation, req)
		if err == nil {
			u.onEndByClose(true)
			return nil
		}
		if !errors.IsAny(err, syscall.ECONNREFUSED, errOtherIncarnation) {
			sleepJitter(ctx, endRetryDelay)
			if ctx.Err() == nil {
				continue
			}
		}
		u.onEndByClose(false)
		return errors.CombineErrors(errors.Wrap(errEndNotConfirmed, err.Error()), err)
	}
}

// showsLife returns nil if the process of the given incarnation (0 or less: of the endpoint's name) answers a request
// now. An endpoint that limits requests or gets none now is only connected to.
func (u *upstream) showsLife(ctx context.Context, incarnation int64, req endpointRequest) error {
	if !u.mayAsk(req.endpoint) || u.recheck(req.question()) != "" {
		return u.accepts(ctx, req.addr)
	}
	c, err := u.get(ctx, req.addr, "", defaultIdleTTL)
	if err != nil {
		return err
	}
	if req.incarnation != 0 {
		if incarnation <= 0 {
			incarnation = req.incarnation
		}
		reusable, err := u.askIncarnation(ctx, c, req)
		if err == nil && c.incarnation > 0 && c.incarnation != incarnation {
			err = errOtherIncarnation
		}
		if reusable {
			u.put(c)
		} else {
			_ = c.Close()
		}
		return err
	}
	return u.checkHealth(ctx, c, req)
}

// checkHealth returns nil if the endpoint answers a health check on c, healthy or not, or if it listens: health checks
// wait for a slot like requests.
func (u *upstream) checkHealth(ctx context.Context, c *endpointConn, req endpointRequest) error {
	if req.healthPath == "" {
		_ = c.Close()
		return u.accepts(ctx, req.addr)
	}
	checkCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	stop := context.AfterFunc(checkCtx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	resp, err := u.roundTrip(c, endpointRequest{endpoint: req.endpoint, placedAt: req.placedAt, sender: "end of an answer", method: http.MethodGet, uri: req.healthPath, host: req.addr})
	if err != nil {
		_ = c.Close()
		if checkCtx.Err() != nil {
			return u.accepts(ctx, req.addr)
		}
		return err
	}
	resp.stopWatch = stop
	_, err = resp.readAll()
	resp.close()
	switch {
	case err != nil:
		return err
	case resp.EndpointName != "" && resp.EndpointName != req.endpoint:
		return errOtherIncarnation
	}
	return nil
}

// accepts returns nil if a process listens at the address.
func (u *upstream) accepts(ctx context.Context, addr string) error {
	c, err := u.dial(ctx, addr)
	if err != nil {
		return err
	}
	defer u.put(c)
	sleepJitter(ctx, endSettleTime)
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	if c.stale() { // through a tunnel, an end comes as a frame
		return errors.Mark(errors.New("the connection was closed"), endpoint.ErrCallFailed)
	}
	return nil
}
