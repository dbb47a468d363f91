// Package overhead measures the overhead of one entry instance compared with direct
// engine calls: the same requests go to the engines directly and through the instance.
package overhead

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"carawayrouter.example/router/internal/caller"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/endpoint/httpendpoint"
	"carawayrouter.example/router/internal/reqid"
)

const (
	maxLatency        = int64(time.Minute)
	significantDigits = 3
	latencyTokens     = 1
	ticksPerSecond    = 100 // unit of CPU times in /proc/PID/stat
)

// Options configure a measurement.
type Options struct {
	Entry    string // base URL of the instance
	Key      string
	Model    string
	Prefill  string // address of a prefill engine
	Decode   string // address of a decode engine
	Rate     float64
	Duration time.Duration
	Streams  int // concurrent streams in the throughput measurement
	Tokens   int // tokens per stream
	PID      int // process ID of the instance, to measure its CPU time; 0 disables it
}

// Report is the result of a measurement.
type Report struct {
	Requests        int     `json:"requests"` // routed requests that succeeded
	Failed          int     `json:"failed"`
	DirectP50       float64 `json:"direct_p50_seconds"` // time to the last token
	DirectP99       float64 `json:"direct_p99_seconds"`
	RoutedP50       float64 `json:"routed_p50_seconds"`
	RoutedP99       float64 `json:"routed_p99_seconds"`
	AddedP50        float64 `json:"added_p50_seconds"`
	AddedP99        float64 `json:"added_p99_seconds"` // difference between the two p99 values
	TokensPerSecond float64 `json:"tokens_per_second"`
	CPUPerRequest   float64 `json:"cpu_seconds_per_request,omitempty"`
	CPUPerToken     float64 `json:"cpu_seconds_per_token,omitempty"`
}

// Run measures latency at the given rate, then stream throughput.
func Run(ctx context.Context, o Options) (*Report, error) {
	m := &measurement{
		options: o,
		dialer:  httpendpoint.NewDialer(httpendpoint.Options{}),
		caller:  caller.New(o.Entry, o.Key),
		ids:     reqid.NewSource("overhead", uint64(time.Now().UnixNano())),
		direct:  hdrhistogram.New(1, maxLatency, significantDigits),
		routed:  hdrhistogram.New(1, maxLatency, significantDigits),
	}
	r := &Report{}
	cpu := m.cpuSeconds()
	m.measureLatency(ctx)
	if n := m.routed.TotalCount(); n > 0 {
		r.CPUPerRequest = (m.cpuSeconds() - cpu) / float64(n)
	}
	r.Requests = int(m.routed.TotalCount())
	r.DirectP50 = percentileSeconds(m.direct, 50)
	r.DirectP99 = percentileSeconds(m.direct, 99)
	r.RoutedP50 = percentileSeconds(m.routed, 50)
	r.RoutedP99 = percentileSeconds(m.routed, 99)
	r.AddedP50 = r.RoutedP50 - r.DirectP50
	r.AddedP99 = r.RoutedP99 - r.DirectP99
	if err := m.measureThroughput(ctx, r); err != nil {
		return nil, err
	}
	r.Failed = int(m.failed.Load())
	return r, nil
}

func percentileSeconds(h *hdrhistogram.Histogram, percentile float64) float64 {
	return time.Duration(h.ValueAtPercentile(percentile)).Seconds()
}

type measurement struct {
	options Options
	dialer  endpoint.Dialer
	caller  *caller.Client
	ids     *reqid.Source
	failed  atomic.Int64

	mu     sync.Mutex
	direct *hdrhistogram.Histogram
	routed *hdrhistogram.Histogram
}

// measureLatency sends requests at a fixed rate, each both directly and through the
// instance, so that both paths get the full rate.
func (m *measurement) measureLatency(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	interval := time.Duration(float64(time.Second) / m.options.Rate)
	start := time.Now()
	for i := 0; time.Since(start) < m.options.Duration; i++ {
		if ctx.Err() != nil {
			return
		}
		due := start.Add(time.Duration(i) * interval)
		time.Sleep(time.Until(due))
		wg.Go(func() { m.measureRequest(m.routed, due, func() error { return m.sendRouted(ctx, latencyTokens) }) })
		wg.Go(func() { m.measureRequest(m.direct, due, func() error { return m.sendDirect(ctx) }) })
	}
}

// measureRequest records the time since due, so that a delayed start is included.
func (m *measurement) measureRequest(h *hdrhistogram.Histogram, due time.Time, send func() error) {
	if err := send(); err != nil {
		m.failed.Add(1)
		return
	}
	took := time.Since(due)
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = h.RecordValue(int64(took))
}

func (m *measurement) sendRouted(ctx context.Context, tokens int) error {
	_, err := m.caller.Complete(ctx, caller.Completion{Model: m.options.Model, Prompt: "measure", MaxTokens: tokens})
	return err
}

// sendDirect makes the same engine calls as the instance: prefill, import, decode.
func (m *measurement) sendDirect(ctx context.Context) error {
	id := m.ids.Next()
	p, err := m.dialer.Engine(m.options.Prefill).Prefill(ctx, endpoint.PrefillRequest{ID: id, Attempt: 1, Model: m.options.Model, Prompt: "measure"})
	if err != nil {
		return err
	}
	e := m.dialer.Engine(m.options.Decode)
	err = e.Import(ctx, endpoint.ImportRequest{ID: id, Attempt: 1, Model: m.options.Model, Handle: p.Handle, Source: m.options.Prefill, Tokens: p.Tokens, MaxOutput: latencyTokens})
	if err != nil {
		return err
	}
	s, err := e.Decode(ctx, endpoint.DecodeRequest{ID: id, Attempt: 1, MaxOutput: latencyTokens})
	if err != nil {
		return err
	}
	defer s.Close()
	for {
		if _, err := s.Next(); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// measureThroughput runs concurrent streams and counts their tokens.
func (m *measurement) measureThroughput(ctx context.Context, r *Report) error {
	if m.options.Streams == 0 {
		return nil
	}
	var tokens atomic.Int64
	cpu := m.cpuSeconds()
	start := time.Now()
	g, ctx := errgroup.WithContext(ctx)
	for i := range m.options.Streams {
		g.Go(func() error {
			res, err := m.caller.Complete(ctx, caller.Completion{Model: m.options.Model, Prompt: fmt.Sprintf("stream %d", i), MaxTokens: m.options.Tokens})
			tokens.Add(int64(res.Tokens))
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return errors.Wrap(err, "throughput")
	}
	n := float64(tokens.Load())
	r.TokensPerSecond = n / time.Since(start).Seconds()
	r.CPUPerToken = (m.cpuSeconds() - cpu) / n
	return nil
}

// cpuSeconds returns the CPU time of the instance's process in seconds.
func (m *measurement) cpuSeconds() float64 {
	if m.options.PID == 0 {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", m.options.PID))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / ticksPerSecond
}
