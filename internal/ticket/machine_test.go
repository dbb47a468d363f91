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

// machine drives submissions and appliers under faults, step by step, and holds
// them to the invariants of spec/ticket.pml.
type machine struct {
	clock    *clock.Fake // of the store
	store    *memplatform.Store
	accepted map[uint64]string // submission of each ticket seen so far
	drafts   []*Draft          // all that were ever submitted
	refused  map[string]bool   // submissions reported as refused
	told     map[string]uint64 // submissions reported as accepted
	appliers []*Applier        // one for each instance, by hand in place of Run
	held     map[int][][]byte  // tails that a paused instance has read
	n        int               // counts drafts
}

const machineInstances = 3

func dataCentre(i int) string { return string(rune('a' + i%2)) }

func newMachine() *machine {
	c := clock.NewFake(time.Unix(0, 0))
	m := &machine{
		clock:    c,
		store:    memplatform.New(memplatform.Options{Clock: c, Seed: 11}),
		accepted: map[uint64]string{}, refused: map[string]bool{}, told: map[string]uint64{},
		held: map[int][][]byte{},
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

// submit sends a draft and records what its author is told.
func (m *machine) submit(t *rapid.T, d *Draft) {
	m.lose(t)
	defer m.keep()
	p := m.store.For("a")
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
	defer cancel()
	s := &Submitter{Table: p.Table, FirstDelay: 50 * time.Microsecond, MaxDelay: 200 * time.Microsecond}
	tk, err := s.Submit(ctx, "ana", d)
	var lost *ConflictError
	switch {
	case err == nil:
		if before := m.told[d.Submission]; before != 0 && before != tk.Number {
			t.Fatalf("submission was ticket %d and is now %d", before, tk.Number)
		}
		m.told[d.Submission] = tk.Number
	case errors.As(err, &lost):
		m.refused[d.Submission] = true
	}
}

// Submit makes a new draft on a shared object or one of its own.
func (m *machine) Submit(t *rapid.T) {
	m.n++
	name := "shared"
	if rapid.Bool().Draw(t, "own object") {
		name = fmt.Sprintf("own-%d", m.n)
	}
	d := NewDraft("", account(name, float64(m.n)))
	if rapid.Bool().Draw(t, "with base") {
		d.Base, d.HasBase = rapid.Uint64Range(0, uint64(m.n)).Draw(t, "base"), true
	}
	m.drafts = append(m.drafts, d)
	m.submit(t, d)
}

// Resubmit starts an old draft over, as after a crash of its author or a lost answer.
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

// Fault takes the store down, cuts a data centre off, or heals all.
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

// lose draws what becomes of the transactions of one submission.
func (m *machine) lose(t *rapid.T) {
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

// keep ends the loss of transactions; delayed ones are still on their way.
func (m *machine) keep() {
	m.store.DelayCommits(0, 0)
	m.store.LoseAnswers(0)
	m.store.LoseRequests(0)
}

func (m *machine) heal() {
	m.store.Down(false)
	m.store.Cut("a", false)
	m.store.Cut("b", false)
}

// Advance lets delayed transactions take effect.
func (m *machine) Advance(t *rapid.T) {
	m.clock.Advance(time.Duration(rapid.IntRange(100, 2000).Draw(t, "ms")) * time.Millisecond)
}

// Read has an instance read the tail and pause before it applies it.
func (m *machine) Read(t *rapid.T) {
	i := rapid.IntRange(0, machineInstances-1).Draw(t, "instance")
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
	defer cancel()
	tail, err := readTail(ctx, m.store.For(dataCentre(i)).Table, m.appliers[i].Applied(), rapid.IntRange(1, 4).Draw(t, "limit"))
	if err == nil {
		m.held[i] = tail
	}
}

// Resume lets an instance apply what it has read, however old that is.
func (m *machine) Resume(t *rapid.T) {
	i := rapid.IntRange(0, machineInstances-1).Draw(t, "instance")
	m.step(t, i, Tail{Tickets: m.held[i]}, fromTable)
}

// Announce gives an instance part of what another one has applied.
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
	m.step(t, i, tail, fromAnnouncement)
}

// step applies a tail; the applied number never falls.
func (m *machine) step(t *rapid.T, i int, tail Tail, from origin) {
	a := m.appliers[i]
	before := a.Applied()
	a.apply(update{tail: tail, origin: from})
	if a.Applied() < before {
		t.Fatalf("instance %d went back from %d to %d", i, before, a.Applied())
	}
}

// Save writes a snapshot if one is due.
func (m *machine) Save(t *rapid.T) {
	i := rapid.IntRange(0, machineInstances-1).Draw(t, "instance")
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
	defer cancel()
	_ = (&saver{Applier: m.appliers[i]}).save(ctx) // faults are the point
}

// Restart replaces an instance by a new one, which loads the newest snapshot.
func (m *machine) Restart(t *rapid.T) {
	i := rapid.IntRange(0, machineInstances-1).Draw(t, "instance")
	m.appliers[i] = m.newApplier(i)
	delete(m.held, i)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
	defer cancel()
	s, err := newestSnapshot(ctx, m.store.For(dataCentre(i)).Objects, 1<<62)
	if err == nil {
		m.appliers[i].apply(update{set: s, origin: fromTable})
	}
}

// Check compares table and instances with the history. It reads past the faults.
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
			t.Fatalf("refused submission %s is ticket %d", tk.Submission, n)
		}
		m.accepted[n], seen[tk.Submission] = tk.Submission, n
	}
	if uint64(len(m.accepted)) > head {
		t.Fatalf("%d tickets were accepted, the head is %d", len(m.accepted), head)
	}
	for id, n := range m.told {
		if seen[id] != n {
			t.Fatalf("submission %s was reported as ticket %d but is %d", id, n, seen[id])
		}
	}
	for i, a := range m.appliers {
		if a.set.ticket != a.Applied() {
			t.Fatalf("instance %d holds ticket %d and has %d in force", i, a.set.ticket, a.Applied())
		}
		m.checkState(t, i, a.Current(), table)
	}
}

// inspect reads all tickets, whatever faults are on.
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

// checkState holds an instance's configuration to that of the tickets up to its
// applied number, none skipped.
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
				m.settle(t, d)
			}
		}
		m.clock.Advance(time.Hour)
		m.Check(t)
	})
}

// settle submits a draft on the healed platform: it must be accepted or refused.
func (m *machine) settle(t *rapid.T, d *Draft) {
	p := m.store.For("a")
	_, err := submitter(platform.Platform{Table: p.Table}).Submit(context.Background(), "ana", d)
	var lost *ConflictError
	if err != nil && !errors.As(err, &lost) && !strings.Contains(err.Error(), "is above the newest ticket") {
		t.Fatalf("draft is neither accepted nor refused: %v", err)
	}
	if lost != nil && m.told[d.Submission] != 0 {
		t.Fatalf("accepted submission %s is now refused", d.Submission)
	}
	if lost != nil {
		m.refused[d.Submission] = true
	}
}
