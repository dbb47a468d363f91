package filters

import (
	"context"
	"slices"
	"strings"
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/filter"
)

// Identify maps the caller's key to its client account and removes the key from the
// request, so that no later filter can forward it.
type Identify struct {
	Config config.Source
}

// Name implements filter.Filter.
func (*Identify) Name() string { return "identify" }

// Handle implements filter.Filter.
func (f *Identify) Handle(ctx context.Context, r *filter.Request, next filter.Handler) error {
	key := r.BearerKey
	r.BearerKey = ""
	r.Headers = forwardedHeaders(r, key)
	if key == "" {
		if r.Route.Open {
			return next(ctx, r)
		}
		return errkind.New(errkind.NoKey, "this route needs a key: Authorization: Bearer KEY")
	}
	r.KeyHash = config.HashKey(key)
	account, err := authorize(r.State, f.Config.Age, r.KeyHash)
	if err != nil {
		return err
	}
	r.Account = account
	return next(ctx, r)
}

// Authorize checks the key again before each dispatch, since it may have been withdrawn while
// the request was queued.
type Authorize struct {
	Config config.Source
}

// Name implements filter.Filter.
func (*Authorize) Name() string { return "authorize" }

// Handle implements filter.Filter.
func (f *Authorize) Handle(ctx context.Context, r *filter.Request, next filter.Handler) error {
	if r.Account == nil {
		return next(ctx, r)
	}
	if _, err := authorize(f.Config.Current(), f.Config.Age, r.KeyHash); err != nil {
		return correctExecution(r, err)
	}
	return next(ctx, r)
}

// authorize returns the client account of a key, or an error if the key is not valid in s.
func authorize(s *config.State, age func() time.Duration, hash config.KeyHash) (*config.Account, error) {
	key := s.Keys[hash]
	if key == nil || key.Withdrawn {
		return nil, errkind.New(errkind.KeyRefused, "the key is not valid")
	}
	account := s.Accounts[key.Account]
	if account == nil {
		return nil, errkind.New(errkind.KeyRefused, "the key is not valid")
	}
	if account.StaleKeys == config.StaleRefuse && age() > account.StaleAfter {
		return nil, errkind.New(errkind.StaleConfiguration, "the configuration cannot be refreshed; keys of this account are refused until it can")
	}
	return account, nil
}

// credentialHeaders are never forwarded to an endpoint.
var credentialHeaders = []string{"authorization", "proxy-authorization", "cookie", "x-api-key"}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{"connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "proxy-connection", "host", "content-length", "expect"}

// forwardedHeaders returns the headers that may be forwarded to an endpoint. Any header whose
// value contains the key is dropped.
func forwardedHeaders(r *filter.Request, key string) []endpoint.Header {
	forwarded := make([]endpoint.Header, 0, len(r.Headers))
	for _, h := range r.Headers {
		name := strings.ToLower(h.Name)
		if slices.Contains(hopByHopHeaders, name) || slices.Contains(credentialHeaders, name) {
			continue
		}
		if key != "" && strings.Contains(h.Value, key) {
			continue
		}
		forwarded = append(forwarded, h)
	}
	return forwarded
}
