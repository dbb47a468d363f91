package scarcity

import (
	"math"
	"slices"
	"time"
)

const (
	// demandTime is the time over which the rate of arrivals is taken: long enough for some arrivals at the fleet, and well within
	// a burst.
	demandTime = time.Second
	// SilentTime is how long the demand that an instance told last counts: by then its callers have come to others if it is gone.
	SilentTime = 2 * time.Second
	// MaxTold bounds the entries of demand that an instance tells, and that are taken from another one.
	MaxTold = 16
	// maxRates bounds the rates that an instance keeps.
	maxRates = 4 * MaxTold
	// maxSilent bounds how many times the demand that was heard is assumed if other instances are silent.
	maxSilent = 2

	// reserveTime is the arrivals' time for which room is kept for better ranks: while a place that was taken is not known to all
	// instances, and what is short of it is freed by the ends of others. It is within the usual latency targets.
	reserveTime = 500 * time.Millisecond
	// maxReserved bounds the part of a pool's memory that is kept.
	maxReserved = 0.4

	// floorPart is the part of a lower rank's requests that goes with the best rank: none is served less than a quarter as often
	// as all, with something left for those that are lost by chance.
	floorPart = 1.0 / 3
	// floorRoom bounds the room that these may take of a pool.
	floorRoom = 0.1
)

// Demand is what arrives for a pool with one rank.
type Demand struct {
	Pool     string
	Rank     int
	Requests float64 // a second
	Work     float64 // token-seconds of engine memory a second
}

// Rates are the rates of arrivals at one instance, which decay. The zero value is ready. It is not safe for concurrent use.
type Rates struct {
	demands []Demand // as of at
	at      time.Time
}

// Arrived counts a request. If too many ranks are known, the rate of another one is lost.
func (r *Rates) Arrived(now time.Time, pool string, rank int, work float64) {
	r.decay(now)
	perSecond := 1 / demandTime.Seconds()
	i := slices.IndexFunc(r.demands, func(d Demand) bool { return d.Pool == pool && d.Rank == rank })
	if i < 0 {
		if len(r.demands) >= maxRates {
			r.demands = r.demands[1:]
		}
		r.demands = append(r.demands, Demand{Pool: pool, Rank: rank})
		i = len(r.demands) - 1
	}
	r.demands[i].Requests += perSecond
	r.demands[i].Work += work * perSecond
}

func (r *Rates) decay(now time.Time) {
	if !r.at.IsZero() && now.After(r.at) {
		left := math.Exp(-now.Sub(r.at).Seconds() / demandTime.Seconds())
		for i := range r.demands {
			r.demands[i].Requests *= left
			r.demands[i].Work *= left
		}
	}
	r.at = now
	r.demands = slices.DeleteFunc(r.demands, func(d Demand) bool { return d.Requests < minTold })
}

// minTold is the lowest rate that is kept, in requests a second.
const minTold = 0.001

// Told returns the demand to tell the other instances, the best ranks first.
func (r *Rates) Told(now time.Time) []Demand {
	r.decay(now)
	told := slices.Clone(r.demands)
	slices.SortFunc(told, func(a, b Demand) int { return a.Rank - b.Rank })
	return told[:min(len(told), MaxTold)]
}

// Heard returns the demand that another instance tells, without what cannot be: an instance of another build may be wrong.
func Heard(told []Demand) []Demand {
	told = told[:min(len(told), MaxTold)]
	return slices.DeleteFunc(told, func(d Demand) bool {
		return !(d.Requests > 0 && d.Work > 0) || math.IsInf(d.Requests, 0) || math.IsInf(d.Work, 0)
	})
}

// Pressure is the demand of the whole fleet for a pool, and the room that there is. It answers bursts of one rank: how much of
// the room the others need is known before they come.
type Pressure struct {
	Ranks    Ranks
	Room     float64 // tokens of memory of the usable engines
	Usual    float64 // tokens of a generation on average over its time; 0 if none runs
	demands  []Demand
	instance int // that told their demand
}

