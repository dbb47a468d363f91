package ticket

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/platform"
	"carawayrouter.example/router/internal/platform/memplatform"
)

// machine is a rapid state machine that drives submissions and appliers under faults
// and checks the invariants of spec/ticket.pml after each step.
type machine struct {
	clock       *clock.Fake // clock of the store
	store       *memplatform.Store
	accepted    map[uint64]string // submission IDs of the tickets seen so far
	drafts      []*Draft          // all submitted drafts
	refused     map[string]bool   // submissions reported as rejected
	reported    map[string]uint64 // ticket numbers of the submissions reported as accepted
	appliers    []*Applier        // one per instance; driven by the machine instead of Run
	pausedTails map[int][][]byte  // tails that an instance has read but not applied
	draftCount  int               // number of drafts created
}

const machineInstances = 3

func dataCentre(i int) string { return string(rune('a' + i%2)) }

func newMachine() *machine {
	c := clock.NewFake(time.Unix(0, 0))
	m := &machine{
		clock:    c,
		store:    memplatform.New(memplatform.Options{Clock: c, Seed: 11}),
		accepted: map[uint64]string{}, refused: map[string]bool{}, reported: map[string]uint64{},
		pausedTails: map[int][][]byte{},
	}
	for i := range machineInstances {
		m.appliers = append(m.appliers, m.newApplier(i))
	}
	return m
}

func (m *machine) newApplier(i int) *Applier {
	p := m.store.For(dataCentre(i))
	return NewApplier(Options{Table: p.Table, Objects: p.Objects, SnapshotEvery: 3})
}

// submit submits a draft and records the reported outcome.
func (m *machine) submit(t *rapid.T, d *Draft) {
	m.drawCommitFault(t)
	defer m.clearCommitFaults()
	p := m.store.For("a")
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
	defer cancel()
	s := &Submitter{Table: p.Table, FirstDelay: 50 * time.Microsecond, MaxDelay: 200 * time.Microsecond}
	tk, err := s.Submit(ctx, "ana", d)
	var conflict *ConflictError
	switch {
	case err == nil:
		if before := m.reported[d.Submission]; before != 0 && before != tk.Number {
			t.Fatalf("submission was ticket %d and is now %d", before, tk.Number)
		}
		m.reported[d.Submission] = tk.Number
	case errors.As(err, &conflict):
		m.refused[d.Submission] = true
	}
}

// Submit creates and submits a draft that changes a shared or a separate object.
func (m *machine) Submit(t *rapid.T) {
	m.draftCount++
	name := "shared"
	if rapid.Bool().Draw(t, "own object") {
		name = fmt.Sprintf("own-%d", m.draftCount)
	}
	d := NewDraft("", putTestAccount(name, float64(m.draftCount)))
	if rapid.Bool().Draw(t, "with base") {
		d.Base, d.HasBase = rapid.Uint64Range(0, uint64(m.draftCount)).Draw(t, "base"), true
	}
	m.drafts = append(m.drafts, d)
	m.submit(t, d)
}

// Resubmit submits an old draft again, as after a crash of the client or a lost answer.
func (m *machine) Resubmit(t *rapid.T) {
	if len(m.drafts) == 0 {
		t.Skip()
	}
	d := rapid.SampledFrom(m.drafts).Draw(t, "draft")
	if m.refused[d.Submission] {
		t.Skip()
	}
	m.submit(t, d)
}

// Fault takes the store down, partitions a data centre, or removes all faults.
func (m *machine) Fault(t *rapid.T) {
	switch rapid.IntRange(0, 4).Draw(t, "fault") {
	case 0:
		m.store.Down(true)
	case 1:
		m.store.Cut(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "data centre"), true)
	default:
		m.heal()
	}
}

