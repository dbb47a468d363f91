// Package shard assigns the shards of each data centre to home instances. A
// resource that needs one decision maker (a client account's tokens, orders to an
// endpoint) belongs to a shard; the shard's home decides for it.
package shard

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"carawayrouter.example/router/internal/member"
)

// Count is the number of shards in every data centre.
const Count = 64

// Key identifies one shard.
type Key struct {
	DataCentre string
	Index      int // 0 to Count-1
}

// String returns "data-centre/index", the form used in table rows.
func (k Key) String() string { return fmt.Sprintf("%s/%02d", k.DataCentre, k.Index) }

// Of returns the shard that a resource belongs to in a data centre.
func Of(dataCentre, resource string) Key {
	return Key{DataCentre: dataCentre, Index: int(xxhash.Sum64String(resource) % Count)}
}

// Assignment records the home of a shard.
type Assignment struct {
	Key   Key
	Home  member.Session
	Epoch uint64 // grows by one with every change of home; fencing token
}

// Directory looks up the homes of shards. Implementations never report the same epoch
// of a shard for two processes.
type Directory interface {
	// Home returns the last known assignment; ok is false if there is none.
	Home(k Key) (a Assignment, ok bool)
	// Held returns the epoch under which this process may act as home of the
	// shard at this moment; ok is false if it is not home, or is cut off from
	// both the store and all its peers and may no longer act.
	Held(k Key) (epoch uint64, ok bool)
}
