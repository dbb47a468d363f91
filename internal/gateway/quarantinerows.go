package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/quarantine"
)

// liftedMark begins the value of a row whose quarantine an operator has lifted. Former builds do not
// understand such a row and pass it over.
const liftedMark = "lifted "

// QuarantineRow is a row of the store about a quarantined cause.
type QuarantineRow struct {
	Cause  string
	At     time.Time // the end of the quarantine or, if it was lifted, when it was
	Lifted bool      // by an operator; the instances delete the row
}

// parseQuarantine decodes the value of a row.
func parseQuarantine(value []byte) (at time.Time, lifted bool, err error) {
	text, lifted := strings.CutPrefix(string(value), liftedMark)
	at, err = time.Parse(time.RFC3339, text)
	return at, lifted, errors.Wrap(err, "quarantine")
}

// QuarantineRows returns the rows that can be read.
func QuarantineRows(ctx context.Context, store Store) ([]QuarantineRow, error) {
	rows, _, err := store.Rows(ctx, Fleet)
	if err != nil {
		return nil, err
	}
	var out []QuarantineRow
	for _, r := range rows {
		cause, ok := strings.CutPrefix(r.Key, quarantineKeyPrefix)
		if !ok {
			continue
		}
		if at, lifted, err := parseQuarantine(r.Value); err == nil {
			out = append(out, QuarantineRow{Cause: cause, At: at, Lifted: lifted})
		}
	}
	return out, nil
}

// LiftQuarantine marks the row of a cause, so that the instances lift its quarantine when they compare
// theirs with the store.
func LiftQuarantine(ctx context.Context, store Store, now time.Time, cause string) error {
	rows, err := QuarantineRows(ctx, store)
	if err != nil {
		return err
	}
	for _, r := range rows {
		if r.Cause != cause {
			continue
		}
		at := now
		if began := r.At.Add(-quarantine.Duration); !r.Lifted && began.After(at) {
			at = began // by the clock of the instance that found it
		}
		return store.Put(ctx, Fleet, quarantineKeyPrefix+cause, []byte(liftedMark+at.UTC().Format(time.RFC3339)))
	}
	return errors.Newf("%s is not quarantined", cause)
}
