package ticket

import (
	"context"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/platform"
)

// ConflictError refuses a draft because another ticket changed one of its objects after
// the draft's base. Nothing was written.
type ConflictError struct {
	Object Ref
	Ticket uint64 // ticket that changed the object
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("not accepted: ticket %d changed %s first", e.Ticket, e.Object)
}

// UnknownOutcomeError reports a submission whose outcome could not be read back. Submit
// with the same draft, or BySubmission, settles it.
type UnknownOutcomeError struct {
	Submission string
	cause      error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of submission %s is not known: %v", e.Submission, e.cause)
}

// Unwrap returns the last failure.
func (e *UnknownOutcomeError) Unwrap() error { return e.cause }

// Submitter submits drafts.
type Submitter struct {
	Table platform.Table
	// Objects holds the snapshots. If set, every attempt is validated against the
	// configuration that it is going to change.
	Objects platform.Objects
	Clock   clock.Clock // the system clock if nil
	// FirstDelay is the first delay between attempts; later ones grow, up to
	// MaxDelay, with full jitter. The defaults are used where they are 0.
	FirstDelay, MaxDelay time.Duration
}

const (
	defaultFirstDelay = 50 * time.Millisecond
	defaultMaxDelay   = 2 * time.Second
	maxElapsed        = 2 * time.Minute // of all attempts, where ctx has no deadline
)

// Submit is Submitter.Submit without validation; the caller has run Validate.
func Submit(ctx context.Context, table platform.Table, author string, d *Draft) (*Ticket, error) {
	return (&Submitter{Table: table}).Submit(ctx, author, d)
}

// Submit makes the draft the next ticket. It returns a *ConflictError or a
// *settings.FileError for a draft that was refused, an *UnknownOutcomeError if the
// outcome could not be learned, and any other error if nothing was written.
//
// Repeating Submit with the same draft never makes a second ticket.
func (s *Submitter) Submit(ctx context.Context, author string, d *Draft) (*Ticket, error) {
	if len(d.Changes) == 0 {
		return nil, errors.New("not accepted: the draft changes nothing")
	}
	sub := &submission{Submitter: s, author: author, draft: d}
	if s.Clock == nil {
		sub.Submitter = &Submitter{Table: s.Table, Objects: s.Objects, Clock: clock.Real{}, FirstDelay: s.FirstDelay, MaxDelay: s.MaxDelay}
	}
	t, err := backoff.Retry(ctx, func() (*Ticket, error) { return sub.attempt(ctx) },
		backoff.WithBackOff(sub.delays()), backoff.WithMaxElapsedTime(maxElapsed))
	if err == nil {
		return t, nil
	}
	if d.unsettled {
		return nil, &UnknownOutcomeError{Submission: d.Submission, cause: err}
	}
	return nil, err
}

// submission is one draft on its way into the table.
type submission struct {
	*Submitter
	author string
	draft  *Draft

	base   []uint64 // versions of the touched objects' rows that the author built on
	loader *loader
}

func (s *submission) delays() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = defaultFirstDelay
	if s.FirstDelay > 0 {
		b.InitialInterval = s.FirstDelay
	}
	b.MaxInterval = defaultMaxDelay
	if s.MaxDelay > 0 {
		b.MaxInterval = s.MaxDelay
	}
	b.RandomizationFactor = 1
	return b
}

// attempt reads what the draft depends on and tries one transaction. Errors that
// are not backoff.Permanent lead to another attempt, which reads everything anew.
//
// Invariant: an attempt for ticket n takes effect only while the head is n-1, so
// once a head of n or more has been read, the submission row that is read after it
// tells the outcome of every earlier attempt for good.
func (s *submission) attempt(ctx context.Context) (*Ticket, error) {
	head, err := s.Table.Get(ctx, headKey)
	if err != nil {
		return nil, err
	}
	var h headRow
	if err := decodeRow(head[0], &h); err != nil {
		return nil, backoff.Permanent(err)
	}
	rows, err := s.Table.Get(ctx, s.keys()...)
	if err != nil {
		return nil, err
	}
	if rows[0].Version != 0 {
		return s.accepted(ctx, rows[0])
	}
	if err := s.checkObjects(h.Number, rows[1:]); err != nil {
		return nil, s.refuse(ctx, h.Number, err)
	}
	if err := s.validate(ctx, h.Number); err != nil {
		return nil, s.refuse(ctx, h.Number, err)
	}
	return s.commit(ctx, head[0].Version, h.Number+1)
}

