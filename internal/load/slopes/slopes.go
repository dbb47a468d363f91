// Package slopes measures what control costs an entry instance while no caller sends
// anything, at several sizes of a fleet, and fits a line to each cost.
package slopes

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/fleet"
	"carawayrouter.example/router/internal/platform/memplatform"
)

// Quantity is what a series varies.
type Quantity string

// The quantities.
const (
	Instances Quantity = "instances"
	Accounts  Quantity = "accounts"
	Endpoints Quantity = "endpoints"
	Tickets   Quantity = "tickets" // per second
)

// Quantities lists all quantities in the order in which they are measured.
var Quantities = []Quantity{Instances, Accounts, Endpoints, Tickets}

// sizes are the points of each series.
var sizes = map[Quantity][]float64{
	Instances: {4, 8, 16, 32, 64},
	Accounts:  {5, 500, 2000, 8000, 19000},
	Endpoints: {6, 24, 48, 96, 192},
	Tickets:   {0, 0.5, 1, 2, 4},
}

// Sizes of what a series does not vary.
const (
	baseEndpoints = 6
	dataCentres   = 2
)

// Options describe a measurement.
type Options struct {
	Quantities []Quantity
	Instances  int           // where they are not what varies
	Duration   time.Duration // of each point
	Settle     time.Duration // before each point
	Seed       uint64
	Progress   io.Writer // nil: no progress
}

// Point is the cost of control at one size. Processor time and heap are those of the
// whole process, less those of the stand-ins alone, by instance.
type Point struct {
	Size        float64 `json:"size"`
	Instances   int     `json:"instances"`
	CPU         float64 `json:"cpu_fraction"` // of a core, by instance
	Heap        float64 `json:"heap_bytes"`   // by instance
	BytesOut    float64 `json:"bytes_out_per_second"`
	BytesIn     float64 `json:"bytes_in_per_second"`
	Messages    float64 `json:"messages_per_second"` // sent by each instance
	StoreReads  float64 `json:"store_reads_per_second"`
	StoreWrites float64 `json:"store_writes_per_second"`
}

