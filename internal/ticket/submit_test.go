package ticket

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/platform"
	"carawayrouter.example/router/internal/platform/memplatform"
)

func putTestAccount(name string, rate float64) Change {
	return PutAccount(&config.Account{Name: name, Rate: rate, Burst: 10 * rate, Weight: 1, StaleKeys: config.StaleServe, StaleAfter: time.Minute})
}

func testSubmitter(p platform.Platform) *Submitter {
	return &Submitter{Table: p.Table, Objects: p.Objects, FirstDelay: time.Millisecond, MaxDelay: 5 * time.Millisecond}
}

func TestSubmitNumbersTickets(t *testing.T) {
	ctx := context.Background()
	p := memplatform.New(memplatform.Options{}).For("a")
	for n := uint64(1); n <= 3; n++ {
		tk, err := testSubmitter(p).Submit(ctx, "ana", NewDraft("", putTestAccount("x", float64(n))))
		assert.NilError(t, err)
		assert.Equal(t, tk.Number, n)
	}
	tk, err := Get(ctx, p.Table, 2)
	assert.NilError(t, err)
	assert.Equal(t, tk.Changes[0].Account.Rate, 2.0)
	state, err := Load(ctx, p, 2)
	assert.NilError(t, err)
	assert.Equal(t, state.Accounts["x"].Rate, 2.0)
}

func TestSubmitRefusesOldBase(t *testing.T) {
	ctx := context.Background()
	p := memplatform.New(memplatform.Options{}).For("a")
	for range 3 {
		_, err := Submit(ctx, p.Table, "ana", NewDraft("", putTestAccount("x", 1)))
		assert.NilError(t, err)
	}
	d := NewDraft("", putTestAccount("x", 2))
	d.Base, d.HasBase = 2, true
	_, err := Submit(ctx, p.Table, "ben", d)
	var conflict *ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.Ticket, uint64(3))
	other := NewDraft("", putTestAccount("y", 2))
	other.Base, other.HasBase = 0, true
	tk, err := Submit(ctx, p.Table, "ben", other)
	assert.NilError(t, err)
	assert.Equal(t, tk.Number, uint64(4))
}

func TestSubmitValidatesAtTheHead(t *testing.T) {
	ctx := context.Background()
	p := memplatform.New(memplatform.Options{}).For("a")
	_, err := testSubmitter(p).Submit(ctx, "ana", NewDraft("", PutKey(&config.Key{ID: "k", Account: "none"})))
	assert.ErrorContains(t, err, `there is no account "none"`)
	head, err := Head(ctx, p.Table)
	assert.NilError(t, err)
	assert.Equal(t, head, uint64(0))
}

// TestOperatorsRace runs concurrent submissions for shared and separate objects while
// requests and answers are lost and commits delayed.
func TestOperatorsRace(t *testing.T) {
	ctx := context.Background()
	store := memplatform.New(memplatform.Options{Seed: 7})
	store.LoseAnswers(0.3)
	store.LoseRequests(0.1)
	store.DelayCommits(0.2, 3*time.Millisecond)
	p := store.For("a")
	const operators = 8
	var (
		mu       sync.Mutex
		accepted = map[uint64]string{}
		refused  = map[string]bool{}
		wg       sync.WaitGroup
	)
	for i := range operators {
		wg.Go(func() {
			for j := range 5 {
				d := NewDraft("", putTestAccount(fmt.Sprintf("own-%d", i), 1))
				if j == 0 {
					d = NewDraft("", putTestAccount("shared", float64(i+1)))
					d.Base, d.HasBase = 0, true
				}
				tk, err := testSubmitter(p).Submit(ctx, "op", d)
				mu.Lock()
				var conflict *ConflictError
				switch {
				case err == nil:
					assert.Check(t, accepted[tk.Number] == "", "ticket %d accepted twice", tk.Number)
					accepted[tk.Number] = d.Submission
				case errors.As(err, &conflict):
					refused[d.Submission] = true
				default:
					t.Errorf("submit: %v", err)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	store.LoseAnswers(0)
	store.LoseRequests(0)
	store.DelayCommits(0, 0)
	assert.Equal(t, len(refused), operators-1)
	head, err := Head(ctx, p.Table)
	assert.NilError(t, err)
	assert.Equal(t, head, uint64(len(accepted)))
	for n := uint64(1); n <= head; n++ {
		tk, err := Get(ctx, p.Table, n)
		assert.NilError(t, err)
		assert.Equal(t, tk.Submission, accepted[n])
	}
}

func TestSubmitWithStoreDown(t *testing.T) {
	store := memplatform.New(memplatform.Options{})
	p := store.For("a")
	store.Down(true)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	d := NewDraft("", putTestAccount("x", 1))
	_, err := testSubmitter(p).Submit(ctx, "ana", d)
	assert.Assert(t, err != nil)
	var unknownOutcome *UnknownOutcomeError
	assert.Assert(t, !errors.As(err, &unknownOutcome), "nothing was written: %v", err)
	store.Down(false)
	tk, err := testSubmitter(p).Submit(context.Background(), "ana", d)
	assert.NilError(t, err)
	assert.Equal(t, tk.Number, uint64(1))
}

// TestUnsettledSubmission loses the answer to a commit and takes the store down. The
// outcome must be reported as unknown, and submitting the same draft later must resolve
// it without creating a second ticket.
func TestUnsettledSubmission(t *testing.T) {
	ctx := context.Background()
	store := memplatform.New(memplatform.Options{})
	p := store.For("a")
	cutting := p
	cutting.Table = &downAfterCommit{Table: p.Table, store: store}
	store.LoseAnswers(1)
	d := NewDraft("", putTestAccount("x", 1))
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err := testSubmitter(cutting).Submit(short, "ana", d)
	var unknownOutcome *UnknownOutcomeError
	assert.Assert(t, errors.As(err, &unknownOutcome), "%v", err)
	assert.Equal(t, unknownOutcome.Submission, d.Submission)
	store.Down(false)
	store.LoseAnswers(0)
	_, err = testSubmitter(p).Submit(ctx, "ben", NewDraft("", putTestAccount("x", 2)))
	assert.NilError(t, err)
	tk, err := testSubmitter(p).Submit(ctx, "ana", d)
	assert.NilError(t, err)
	assert.Equal(t, tk.Number, uint64(1))
	n, err := BySubmission(ctx, p.Table, d.Submission)
	assert.NilError(t, err)
	assert.Equal(t, n, uint64(1))
	head, err := Head(ctx, p.Table)
	assert.NilError(t, err)
	assert.Equal(t, head, uint64(2))
}

// downAfterCommit is a table that takes the store down after each commit.
type downAfterCommit struct {
	platform.Table
	store *memplatform.Store
}

func (c *downAfterCommit) Commit(ctx context.Context, t platform.Txn) (uint64, error) {
	v, err := c.Table.Commit(ctx, t)
	c.store.Down(true)
	return v, err
}