// drawCommitFault draws a fault that affects the commits of one submission.
func (m *machine) drawCommitFault(t *rapid.T) {
	fraction := rapid.SampledFrom([]float64{0.5, 1}).Draw(t, "fraction")
	switch rapid.IntRange(0, 3).Draw(t, "loss") {
	case 0:
		m.store.LoseAnswers(fraction)
	case 1:
		m.store.LoseRequests(fraction)
	case 2:
		m.store.DelayCommits(fraction, time.Second)
	}
}

// clearCommitFaults disables the commit faults; commits already delayed stay pending.
func (m *machine) clearCommitFaults() {
	m.store.DelayCommits(0, 0)
	m.store.LoseAnswers(0)
	m.store.LoseRequests(0)
}

func (m *machine) heal() {
	m.store.Down(false)
	m.store.Cut("a", false)
	m.store.Cut("b", false)
}

// Advance advances the clock, so that delayed commits can take effect.
func (m *machine) Advance(t *rapid.T) {
	m.clock.Advance(time.Duration(rapid.IntRange(100, 2000).Draw(t, "ms")) * time.Millisecond)
}

// Read lets an instance read a tail without applying it yet.
func (m *machine) Read(t *rapid.T) {
	i := rapid.IntRange(0, machineInstances-1).Draw(t, "instance")
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
	defer cancel()
	tail, err := readTail(ctx, m.store.For(dataCentre(i)).Table, m.appliers[i].Applied(), rapid.IntRange(1, 4).Draw(t, "limit"))
	if err == nil {
		m.pausedTails[i] = tail
	}
}

// Resume applies the tail that an instance read earlier; it may be stale.
func (m *machine) Resume(t *rapid.T) {
	i := rapid.IntRange(0, machineInstances-1).Draw(t, "instance")
	m.apply(t, i, Tail{Tickets: m.pausedTails[i]}, fromTable)
}

// Announce sends tickets or a snapshot from one instance to another.
func (m *machine) Announce(t *rapid.T) {
	i := rapid.IntRange(0, machineInstances-1).Draw(t, "to")
	from := m.appliers[rapid.IntRange(0, machineInstances-1).Draw(t, "from")]
	tail, need := from.Tail(rapid.Uint64Range(0, from.Applied()).Draw(t, "after"))
	if need || rapid.Bool().Draw(t, "whole state") {
		data, err := from.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		tail.Snapshot = data
	}
	m.apply(t, i, tail, fromAnnouncement)
}

// apply applies a tail and checks that the applied number does not decrease.
func (m *machine) apply(t *rapid.T, i int, tail Tail, from origin) {
	a := m.appliers[i]
	before := a.Applied()
	a.apply(update{tail: tail, origin: from})
	if a.Applied() < before {
		t.Fatalf("applied number of instance %d decreased from %d to %d", i, before, a.Applied())
	}
}

// Save writes a snapshot if one is due.
func (m *machine) Save(t *rapid.T) {
	i := rapid.IntRange(0, machineInstances-1).Draw(t, "instance")
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
	defer cancel()
	_ = (&snapshotWriter{Applier: m.appliers[i]}).save(ctx) // may fail because of injected faults
}

// Restart replaces an instance by a new one that loads the newest snapshot.
func (m *machine) Restart(t *rapid.T) {
	i := rapid.IntRange(0, machineInstances-1).Draw(t, "instance")
	m.appliers[i] = m.newApplier(i)
	delete(m.pausedTails, i)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
	defer cancel()
	s, err := newestSnapshot(ctx, m.store.For(dataCentre(i)).Objects, 1<<62)
	if err == nil {
		m.appliers[i].apply(update{set: s, origin: fromTable})
	}
}

