package dispatch

import (
	"sync"
	"time"

	"carawayrouter.example/router/internal/member"
	"carawayrouter.example/router/internal/sched/pool"
)

const (
	absenceTimeout     = time.Minute // absence from the view that counts as death if there is no Evidence
	maxAbsentProcesses = 1024        // bound on the processes tracked as absent
)

// Evidence tells whether a process is certainly dead. The process number is the one in
// its request ids.
type Evidence interface {
	Dead(instance string, process uint64) bool
}

// deathDetector decides whether processes outside the members' view are dead. A newer
// process of the same instance in the view proves death, and so does Options.Evidence.
// Without Evidence, a long absence counts as death; a request that is then cancelled
// wrongly costs its owner another prefill.
type deathDetector struct {
	opts *Options

	mu     sync.Mutex
	absent map[pool.Holder]time.Time
}

// isDead reports whether a process that is not in the view is dead.
func (d *deathDetector) isDead(h pool.Holder) bool {
	if newer, known := d.newerProcess(h); known {
		return newer
	}
	if d.opts.Evidence != nil {
		return d.opts.Evidence.Dead(h.Instance, h.Incarnation)
	}
	return d.absentTooLong(h)
}

// newerProcess reports whether the view has a newer process of the same instance.
// known is false if the view does not have the instance.
func (d *deathDetector) newerProcess(h pool.Holder) (newer, known bool) {
	v := d.opts.Members.View()
	for _, s := range append([]member.Session{v.Self}, v.Peers...) {
		if s.Name == h.Instance {
			return s.Process > h.Incarnation, true
		}
	}
	return false, false
}

// markPresent records that a process is in the view.
func (d *deathDetector) markPresent(h pool.Holder) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.absent, h)
}

// absentTooLong reports whether absenceTimeout has passed since the process was first
// found absent.
func (d *deathDetector) absentTooLong(h pool.Holder) bool {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	since, ok := d.absent[h]
	if !ok {
		if len(d.absent) >= maxAbsentProcesses {
			clear(d.absent)
		}
		d.absent[h] = now
		return false
	}
	return now.Sub(since) >= absenceTimeout
}
