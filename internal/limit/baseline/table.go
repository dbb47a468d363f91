package baseline

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/limit"
	"carawayrouter.example/router/internal/platform"
)

// tableRetryDelay is the minimum delay before a row is tried again.
const tableRetryDelay = 5 * time.Millisecond

// TablePerRequest keeps each account's level in a row of the table and updates the row
// on every request. Refunds are applied with the next request of the same instance.
type TablePerRequest struct {
	config config.Source
	table  platform.Table
	clock  clock.Clock

	mu             sync.Mutex
	pendingRefunds map[string]float64
}

var _ limit.Limiter = (*TablePerRequest)(nil)

// levelRow is the value of an account's row.
type levelRow struct {
	Level float64   `json:"level"`
	At    time.Time `json:"at"`
}

// NewTablePerRequest returns a TablePerRequest.
func NewTablePerRequest(c config.Source, t platform.Table, clk clock.Clock) *TablePerRequest {
	return &TablePerRequest{config: c, table: t, clock: clk, pendingRefunds: map[string]float64{}}
}

// Reserve implements limit.Limiter.
func (p *TablePerRequest) Reserve(ctx context.Context, account string, tokens int, w limit.Wait) (limit.Reservation, error) {
	deadline := w.End(p.clock.Now())
	a, err := checkAccount(p.config, account, tokens)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, max(time.Second, deadline.Sub(p.clock.Now())))
	defer cancel()
	for {
		wait, err := p.tryTake(ctx, a, float64(tokens))
		if err != nil {
			return nil, err
		}
		if wait == 0 {
			return p.reservation(account, tokens), nil
		}
		if wait > deadline.Sub(p.clock.Now()) {
			return nil, overRateError(wait)
		}
		if err := sleep(ctx, p.clock, wait); err != nil {
			return nil, err
		}
	}
}

// tryTake makes one conditional write. It returns 0 on success, or the time until the
// next attempt.
func (p *TablePerRequest) tryTake(ctx context.Context, a *config.Account, tokens float64) (time.Duration, error) {
	key := "baseline/" + a.Name
	rows, err := p.table.Get(ctx, key)
	if err != nil {
		return 0, unavailableError(err)
	}
	now := p.clock.Now()
	row := levelRow{Level: a.Burst, At: now}
	if rows[0].Version > 0 {
		if err := json.Unmarshal(rows[0].Value, &row); err != nil {
			return 0, unavailableError(err)
		}
	}
	refund := p.takeRefund(a.Name)
	row.Level = min(a.Burst, row.Level+a.Rate*max(0, now.Sub(row.At).Seconds())+refund)
	row.At = now
	if row.Level < tokens {
		p.addRefund(a.Name, refund)
		return max(tableRetryDelay, time.Duration((tokens-row.Level)/a.Rate*float64(time.Second))), nil
	}
	row.Level -= tokens
	value, _ := json.Marshal(row) // numbers and times always marshal
	_, err = p.table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: rows[0].Version}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	})
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return 0, nil
	case errors.As(err, &conflict):
		p.addRefund(a.Name, refund)
		return tableRetryDelay, nil
	default:
		return 0, unavailableError(err)
	}
}

func (p *TablePerRequest) reservation(account string, tokens int) limit.Reservation {
	var once sync.Once
	return reservation{func(used int) {
		once.Do(func() { p.addRefund(account, float64(max(0, tokens-used))) })
	}}
}

func (p *TablePerRequest) takeRefund(account string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.pendingRefunds[account]
	delete(p.pendingRefunds, account)
	return n
}

func (p *TablePerRequest) addRefund(account string, n float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n > 0 {
		p.pendingRefunds[account] += n
	}
}

func unavailableError(err error) error {
	return errkind.Wrap(err, errkind.StoreUnavailable, errkind.NotRun, "the platform's table is needed for rate limits")
}
