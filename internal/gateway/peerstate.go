package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/gossip"
	"carawayrouter.example/router/internal/responsehead"
)

// peerState is the response to an instance that requests state.
type peerState struct {
	ConfigurationVersion uint64                   `json:"version"`
	Configuration        []byte                   `json:"configuration,omitempty"`
	EndpointsVersion     uint64                   `json:"directory"`           // a Position.order
	EraStart             uint64                   `json:"era_start,omitempty"` // the first position that was read of its era; 0 if not known
	Endpoints            []*config.Endpoint       `json:"endpoints"`
	Held                 []heldEntry              `json:"held,omitempty"` // former builds put these entries among Endpoints
	Retired              map[string]int64         `json:"retired"`
	Removed              map[string]removedEntry  `json:"removed,omitempty"`
	Secret               []byte                   `json:"secret"`
	Instances            map[string]instanceRow   `json:"instances"`
	Listed               bool                     `json:"listed"` // Instances are all that have rows
	Streams              []gossip.BegunStreams    `json:"streams,omitempty"`
	Software             []gossip.SoftwareVersion `json:"software,omitempty"`
	Evacuations          []gossip.Evacuation      `json:"evacuations,omitempty"`
}

// serve responds to requests of other instances.
func (p *peers) serve(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case statePath:
		p.serveState(ctx)
	case tunnelPath:
		p.serveTunnel(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// serveState responds to instances of the fleet. One that starts during a store outage has no
// secret yet; it is identified by its address, which only the fleet can have written to the
// store.
func (p *peers) serveState(ctx *fasthttp.RequestCtx) {
	p.mu.Lock()
	secret := p.secret
	member := false
	for _, x := range p.known {
		if host, _, err := net.SplitHostPort(x.row.State); err == nil && host == ctx.RemoteIP().String() {
			member = true
		}
	}
	rows := map[string]instanceRow{p.s.settings.Instance: p.self}
	for name, x := range p.known {
		if x.row.Updates != "" && !x.leaving {
			rows[name] = x.row
		}
	}
	listed := p.listed
	p.mu.Unlock()
	if secret == nil || !member {
		ctx.SetStatusCode(fasthttp.StatusForbidden)
		return
	}
	now := time.Now()
	st := p.s.state.export(now)
	st.Secret, st.Instances, st.Listed = secret, rows, listed
	st.Streams, st.Software = p.s.origins.export(now)
	st.Evacuations = p.s.exportEvacuations()
	b, err := json.Marshal(st)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// catchUp fetches missing state from other instances: at startup without the store, and when
// they have been ahead for longer than the store's change feed may lag. If this instance has been waiting
// for changes all the while, its connection to the store may be silent, so it asks the store once more first.
func (p *peers) catchUp(ctx context.Context) error {
	for ctx.Err() == nil {
		sleepJitter(ctx, catchUpInterval)
		addr, since := p.catchUpSource(time.Now())
		if addr != "" && !p.s.endWaits(since) {
			if err := p.fetchState(addr); err != nil {
				p.log.V(1).Info("state.not_fetched", "addr", addr, "cause", err.Error())
			}
		}
	}
	return nil
}

// catchUpSource returns the address of the instance to ask, and since when it has been ahead, or "" if
// none is needed.
func (p *peers) catchUpSource(now time.Time) (addr string, since time.Time) {
	have, endpointsVersion := p.s.state.Current(), p.s.state.endpointsPosition().order()
	storeUnavailable := p.s.state.storeUnavailable()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.known {
		if x.update == nil || now.Sub(x.lastUpdateAt) > peerTTL {
			continue
		}
		ahead := x.update.ConfigurationVersion > have.Ticket || x.update.EndpointsVersion > endpointsVersion
		if !ahead {
			x.aheadSince = time.Time{}
			continue
		}
		if x.aheadSince.IsZero() {
			x.aheadSince = now
		}
		if storeUnavailable || now.Sub(x.aheadSince) >= catchUpDelay {
			addr, since = x.row.State, x.aheadSince
		}
	}
	if addr == "" && have.Ticket == 0 && len(p.s.settings.Seeds) > 0 {
		addr = p.s.settings.Seeds[int(now.UnixMilli()/int64(catchUpInterval/time.Millisecond))%len(p.s.settings.Seeds)]
		if addr == p.self.State {
			return "", time.Time{}
		}
	}
	return addr, since
}

// requestState requests the state of the instance at addr.
func (p *peers) requestState(addr string) (*peerState, error) {
	ctx, cancel := context.WithTimeout(responsehead.Context(context.Background()), fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+statePath, nil)
	if err != nil {
		return nil, err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("response status %d", resp.StatusCode)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxStateBytes+1))
	switch {
	case err != nil:
		return nil, err
	case len(b) > maxStateBytes:
		return nil, errBodyTooLarge
	}
	st := new(peerState)
	return st, errors.Wrap(json.Unmarshal(b, st), "decode")
}

// fetchState requests the state of the instance at addr and applies what is newer.
func (p *peers) fetchState(addr string) error {
	st, err := p.requestState(addr)
	if err != nil {
		return errors.Wrap(err, "fetch state")
	}
	now := time.Now()
	p.mu.Lock()
	if p.secret == nil {
		p.secret = st.Secret
	}
	for name, row := range st.Instances {
		if updates, err := netip.ParseAddrPort(row.Updates); err == nil && name != p.s.settings.Instance && p.known[name] == nil && len(p.known) < maxInstances {
			p.known[name] = &peer{row: row, addr: updates, foundAt: now, rowChangedAt: now}
		}
	}
	p.listed = p.listed || st.Listed
	p.mu.Unlock()
	p.s.updateFleet(now)
	p.s.mergeEvacuations(now, st.Evacuations, addr) // first: an instance with a configuration serves
	p.s.state.merge(now, st, addr)
	p.s.origins.merge(now, st.Streams, st.Software)
	p.requestUpdate()
	return nil
}
