// Package platform describes the services that the hosting platform provides: a
// transactional table, an object store and a list of instances. Adapters for a
// given platform implement these interfaces; decisions never depend on one.
package platform

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
)

// Row is one row of the table. Version 0 means that the row does not exist;
// each write gives the row a version higher than any it had before.
type Row struct {
	Key     string
	Version uint64
	Value   []byte
}

// Condition requires a row to be at a version when a transaction commits.
type Condition struct {
	Key     string
	Version uint64 // 0 requires that the row does not exist
}

// Write sets or deletes one row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Txn is a set of writes that is applied as a whole if all conditions hold.
type Txn struct {
	Conditions []Condition
	Writes     []Write
}

// ErrUnavailable reports a call that had no effect because the service is down.
var ErrUnavailable = errors.New("platform service unavailable")

// ErrUnknownOutcome reports a call that may or may not have taken effect. The
// caller settles it by reading back, never by repeating the write blindly.
var ErrUnknownOutcome = errors.New("platform call with unknown outcome")

// ErrNotFound reports an object that does not exist.
var ErrNotFound = errors.New("object not found")

// ConflictError reports a transaction refused because a condition did not hold.
type ConflictError struct {
	Key  string
	Want uint64 // version required by the condition
	Have uint64 // version of the row
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %s is at version %d, not %d", e.Key, e.Have, e.Want)
}

// Table is the transactional table service. Reads are linearizable. All methods
// return ErrUnavailable, ErrUnknownOutcome (Commit only) or a context error when
// the service cannot be used.
type Table interface {
	// Get returns one Row for each key, in order; absent rows have Version 0.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns at most limit rows whose key starts with prefix and sorts
	// after the key given, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies t and returns the version given to every row written, or
	// returns a *ConflictError.
	Commit(ctx context.Context, t Txn) (uint64, error)
}

// Objects is the object store. Puts replace whole objects.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	// Get returns ErrNotFound for an absent object.
	Get(ctx context.Context, name string) ([]byte, error)
	// List returns the names that start with prefix, in order.
	List(ctx context.Context, prefix string) ([]string, error)
}

// InstanceState is the platform's view of an instance.
type InstanceState string

// The instance states.
const (
	Live    InstanceState = "live"
	Leaving InstanceState = "leaving"
)

// Instance is one entry of the platform's list. The list covers the router's own
// instances and those of endpoints, and lags behind reality.
type Instance struct {
	Name       string        `json:"name"`
	Addr       string        `json:"addr"` // IP:port
	DataCentre string        `json:"data_centre"`
	Group      string        `json:"group"` // "entry" or the pool's name
	State      InstanceState `json:"state"`
}

// Instances is the platform's lagging list.
type Instances interface {
	List(ctx context.Context) ([]Instance, error)
	// Leave asks the platform to mark the named instance as leaving.
	Leave(ctx context.Context, name string) error
}

// Platform bundles the three services.
type Platform struct {
	Table     Table
	Objects   Objects
	Instances Instances
}
