package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Row is one row of a table of the platform's store.
type Row struct {
	Key     string
	Value   []byte
	Version uint64 // of the transaction that wrote it
	Deleted bool
}

// ErrHistoryGone means that the store no longer has the changes asked for; the table
// has to be read anew.
var ErrHistoryGone = errors.New("the store has dropped its history")

// Store is what a gateway needs of the platform's store. Errors other than
// ErrHistoryGone mean that the store could not be used.
type Store interface {
	// Rows returns all rows of a table and the version that they are of.
	Rows(ctx context.Context, table Table) ([]Row, uint64, error)
	// Changes waits for changes after a version, at most for the given time.
	Changes(ctx context.Context, table Table, after uint64, wait time.Duration) ([]Row, uint64, error)
	// Put writes a row, whatever it held before.
	Put(ctx context.Context, table Table, key string, value []byte) error
	// Create writes a row that must not exist, and returns the value that the row has
	// afterwards: an existing one is kept.
	Create(ctx context.Context, table Table, key string, value []byte) ([]byte, error)
	// Delete removes a row.
	Delete(ctx context.Context, table Table, key string) error
}

// Table names a table by what it holds.
type Table int

// The tables.
const (
	Configuration Table = iota // the operator's, one row
	Endpoints                  // the endpoints' own entries
	Instances                  // one row an instance
	Fleet                      // what the fleet shares
)

// String implements fmt.Stringer.
func (t Table) String() string {
	return [...]string{"configuration", "endpoints", "instances", "fleet"}[t]
}
