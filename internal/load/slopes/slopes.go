// Package slopes measures the control-plane overhead of an entry instance without
// client traffic at several fleet sizes, and fits a line to each cost.
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

// Quantity is the fleet parameter that a series varies.
type Quantity string

// The quantities that a series can vary.
const (
	Instances Quantity = "instances"
	Accounts  Quantity = "accounts"
	Endpoints Quantity = "endpoints"
	Tickets   Quantity = "tickets" // per second
)

// Quantities lists all quantities in the order in which they are measured.
var Quantities = []Quantity{Instances, Accounts, Endpoints, Tickets}

// sizes are the values of each quantity that are measured.
var sizes = map[Quantity][]float64{
	Instances: {4, 8, 16, 32, 64},
	Accounts:  {5, 500, 2000, 8000, 19000},
	Endpoints: {6, 24, 48, 96, 192},
	Tickets:   {0, 0.5, 1, 2, 4},
}

// Fleet parameters that a series does not vary.
const (
	baseEndpoints = 6
	dataCentres   = 2
)

// Options configure a measurement.
type Options struct {
	Quantities []Quantity
	Instances  int           // number of instances in the other series
	Duration   time.Duration // measurement time per point
	Settle     time.Duration // settling time before each point
	Seed       uint64
	Progress   io.Writer // nil disables progress output
}

// Point is the control-plane overhead at one size. CPU time and heap are those of the
// whole process minus those of the stand-ins alone, divided by the number of instances.
type Point struct {
	Size        float64 `json:"size"`
	Instances   int     `json:"instances"`
	CPU         float64 `json:"cpu_fraction"` // fraction of a core, per instance
	Heap        float64 `json:"heap_bytes"`   // per instance
	BytesOut    float64 `json:"bytes_out_per_second"`
	BytesIn     float64 `json:"bytes_in_per_second"`
	Messages    float64 `json:"messages_per_second"` // sent per instance
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

// Series holds the points and fitted lines of one quantity.
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
			p, err := measurePoint(ctx, o, q, size)
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

// deployment returns the deployment for one size of a quantity.
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

// measurePoint measures a fleet of one size without callers, and its stand-ins alone.
func measurePoint(ctx context.Context, o Options, q Quantity, size float64) (Point, error) {
	d, err := deployment(q, size, o.Instances)
	if err != nil {
		return Point{}, err
	}
	full, err := measureFleet(ctx, o, q, size, d)
	if err != nil {
		return Point{}, err
	}
	baseline, err := measureFleet(ctx, o, q, size, withoutEntries(d))
	if err != nil {
		return Point{}, errors.Wrap(err, "stand-ins alone")
	}
	return newPoint(size, d.Entries(), full, baseline), nil
}

func withoutEntries(d fleet.Deployment) fleet.Deployment {
	list := slices.Clone(d.DataCentres)
	for i := range list {
		list[i].Entries = 0
	}
	d.DataCentres = list
	return d
}

// measuredInterval holds the counters at the start and end of a measurement.
type measuredInterval struct{ from, to counters }

// measureFleet starts a fleet and reads its counters before and after an idle period.
func measureFleet(ctx context.Context, o Options, q Quantity, size float64, d fleet.Deployment) (measuredInterval, error) {
	initialHeap := heapInUse()
	f, err := fleet.Start(d, fleet.Options{Seed: o.Seed, Log: logr.Discard(), ListLag: time.Second})
	if err != nil {
		return measuredInterval{}, err
	}
	defer f.Close()
	if _, err := f.Bootstrap(ctx); err != nil {
		return measuredInterval{}, err
	}
	rate := 0.0
	switch q {
	case Accounts:
		if err := addAccounts(ctx, f, int(size)); err != nil {
			return measuredInterval{}, err
		}
	case Tickets:
		rate = size
	}
	if err := idle(ctx, f, o.Settle, rate); err != nil {
		return measuredInterval{}, err
	}
	var m measuredInterval
	m.from = readCounters(f)
	if err := idle(ctx, f, o.Duration, rate); err != nil {
		return measuredInterval{}, err
	}
	m.to = readCounters(f)
	m.to.heap = heapInUse() - initialHeap
	return m, nil
}

// ticketObjects is the maximum number of objects per ticket; each account needs two.
const ticketObjects = 1000

// addAccounts adds accounts with one key each until there are n.
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

// idle waits for d while submitting tickets at the given rate, which may be zero.
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

// counters is a snapshot of all counters.
type counters struct {
	at       time.Time
	cpu      time.Duration
	heap     float64
	bytesIn  uint64
	bytesOut uint64
	writes   uint64
	store    memplatform.Counts
}

func readCounters(f *fleet.Fleet) counters {
	r := counters{at: time.Now(), cpu: cpuTime(), store: f.Store.Counts()}
	for _, e := range f.Entries {
		t := e.Traffic()
		r.bytesIn += t.BytesIn
		r.bytesOut += t.BytesOut
		r.writes += t.Writes
	}
	return r
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapInUse returns the heap bytes in use after a garbage collection.
func heapInUse() float64 {
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// newPoint computes the costs of the instances: those of the whole fleet minus those of
// the stand-ins alone.
func newPoint(size float64, instances int, full, baseline measuredInterval) Point {
	n := float64(instances)
	seconds := full.to.at.Sub(full.from.at).Seconds()
	each := func(a, b uint64) float64 { return float64(b-a) / seconds / n }
	from, to := &full.from, &full.to
	return Point{
		Size: size, Instances: instances,
		CPU:         (full.cores() - baseline.cores()) / n,
		Heap:        (to.heap - baseline.to.heap) / n,
		BytesOut:    each(from.bytesOut, to.bytesOut),
		BytesIn:     each(from.bytesIn, to.bytesIn),
		Messages:    each(from.writes, to.writes),
		StoreReads:  float64(to.store.Reads-from.store.Reads) / seconds,
		StoreWrites: float64(to.store.Writes-from.store.Writes) / seconds,
	}
}

// cores returns the CPU time used per unit of wall-clock time.
func (s *measuredInterval) cores() float64 {
	return (s.to.cpu - s.from.cpu).Seconds() / s.to.at.Sub(s.from.at).Seconds()
}

// Costs names the costs of a point, in the order of Point.Costs.
var Costs = []string{"cpu_fraction", "heap_bytes", "bytes_out_per_second", "bytes_in_per_second", "messages_per_second", "store_reads_per_second", "store_writes_per_second"}

// Costs returns the costs of a point, in the order of Costs.
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

// IsKnown reports whether a quantity can be measured.
func IsKnown(q Quantity) bool { return slices.Contains(Quantities, q) }
