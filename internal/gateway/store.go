package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Row is one row of a table of the platform's store.
type Row struct {
	Kind    RowKind
	Key     string
	Value   []byte
	Version uint64 // of the transaction that wrote it
	Deleted bool
}

// RowKind says what a row of the operator's table is; rows of other tables have none.
type RowKind int

// The rows of the operator's table.
const (
	ConfigurationRow RowKind = iota
	EvacuationRow            // its key is the data centre that the operator wants empty
)

// Position is a moment in the life of the store. The store may be restored from an older copy of
// itself: it then gives out versions once more, so those of different eras cannot be compared.
type Position struct {
	Era     uint64 // rises with every restore
	Version uint64 // of the newest transaction
}

// eraShift leaves room in Position.order for 2^44 versions of 2^20 eras.
const eraShift = 44

// order returns a number by which positions are compared: a later era is later than all versions of
// an earlier one. Instances tell each other this number.
func (p Position) order() uint64 { return p.Era<<eraShift | p.Version }

// positionOf is the inverse of Position.order.
func positionOf(order uint64) Position {
	return Position{Era: order >> eraShift, Version: order & (1<<eraShift - 1)}
}

// ErrHistoryGone means that the store no longer has the requested changes, so the whole table
// has to be read again.
var ErrHistoryGone = errors.New("store no longer has the requested changes")

// Store is what a gateway needs of the platform's store. Errors other than ErrHistoryGone mean
// that the store is unavailable.
type Store interface {
	// Rows returns all rows of a table and the position they belong to.
	Rows(ctx context.Context, table Table) ([]Row, Position, error)
	// Changes returns the changes after a version, and waits for them for at most the given
	// time.
	Changes(ctx context.Context, table Table, after uint64, wait time.Duration) ([]Row, Position, error)
	// Put writes a row, whether or not it exists.
	Put(ctx context.Context, table Table, key string, value []byte) error
	// Create writes a row unless it exists, and returns the value that the row has afterwards.
	Create(ctx context.Context, table Table, key string, value []byte) ([]byte, error)
	// Delete removes a row.
	Delete(ctx context.Context, table Table, key string) error
}

// Table identifies a table of the store.
type Table int

// The tables.
const (
	Configuration Table = iota // written by the operator: the configuration, and a row for each evacuated data centre
	Endpoints                  // written by the endpoints
	Instances                  // one row per instance
	Fleet                      // data shared by the fleet
	Streams                    // where recent streams began, some rows per instance
)

// String implements fmt.Stringer.
func (t Table) String() string {
	return [...]string{"configuration", "endpoints", "instances", "fleet", "streams"}[t]
}
