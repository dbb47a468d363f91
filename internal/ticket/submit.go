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

// ConflictError rejects a draft because another ticket changed one of its objects after
// the draft's base. Nothing was written.
type ConflictError struct {
	Object Ref
	Ticket uint64 // ticket that changed the object
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("not accepted: ticket %d changed %s first", e.Ticket, e.Object)
}

// UnknownOutcomeError reports a submission whose outcome could not be determined. To
// resolve it, call Submit again with the same draft, or BySubmission.
type UnknownOutcomeError struct {
	Submission string
	cause      error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of submission %s is unknown: %v", e.Submission, e.cause)
}

// Unwrap returns the last error.
func (e *UnknownOutcomeError) Unwrap() error { return e.cause }

// Submitter submits drafts to the table.
type Submitter struct {
	Table platform.Table
	// Objects holds the snapshots. If set, every attempt validates the draft against
	// the configuration at the current head.
	Objects platform.Objects
	Clock   clock.Clock // the system clock if nil
	// FirstDelay is the initial delay between attempts; it grows exponentially up to
	// MaxDelay, with full jitter. Zero values take the defaults.
	FirstDelay, MaxDelay time.Duration
}

const (
	defaultFirstDelay = 50 * time.Millisecond
	defaultMaxDelay   = 2 * time.Second
	maxElapsed        = 2 * time.Minute // of all attempts, if ctx has no earlier deadline
)

// Submit is Submitter.Submit without validation; the caller must have run Validate.
func Submit(ctx context.Context, table platform.Table, author string, d *Draft) (*Ticket, error) {
	return (&Submitter{Table: table}).Submit(ctx, author, d)
}

// Submit makes the draft the next ticket. It returns a *ConflictError or a
// *settings.FileError for a rejected draft, an *UnknownOutcomeError if the outcome could
// not be determined, and any other error if nothing was written.
//
// Submit is idempotent: repeating it with the same draft never creates a second ticket.
func (s *Submitter) Submit(ctx context.Context, author string, d *Draft) (*Ticket, error) {
	if len(d.Changes) == 0 {
		return nil, errors.New("not accepted: the draft contains no changes")
	}
	sub := &submission{Submitter: s, author: author, draft: d}
	if s.Clock == nil {
		sub.Submitter = &Submitter{Table: s.Table, Objects: s.Objects, Clock: clock.Real{}, FirstDelay: s.FirstDelay, MaxDelay: s.MaxDelay}
	}
	t, err := backoff.Retry(ctx, func() (*Ticket, error) { return sub.attempt(ctx) },
		backoff.WithBackOff(sub.backOff()), backoff.WithMaxElapsedTime(maxElapsed))
	if err == nil {
		return t, nil
	}
	if d.outcomeUnknown {
		return nil, &UnknownOutcomeError{Submission: d.Submission, cause: err}
	}
	return nil, err
}

// submission is the state of one Submit call.
type submission struct {
	*Submitter
	author string
	draft  *Draft

	baseVersions []uint64 // row versions of the changed objects at the first attempt
	loader       *loader
}

func (s *submission) backOff() backoff.BackOff {
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

// attempt reads the rows that the draft depends on and commits one transaction. Errors
// that are not backoff.Permanent cause another attempt, which reads all rows again.
//
// Invariant: the commit of ticket n takes effect only while the head is n-1. Once a head
// of n or more has been read, a subsequent read of the submission row therefore yields
// the final outcome of every earlier attempt.
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
		return nil, s.rejection(ctx, h.Number, err)
	}
	if err := s.validate(ctx, h.Number); err != nil {
		return nil, s.rejection(ctx, h.Number, err)
	}
	return s.commit(ctx, head[0].Version, h.Number+1)
}

// keys returns the keys of the submission row and of the changed objects' rows.
func (s *submission) keys() []string {
	keys := []string{submissionKey(s.draft.Submission)}
	for _, c := range s.draft.Changes {
		keys = append(keys, objectKey(c.Ref))
	}
	return keys
}

// accepted returns the ticket that an earlier attempt created.
func (s *submission) accepted(ctx context.Context, row platform.Row) (*Ticket, error) {
	s.draft.outcomeUnknown = true // until the ticket itself has been read
	var r submissionRow
	if err := decodeRow(row, &r); err != nil {
		return nil, backoff.Permanent(err)
	}
	t, err := Get(ctx, s.Table, r.Ticket)
	if err != nil {
		return nil, err
	}
	s.draft.outcomeUnknown = false
	return t, nil
}

// checkObjects returns a *ConflictError if the row of a changed object is newer than the
// draft's base or has changed since the first attempt. The first call records the row
// versions as baseVersions.
func (s *submission) checkObjects(head uint64, rows []platform.Row) error {
	if s.draft.HasBase && s.draft.Base > head {
		return errors.Newf("not accepted: base %d is above the newest ticket, %d", s.draft.Base, head)
	}
	first := s.baseVersions == nil
	for i, r := range rows {
		var o objectRow
		if err := decodeRow(r, &o); err != nil {
			return err
		}
		stale := first && s.draft.HasBase && o.Ticket > s.draft.Base
		if stale || !first && r.Version != s.baseVersions[i] {
			return &ConflictError{Object: s.draft.Changes[i].Ref, Ticket: o.Ticket}
		}
	}
	if first {
		for _, r := range rows {
			s.baseVersions = append(s.baseVersions, r.Version)
		}
	}
	return nil
}

// validate validates the draft against the configuration at the head.
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
	return Validate(s.loader.set.build(), s.draft)
}

// readError is a failed read; it does not mean that the draft is invalid.
type readError struct{ error }

// Unwrap returns the underlying error.
func (e *readError) Unwrap() error { return e.error }

// rejection converts the reason for rejecting the draft into the error of the attempt.
// It reads the submission row again, because an earlier attempt of the same submission
// may have taken effect and caused the conflict.
func (s *submission) rejection(ctx context.Context, head uint64, reason error) error {
	var read *readError
	if errors.As(reason, &read) {
		return reason
	}
	n, err := BySubmission(ctx, s.Table, s.draft.Submission)
	if err != nil {
		return err
	}
	if n != 0 {
		return errors.Newf("submission was accepted as ticket %d after head %d was read", n, head)
	}
	s.draft.outcomeUnknown = false
	return backoff.Permanent(reason)
}

// commit tries to commit the draft as ticket n.
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
		s.draft.outcomeUnknown = false
		return t, nil
	case errors.As(err, &conflict), errors.Is(err, platform.ErrUnavailable):
		return nil, err
	}
	s.draft.outcomeUnknown = true
	return nil, err
}

// txn builds the transaction that accepts t.
func (s *submission) txn(t *Ticket, headVersion uint64) (platform.Txn, error) {
	txn := platform.Txn{Conditions: []platform.Condition{
		{Key: headKey, Version: headVersion},
		{Key: submissionKey(t.Submission)},
	}}
	add := func(key string, v any) error {
		w, err := encodeRow(key, v)
		txn.Writes = append(txn.Writes, w)
		return err
	}
	for i, c := range t.Changes {
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: objectKey(c.Ref), Version: s.baseVersions[i]})
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
