package ticket

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/platform"
)

// Keys and key prefixes of table rows.
const (
	headKey          = "cfg/head"
	snapshotKey      = "cfg/snapshot"
	ticketPrefix     = "cfg/ticket/"
	objectPrefix     = "cfg/object/"
	submissionPrefix = "cfg/submission/"
)

const numberWidth = 12 // digits of a ticket number in keys; zero-padded so that keys sort by number

// snapshotPrefix is the name prefix of snapshot objects.
const snapshotPrefix = "snapshots/"

func ticketKey(n uint64) string { return ticketPrefix + formatNumber(n) }

func snapshotName(n uint64) string { return snapshotPrefix + formatNumber(n) }

func formatNumber(n uint64) string { return fmt.Sprintf("%0*d", numberWidth, n) }

func objectKey(r Ref) string { return objectPrefix + string(r.Kind) + "/" + r.Name }

func submissionKey(id string) string { return submissionPrefix + id }

// headRow is the value of cfg/head.
type headRow struct {
	Number uint64 `json:"number"` // newest accepted ticket
}

// objectRow is the value of cfg/object/KIND/NAME.
type objectRow struct {
	Ticket  uint64 `json:"ticket"` // newest ticket that changed the object
	Deleted bool   `json:"deleted,omitempty"`
}

// submissionRow is the value of cfg/submission/ID.
type submissionRow struct {
	Ticket uint64 `json:"ticket"`
}

// snapshotRow is the value of cfg/snapshot.
type snapshotRow struct {
	Ticket uint64 `json:"ticket"` // newest ticket whose snapshot has been claimed
	Claim  string `json:"claim"`  // unique per claim
}

// decodeRow decodes the value of a row; it leaves v unchanged if the row does not exist.
func decodeRow(r platform.Row, v any) error {
	if r.Version == 0 {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(r.Value, v), "decode row %s", r.Key)
}

func encodeRow(key string, v any) (platform.Write, error) {
	data, err := json.Marshal(v)
	return platform.Write{Key: key, Value: data}, errors.Wrapf(err, "encode row %s", key)
}

// Head returns the number of the newest accepted ticket.
func Head(ctx context.Context, table platform.Table) (uint64, error) {
	rows, err := table.Get(ctx, headKey)
	if err != nil {
		return 0, errors.Wrap(err, "read head")
	}
	var h headRow
	err = decodeRow(rows[0], &h)
	return h.Number, err
}

// Get returns an accepted ticket, or platform.ErrNotFound if it does not exist.
func Get(ctx context.Context, table platform.Table, n uint64) (*Ticket, error) {
	rows, err := table.Get(ctx, ticketKey(n))
	if err != nil {
		return nil, errors.Wrapf(err, "read ticket %d", n)
	}
	if rows[0].Version == 0 {
		return nil, errors.Wrapf(platform.ErrNotFound, "ticket %d", n)
	}
	return DecodeTicket(rows[0].Value)
}

// BySubmission returns the number of the ticket created by a submission, or 0 if it has
// not been accepted.
func BySubmission(ctx context.Context, table platform.Table, id string) (uint64, error) {
	rows, err := table.Get(ctx, submissionKey(id))
	if err != nil {
		return 0, errors.Wrapf(err, "read submission %s", id)
	}
	var s submissionRow
	err = decodeRow(rows[0], &s)
	return s.Ticket, err
}

// readTail returns the rows of at most limit tickets after number n, oldest first.
func readTail(ctx context.Context, table platform.Table, n uint64, limit int) ([][]byte, error) {
	rows, err := table.Scan(ctx, ticketPrefix, ticketKey(n), limit)
	if err != nil {
		return nil, errors.Wrapf(err, "read tickets after %d", n)
	}
	var tail [][]byte
	for _, r := range rows {
		n++
		got, err := strconv.ParseUint(r.Key[len(ticketPrefix):], 10, 64)
		if err != nil || got != n {
			return nil, errors.Newf("row %s stands where ticket %d is due", r.Key, n)
		}
		tail = append(tail, r.Value)
	}
	return tail, nil
}