// Add adds the demand of one instance.
func (p *Pressure) Add(pool string, told []Demand) {
	p.instance++
	for _, d := range told {
		if d.Pool != pool {
			continue
		}
		i := slices.IndexFunc(p.demands, func(known Demand) bool { return known.Rank == d.Rank })
		if i < 0 {
			p.demands = append(p.demands, Demand{Rank: d.Rank})
			i = len(p.demands) - 1
		}
		p.demands[i].Requests += d.Requests
		p.demands[i].Work += d.Work
	}
}

// AssumeSilent assumes that those of a fleet that have not told their demand have as much as the others.
func (p *Pressure) AssumeSilent(fleet int) {
	times := min(float64(fleet)/float64(max(1, p.instance)), maxSilent)
	for i := range p.demands {
		p.demands[i].Work *= max(1, times)
		p.demands[i].Requests *= max(1, times)
	}
}

// Taken returns the part of the room that requests of better ranks take as they come.
func (p *Pressure) Taken(rank int) float64 {
	work := 0.0
	for _, d := range p.demands {
		if d.Rank < rank {
			work += d.Work
		}
	}
	if work == 0 {
		return 0
	}
	return work / max(1, p.Room)
}

// Kept returns how many usual places of a pool a request of a rank leaves free for better ranks.
func (p *Pressure) Kept(rank int) int {
	if !p.Ranks.Several() || rank <= p.Ranks.Best() || p.Usual <= 0 {
		return 0
	}
	requests := 0.0
	for _, d := range p.demands {
		if d.Rank < rank {
			requests += d.Requests
		}
	}
	return int(min(requests*reserveTime.Seconds(), maxReserved*p.Room/p.Usual))
}

// Floor returns the part of a rank's requests that goes with the best one. While better ranks, with what is kept for them, leave as much
// room as the floor may take, there is none: the lower rank has that room without it.
func (p *Pressure) Floor(rank int) float64 {
	if !p.Ranks.Several() || rank <= p.Ranks.Best() || rank >= OverLimit {
		return 0
	}
	kept := float64(p.Kept(rank)) * p.Usual / max(1, p.Room)
	if p.Taken(rank)+kept < 1-floorRoom {
		return 0
	}
	part := floorPart
	for _, d := range p.demands {
		if d.Rank == rank && d.Work > 0 {
			part = min(part, floorRoom*p.Room/d.Work)
		}
	}
	return part
}

// Overload is since when requests up to a rank have needed more room than there is, by rank.
type Overload map[int]time.Time

// Update records the demand as of now.
func (o Overload) Update(now time.Time, p *Pressure) {
	for rank := range o {
		if p.Taken(rank)+p.Own(rank) < 1 {
			delete(o, rank)
		}
	}
	for _, d := range p.demands {
		if _, known := o[d.Rank]; !known && p.Taken(d.Rank)+p.Own(d.Rank) >= 1 {
			o[d.Rank] = now
		}
	}
}

// lasts reports whether the overload of a rank is expected to last for a time: as long as it has lasted.
func (o Overload) lasts(now time.Time, rank int, left time.Duration) bool {
	since, over := o[rank]
	return over && now.Sub(since) >= left
}

// Own returns the part of the room that requests of a rank need.
func (p *Pressure) Own(rank int) float64 {
	for _, d := range p.demands {
		if d.Rank == rank {
			return d.Work / max(1, p.Room)
		}
	}
	return 0
}

// Wait returns the predicted wait of a waiter from that without requests yet to come: those of better ranks go before it, and
// once it is late those of its own rank too, if their overload is expected to last while its caller stays.
func (p *Pressure) Wait(now time.Time, wait time.Duration, rank int, late bool, patience time.Duration, o Overload) (stretched time.Duration, taken float64) {
	if !p.Ranks.Several() {
		return wait, 0
	}
	taken = p.Taken(rank)
	if late && o.lasts(now, rank, patience) {
		taken += p.Own(rank)
	}
	return Stretch(wait, taken), taken
}