// Check compares the table and the instances with the recorded history. Its reads bypass
// the injected faults.
func (m *machine) Check(t *rapid.T) {
	table, head := m.inspect(t)
	seen := map[string]uint64{}
	for n := uint64(1); n <= head; n++ {
		tk := table[n]
		if before, ok := m.accepted[n]; ok && before != tk.Submission {
			t.Fatalf("ticket %d was %s and is now %s", n, before, tk.Submission)
		}
		if first := seen[tk.Submission]; first != 0 {
			t.Fatalf("submission %s is ticket %d and ticket %d", tk.Submission, first, n)
		}
		if m.refused[tk.Submission] {
			t.Fatalf("rejected submission %s is ticket %d", tk.Submission, n)
		}
		m.accepted[n], seen[tk.Submission] = tk.Submission, n
	}
	if uint64(len(m.accepted)) > head {
		t.Fatalf("%d tickets were accepted, the head is %d", len(m.accepted), head)
	}
	for id, n := range m.reported {
		if seen[id] != n {
			t.Fatalf("submission %s was reported as ticket %d but is %d", id, n, seen[id])
		}
	}
	for i, a := range m.appliers {
		if a.set.ticket != a.Applied() {
			t.Fatalf("object set of instance %d is at ticket %d, active configuration at %d", i, a.set.ticket, a.Applied())
		}
		m.checkState(t, i, a.Current(), table)
	}
}

// inspect reads all tickets and the head, bypassing the injected faults.
func (m *machine) inspect(t *rapid.T) (map[uint64]*Ticket, uint64) {
	var (
		h   headRow
		err error
	)
	tickets := map[uint64]*Ticket{}
	for _, r := range m.store.Peek("cfg/") {
		switch {
		case r.Key == headKey:
			err = decodeRow(r, &h)
		case len(r.Key) > len(ticketPrefix) && r.Key[:len(ticketPrefix)] == ticketPrefix:
			var tk *Ticket
			if tk, err = DecodeTicket(r.Value); err == nil {
				tickets[tk.Number] = tk
			}
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	if uint64(len(tickets)) != h.Number {
		t.Fatalf("%d tickets, head %d", len(tickets), h.Number)
	}
	return tickets, h.Number
}

// checkState checks that an instance's configuration equals the result of applying all
// tickets up to its applied number.
func (m *machine) checkState(t *rapid.T, i int, s *config.State, tickets map[uint64]*Ticket) {
	want := map[string]float64{}
	for n := uint64(1); n <= s.Ticket; n++ {
		a := tickets[n].Changes[0].Account
		want[a.Name] = a.Rate
	}
	if len(want) != len(s.Accounts) {
		t.Fatalf("instance %d has %d accounts at ticket %d, want %d", i, len(s.Accounts), s.Ticket, len(want))
	}
	for name, rate := range want {
		if s.Accounts[name] == nil || s.Accounts[name].Rate != rate {
			t.Fatalf("instance %d: account %s at ticket %d is not at rate %v", i, name, s.Ticket, rate)
		}
	}
}

func TestSubmitAndApplyMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"submit":   m.Submit,
			"resubmit": m.Resubmit,
			"fault":    m.Fault,
			"advance":  m.Advance,
			"read":     m.Read,
			"resume":   m.Resume,
			"announce": m.Announce,
			"save":     m.Save,
			"restart":  m.Restart,
			"":         m.Check,
		})
		m.heal()
		for _, d := range m.drafts {
			if !m.refused[d.Submission] {
				m.submitHealed(t, d)
			}
		}
		m.clock.Advance(time.Hour)
		m.Check(t)
	})
}

// submitHealed resubmits a draft without faults; it must be accepted or rejected.
func (m *machine) submitHealed(t *rapid.T, d *Draft) {
	p := m.store.For("a")
	_, err := testSubmitter(platform.Platform{Table: p.Table}).Submit(context.Background(), "ana", d)
	var conflict *ConflictError
	if err != nil && !errors.As(err, &conflict) && !strings.Contains(err.Error(), "is above the newest ticket") {
		t.Fatalf("draft was neither accepted nor rejected: %v", err)
	}
	if conflict != nil && m.reported[d.Submission] != 0 {
		t.Fatalf("accepted submission %s was rejected later", d.Submission)
	}
	if conflict != nil {
		m.refused[d.Submission] = true
	}
}