// keys lists the submission's row and those of the touched objects.
func (s *submission) keys() []string {
	keys := []string{submissionKey(s.draft.Submission)}
	for _, c := range s.draft.Changes {
		keys = append(keys, objectKey(c.Ref))
	}
	return keys
}

// accepted returns the ticket that an earlier attempt made.
func (s *submission) accepted(ctx context.Context, row platform.Row) (*Ticket, error) {
	s.draft.unsettled = true // until the ticket itself has been read
	var r submissionRow
	if err := decodeRow(row, &r); err != nil {
		return nil, backoff.Permanent(err)
	}
	t, err := Get(ctx, s.Table, r.Ticket)
	if err != nil {
		return nil, err
	}
	s.draft.unsettled = false
	return t, nil
}

// checkObjects finds a touched object that changed after the draft's base.
func (s *submission) checkObjects(head uint64, rows []platform.Row) error {
	if s.draft.HasBase && s.draft.Base > head {
		return errors.Newf("not accepted: base %d is above the newest ticket, %d", s.draft.Base, head)
	}
	first := s.base == nil
	for i, r := range rows {
		var o objectRow
		if err := decodeRow(r, &o); err != nil {
			return err
		}
		late := first && s.draft.HasBase && o.Ticket > s.draft.Base
		if late || !first && r.Version != s.base[i] {
			return &ConflictError{Object: s.draft.Changes[i].Ref, Ticket: o.Ticket}
		}
	}
	if first {
		for _, r := range rows {
			s.base = append(s.base, r.Version)
		}
	}
	return nil
}

// validate checks the draft against the configuration at the head.
func (s *submission) validate(ctx context.Context, head uint64) error {
	if s.Objects == nil {
		return nil
	}
	if s.loader == nil {
		s.loader = &loader{table: s.Table, objects: s.Objects}
	}
	if err := s.loader.load(ctx, head); err != nil {
		return &readError{err}
	}
	return Validate(s.loader.set.state(), s.draft)
}

// readError is a failure to read that says nothing about the draft.
type readError struct{ error }

// Unwrap returns the failure.
func (e *readError) Unwrap() error { return e.error }

// refuse turns a reason not to accept the draft into the attempt's error. It reads
// the submission's row once more: the reason may be the submission's own effect.
func (s *submission) refuse(ctx context.Context, head uint64, reason error) error {
	var read *readError
	if errors.As(reason, &read) {
		return reason
	}
	n, err := BySubmission(ctx, s.Table, s.draft.Submission)
	if err != nil {
		return err
	}
	if n != 0 {
		return errors.Newf("submission became ticket %d while the head was %d", n, head)
	}
	s.draft.unsettled = false
	return backoff.Permanent(reason)
}

// commit tries to make the draft ticket n.
func (s *submission) commit(ctx context.Context, headVersion, n uint64) (*Ticket, error) {
	t := &Ticket{
		Number:     n,
		Submission: s.draft.Submission,
		Author:     s.author,
		Note:       s.draft.Note,
		At:         s.Clock.Now().UTC().Truncate(time.Second),
		Changes:    s.draft.Changes,
	}
	txn, err := s.txn(t, headVersion)
	if err != nil {
		return nil, backoff.Permanent(err)
	}
	_, err = s.Table.Commit(ctx, txn)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		s.draft.unsettled = false
		return t, nil
	case errors.As(err, &conflict), errors.Is(err, platform.ErrUnavailable):
		return nil, err
	}
	s.draft.unsettled = true
	return nil, err
}

// txn builds the transaction that accepts t.
func (s *submission) txn(t *Ticket, headVersion uint64) (platform.Txn, error) {
	txn := platform.Txn{Conditions: []platform.Condition{
		{Key: headKey, Version: headVersion},
		{Key: submissionKey(t.Submission)},
	}}
	add := func(key string, v any) error {
		w, err := write(key, v)
		txn.Writes = append(txn.Writes, w)
		return err
	}
	for i, c := range t.Changes {
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: objectKey(c.Ref), Version: s.base[i]})
		if err := add(objectKey(c.Ref), objectRow{Ticket: t.Number, Deleted: c.Delete}); err != nil {
			return txn, err
		}
	}
	if err := add(headKey, headRow{Number: t.Number}); err != nil {
		return txn, err
	}
	if err := add(submissionKey(t.Submission), submissionRow{Ticket: t.Number}); err != nil {
		return txn, err
	}
	return txn, add(ticketKey(t.Number), t)
}