// Line is a least-squares fit of one cost over the sizes.
type Line struct {
	Cost      string  `json:"cost"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	R2        float64 `json:"r2"`
}

// Series is one quantity's points and lines.
type Series struct {
	Quantity Quantity `json:"quantity"`
	Points   []Point  `json:"points"`
	Lines    []Line   `json:"lines"`
}

// Run measures all series.
func Run(ctx context.Context, o Options) ([]Series, error) {
	var all []Series
	for _, q := range o.Quantities {
		s := Series{Quantity: q}
		for _, size := range sizes[q] {
			if o.Progress != nil {
				fmt.Fprintf(o.Progress, "\r\x1b[K%s: %g", q, size)
			}
			p, err := measure(ctx, o, q, size)
			if err != nil {
				return all, errors.Wrapf(err, "%s = %g", q, size)
			}
			s.Points = append(s.Points, p)
		}
		s.Lines = fitAll(s.Points)
		all = append(all, s)
	}
	if o.Progress != nil {
		fmt.Fprint(o.Progress, "\r\x1b[K")
	}
	return all, nil
}

// deployment returns a fleet of the given size.
func deployment(q Quantity, size float64, base int) (fleet.Deployment, error) {
	d, err := fleet.FindDeployment("dohoku")
	if err != nil {
		return d, err
	}
	instances, endpoints := base, baseEndpoints
	switch q {
	case Instances:
		instances = int(size)
	case Endpoints:
		endpoints = int(size)
	}
	d.DataCentres = nil
	for i := range dataCentres {
		d.DataCentres = append(d.DataCentres, fleet.DataCentre{
			Name:     fmt.Sprintf("dc-%d", i+1),
			Entries:  instances / dataCentres,
			Prefills: endpoints / dataCentres / 3,
			Decodes:  endpoints/dataCentres - endpoints/dataCentres/3 - 1,
			Services: 1,
		})
	}
	return d, nil
}

// measure measures a fleet of one size without callers, and its stand-ins alone.
func measure(ctx context.Context, o Options, q Quantity, size float64) (Point, error) {
	d, err := deployment(q, size, o.Instances)
	if err != nil {
		return Point{}, err
	}
	with, err := spanOf(ctx, o, q, size, d)
	if err != nil {
		return Point{}, err
	}
	alone, err := spanOf(ctx, o, q, size, withoutEntries(d))
	if err != nil {
		return Point{}, errors.Wrap(err, "stand-ins alone")
	}
	return point(size, d.Entries(), with, alone), nil
}

func withoutEntries(d fleet.Deployment) fleet.Deployment {
	list := slices.Clone(d.DataCentres)
	for i := range list {
		list[i].Entries = 0
	}
	d.DataCentres = list
	return d
}

// span is a measured time: the readings at its start and end.
type span struct{ from, to reading }

// spanOf starts a fleet and reads its counters before and after a time of idleness.
func spanOf(ctx context.Context, o Options, q Quantity, size float64, d fleet.Deployment) (span, error) {
	empty := heap()
	f, err := fleet.Start(d, fleet.Options{Seed: o.Seed, Log: logr.Discard(), ListLag: time.Second})
	if err != nil {
		return span{}, err
	}
	defer f.Close()
	if _, err := f.Bootstrap(ctx); err != nil {
		return span{}, err
	}
	rate := 0.0
	switch q {
	case Accounts:
		if err := addAccounts(ctx, f, int(size)); err != nil {
			return span{}, err
		}
	case Tickets:
		rate = size
	}
	if err := idle(ctx, f, o.Settle, rate); err != nil {
		return span{}, err
	}
	var s span
	s.from = read(f)
	if err := idle(ctx, f, o.Duration, rate); err != nil {
		return span{}, err
	}
	s.to = read(f)
	s.to.heap = heap() - empty
	return s, nil
}

// ticketObjects bounds the objects of one ticket; each account takes two.
const ticketObjects = 1000

// addAccounts adds accounts with a key each until there are n.
func addAccounts(ctx context.Context, f *fleet.Fleet, n int) error {
	var number uint64
	for i := len(f.Deployment.Accounts); i < n; {
		var b strings.Builder
		b.WriteString("[ticket]\nnote = accounts\n\n")
		for objects := 0; i < n && objects+2 <= ticketObjects; objects += 2 {
			hash, _ := config.HashKey(fmt.Sprintf("key-%d", i)).MarshalText()
			fmt.Fprintf(&b, "[account \"account-%d\"]\nrate = 100\nburst = 1000\n\n[key \"key-%d\"]\naccount = account-%d\nhash = %s\n\n", i, i, i, hash)
			i++
		}
		var err error
		if number, err = f.Submit(ctx, b.String()); err != nil {
			return err
		}
	}
	return f.WaitApplied(ctx, number)
}

// idle waits for a time, in which tickets may be submitted at a rate.
func idle(ctx context.Context, f *fleet.Fleet, d time.Duration, ticketRate float64) error {
	end := time.Now().Add(d)
	interval := d
	if ticketRate > 0 {
		interval = time.Duration(float64(time.Second) / ticketRate)
	}
	a := f.Deployment.Accounts[0]
	for n := 1; ; n++ {
		left := time.Until(end)
		if left <= 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(min(left, interval)):
		}
		if ticketRate == 0 || time.Until(end) <= 0 {
			continue
		}
		file := fmt.Sprintf("[account %q]\nrate = %g\nburst = %g\n", a.Name, a.Rate, a.Burst+float64(n%100))
		if _, err := f.Submit(ctx, file); err != nil {
			return err
		}
	}
}

// reading is the state of all counters at one moment.
type reading struct {
	at       time.Time
	cpu      time.Duration
	heap     float64
	bytesIn  uint64
	bytesOut uint64
	writes   uint64
	store    memplatform.Counts
}

func read(f *fleet.Fleet) reading {
	r := reading{at: time.Now(), cpu: processorTime(), store: f.Store.Counts()}
	for _, e := range f.Entries {
		t := e.Traffic()
		r.bytesIn += t.BytesIn
		r.bytesOut += t.BytesOut
		r.writes += t.Writes
	}
	return r
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap returns the bytes in use after a collection.
func heap() float64 {
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// point works out the costs of the instances: those of the whole fleet less those of
// the stand-ins alone.
func point(size float64, instances int, with, alone span) Point {
	n := float64(instances)
	seconds := with.to.at.Sub(with.from.at).Seconds()
	each := func(a, b uint64) float64 { return float64(b-a) / seconds / n }
	from, to := &with.from, &with.to
	return Point{
		Size: size, Instances: instances,
		CPU:         (with.cores() - alone.cores()) / n,
		Heap:        (to.heap - alone.to.heap) / n,
		BytesOut:    each(from.bytesOut, to.bytesOut),
		BytesIn:     each(from.bytesIn, to.bytesIn),
		Messages:    each(from.writes, to.writes),
		StoreReads:  float64(to.store.Reads-from.store.Reads) / seconds,
		StoreWrites: float64(to.store.Writes-from.store.Writes) / seconds,
	}
}

// cores returns the processor time by time.
func (s *span) cores() float64 {
	return (s.to.cpu - s.from.cpu).Seconds() / s.to.at.Sub(s.from.at).Seconds()
}

// Costs names the costs of a point in the order of Point.Costs.
var Costs = []string{"cpu_fraction", "heap_bytes", "bytes_out_per_second", "bytes_in_per_second", "messages_per_second", "store_reads_per_second", "store_writes_per_second"}

// Costs returns the costs of a point in the order of their names.
func (p *Point) Costs() []float64 {
	return []float64{p.CPU, p.Heap, p.BytesOut, p.BytesIn, p.Messages, p.StoreReads, p.StoreWrites}
}

func fitAll(points []Point) []Line {
	var lines []Line
	for i, cost := range Costs {
		var x, y []float64
		for k := range points {
			x = append(x, points[k].Size)
			y = append(y, points[k].Costs()[i])
		}
		l := fit(x, y)
		l.Cost = cost
		lines = append(lines, l)
	}
	return lines
}

// fit returns the least-squares line through the points.
func fit(x, y []float64) Line {
	n := float64(len(x))
	var mx, my, sxx, sxy, syy float64
	for i := range x {
		mx += x[i] / n
		my += y[i] / n
	}
	for i := range x {
		sxx += (x[i] - mx) * (x[i] - mx)
		sxy += (x[i] - mx) * (y[i] - my)
		syy += (y[i] - my) * (y[i] - my)
	}
	if sxx == 0 {
		return Line{Intercept: my}
	}
	l := Line{Slope: sxy / sxx}
	l.Intercept = my - l.Slope*mx
	if syy > 0 {
		l.R2 = sxy * sxy / (sxx * syy)
	}
	return l
}

// Known reports whether a quantity can be measured.
func Known(q Quantity) bool { return slices.Contains(Quantities, q) }
