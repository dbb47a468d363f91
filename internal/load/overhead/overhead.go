// Package overhead measures what one entry instance adds to calls of an engine: the
// same requests go directly to the engines and through the instance, in one run.
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
	maxLatency     = int64(time.Minute)
	figures        = 3
	latencyTokens  = 1
	ticksPerSecond = 100 // unit of /proc/PID/stat
)

// Options say what is measured.
type Options struct {
	Entry    string // base URL of the instance
	Key      string
	Model    string
	Prefill  string // address of a prefill engine
	Decode   string // address of a decode engine
	Rate     float64
	Duration time.Duration
	Streams  int // concurrent streams of the throughput part
	Tokens   int // tokens of each of them
	PID      int // process of the instance, for its processor time; 0: not measured
}

// Report is the result.
type Report struct {
	Requests        int     `json:"requests"` // of each way
	Failed          int     `json:"failed"`
	DirectP50       float64 `json:"direct_p50_seconds"` // to the last token
	DirectP99       float64 `json:"direct_p99_seconds"`
	RoutedP50       float64 `json:"routed_p50_seconds"`
	RoutedP99       float64 `json:"routed_p99_seconds"`
	AddedP50        float64 `json:"added_p50_seconds"`
	AddedP99        float64 `json:"added_p99_seconds"` // difference of the two p99
	TokensPerSecond float64 `json:"tokens_per_second"`
	CPUPerRequest   float64 `json:"cpu_seconds_per_request,omitempty"`
	CPUPerToken     float64 `json:"cpu_seconds_per_token,omitempty"`
}

// Run measures latency at the given rate, then throughput of streams.
func Run(ctx context.Context, o Options) (*Report, error) {
	m := &measurement{
		o:      o,
		dialer: httpendpoint.NewDialer(httpendpoint.Options{}),
		caller: caller.New(o.Entry, o.Key),
		ids:    reqid.NewSource("overhead", uint64(time.Now().UnixNano())),
		direct: hdrhistogram.New(1, maxLatency, figures),
		routed: hdrhistogram.New(1, maxLatency, figures),
	}
	r := &Report{}
	cpu := m.cpu()
	m.latency(ctx)
	if n := m.routed.TotalCount(); n > 0 {
		r.CPUPerRequest = (m.cpu() - cpu) / float64(n)
	}
	r.Requests = int(m.routed.TotalCount())
	r.DirectP50 = seconds(m.direct, 50)
	r.DirectP99 = seconds(m.direct, 99)
	r.RoutedP50 = seconds(m.routed, 50)
	r.RoutedP99 = seconds(m.routed, 99)
	r.AddedP50 = r.RoutedP50 - r.DirectP50
	r.AddedP99 = r.RoutedP99 - r.DirectP99
	if err := m.throughput(ctx, r); err != nil {
		return nil, err
	}
	r.Failed = int(m.failed.Load())
	return r, nil
}

func seconds(h *hdrhistogram.Histogram, percentile float64) float64 {
	return time.Duration(h.ValueAtPercentile(percentile)).Seconds()
}

type measurement struct {
	o      Options
	dialer endpoint.Dialer
	caller *caller.Client
	ids    *reqid.Source
	failed atomic.Int64

	mu     sync.Mutex
	direct *hdrhistogram.Histogram
	routed *hdrhistogram.Histogram
}

// latency sends requests at a fixed rate, alternately direct and through the
// instance; each way gets the full rate.
func (m *measurement) latency(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	interval := time.Duration(float64(time.Second) / m.o.Rate)
	start := time.Now()
	for i := 0; time.Since(start) < m.o.Duration; i++ {
		if ctx.Err() != nil {
			return
		}
		due := start.Add(time.Duration(i) * interval)
		time.Sleep(time.Until(due))
		wg.Go(func() { m.timed(m.routed, due, func() error { return m.askRouted(ctx, latencyTokens) }) })
		wg.Go(func() { m.timed(m.direct, due, func() error { return m.askDirect(ctx) }) })
	}
}

// timed records the time since due, so that a late start counts.
func (m *measurement) timed(h *hdrhistogram.Histogram, due time.Time, ask func() error) {
	if err := ask(); err != nil {
		m.failed.Add(1)
		return
	}
	took := time.Since(due)
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = h.RecordValue(int64(took))
}

func (m *measurement) askRouted(ctx context.Context, tokens int) error {
	_, err := m.caller.Complete(ctx, caller.Completion{Model: m.o.Model, Prompt: "measure", MaxTokens: tokens})
	return err
}

// askDirect does what the instance does: prefill, import, decode.
func (m *measurement) askDirect(ctx context.Context) error {
	id := m.ids.Next()
	p, err := m.dialer.Engine(m.o.Prefill).Prefill(ctx, endpoint.PrefillRequest{ID: id, Attempt: 1, Model: m.o.Model, Prompt: "measure"})
	if err != nil {
		return err
	}
	e := m.dialer.Engine(m.o.Decode)
	err = e.Import(ctx, endpoint.ImportRequest{ID: id, Attempt: 1, Model: m.o.Model, Handle: p.Handle, Source: m.o.Prefill, Tokens: p.Tokens, MaxOutput: latencyTokens})
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

// throughput relays streams side by side and counts their tokens.
func (m *measurement) throughput(ctx context.Context, r *Report) error {
	if m.o.Streams == 0 {
		return nil
	}
	var tokens atomic.Int64
	cpu := m.cpu()
	start := time.Now()
	g, ctx := errgroup.WithContext(ctx)
	for i := range m.o.Streams {
		g.Go(func() error {
			res, err := m.caller.Complete(ctx, caller.Completion{Model: m.o.Model, Prompt: fmt.Sprintf("stream %d", i), MaxTokens: m.o.Tokens})
			tokens.Add(int64(res.Tokens))
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return errors.Wrap(err, "throughput")
	}
	n := float64(tokens.Load())
	r.TokensPerSecond = n / time.Since(start).Seconds()
	r.CPUPerToken = (m.cpu() - cpu) / n
	return nil
}

// cpu returns the processor time of the instance's process in seconds.
func (m *measurement) cpu() float64 {
	if m.o.PID == 0 {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", m.o.PID))
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
