// Package platform defines the interfaces of the services that the hosting platform
// provides: a transactional table, an object store and a list of instances. Adapters for a
// specific platform implement them. The behaviour of the router does not depend on a
// specific platform.
package platform

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
)

// Row is one row of the table. Version 0 means that the row does not exist. Each write
// assigns a version higher than any that the row had before, even if it was deleted in the
// meantime.
type Row struct {
	Key     string
	Version uint64
	Value   []byte
}

// Condition requires a row to have a specific version when a transaction commits.
type Condition struct {
	Key     string
	Version uint64 // 0 means that the row must not exist
}

// Write sets or deletes one row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Txn is a transaction: its writes are applied atomically if all conditions hold.
type Txn struct {
	Conditions []Condition
	Writes     []Write
}

// ErrUnavailable means that the service is unavailable and the call had no effect.
var ErrUnavailable = errors.New("platform service unavailable")

// ErrUnknownOutcome means that the call may or may not have taken effect. The caller must
// read the data to find out, and must not simply repeat the write.
var ErrUnknownOutcome = errors.New("platform call with unknown outcome")

// ErrNotFound means that the object or instance does not exist.
var ErrNotFound = errors.New("object not found")

// ConflictError is returned for a transaction with a condition that does not hold.
type ConflictError struct {
	Key  string
	Want uint64 // version required by the condition
	Have uint64 // current version of the row
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %s is at version %d, not %d", e.Key, e.Have, e.Want)
}

// Table is the transactional table service. Reads are linearizable. If the service cannot
// be used, methods return ErrUnavailable, ErrUnknownOutcome (Commit only) or a context
// error.
type Table interface {
	// Get returns one Row per key, in the order of keys. Missing rows have Version 0.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns at most limit rows in key order, with keys that start with prefix and
	// are greater than after.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies t and returns the version of all rows written, or a *ConflictError
	// if a condition does not hold.
	Commit(ctx context.Context, t Txn) (uint64, error)
}

// Objects is the object store. Put replaces the whole object.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	// Get returns ErrNotFound if the object does not exist.
	Get(ctx context.Context, name string) ([]byte, error)
	// List returns the names that start with prefix, sorted.
	List(ctx context.Context, prefix string) ([]string, error)
}

// InstanceState is the state of an instance as recorded by the platform.
type InstanceState string

// The instance states.
const (
	Live    InstanceState = "live"
	Leaving InstanceState = "leaving"
)

// Instance is one entry of the platform's instance list. The list contains the instances of
// the router and of the endpoints.
type Instance struct {
	Name       string        `json:"name"`
	Addr       string        `json:"addr"` // IP:port
	DataCentre string        `json:"data_centre"`
	Group      string        `json:"group"` // "entry" or the name of the pool
	State      InstanceState `json:"state"`
}

// Instances is the platform's instance list. It is eventually consistent: changes become
// visible with a delay.
type Instances interface {
	List(ctx context.Context) ([]Instance, error)
	// Leave requests that the platform mark the named instance as leaving.
	Leave(ctx context.Context, name string) error
}

// Platform groups the three services.
type Platform struct {
	Table     Table
	Objects   Objects
	Instances Instances
}
