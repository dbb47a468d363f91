// Package reqid generates and parses request identifiers. An identifier contains the instance
// and the process incarnation that issued it.
package reqid

import (
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ID identifies one request. All attempts of the request have the same ID.
type ID struct {
	Instance    string // name of the issuing instance; contains no '.'
	Incarnation uint64 // incarnation of the issuing process
	Seq         uint64 // sequence number within the incarnation, from 1
}

// String returns "instance.incarnation.seq".
func (id ID) String() string {
	return id.Instance + "." + strconv.FormatUint(id.Incarnation, 10) + "." + strconv.FormatUint(id.Seq, 10)
}

// MarshalText implements encoding.TextMarshaler.
func (id ID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (id *ID) UnmarshalText(b []byte) error {
	p, err := Parse(string(b))
	if err != nil {
		return err
	}
	*id = p
	return nil
}

// Parse parses an ID in the format of String.
func Parse(s string) (ID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 3 || parts[0] == "" {
		return ID{}, errors.Newf("request id %q: want instance.incarnation.seq", s)
	}
	incarnation, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return ID{}, errors.Wrapf(err, "request id %q: incarnation", s)
	}
	seq, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return ID{}, errors.Wrapf(err, "request id %q: sequence", s)
	}
	return ID{Instance: parts[0], Incarnation: incarnation, Seq: seq}, nil
}

// Source generates the IDs of one process incarnation. It is safe for concurrent use.
type Source struct {
	instance    string
	incarnation uint64
	last        atomic.Uint64
}

// NewSource returns a Source for the given instance and incarnation.
func NewSource(instance string, incarnation uint64) *Source {
	return &Source{instance: instance, incarnation: incarnation}
}

// Next returns a new ID.
func (s *Source) Next() ID {
	return ID{Instance: s.instance, Incarnation: s.incarnation, Seq: s.last.Add(1)}
}
