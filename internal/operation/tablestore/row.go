package tablestore

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/url"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/operation"
	"carawayrouter.example/router/internal/platform"
)

// rowPrefix starts the keys of all operation rows.
const rowPrefix = "op/"

// released is the state of a row whose claim was given back undispatched. The row
// stays for a while: were it deleted, a commit of the claim that the table delayed
// could still insert it, and nobody would own it.
const released operation.State = "released"

// row is the stored form of an operation.
type row struct {
	operation.Record
	Nonce string `json:"nonce"` // unique to one claim

	version uint64 // of the table's row; 0 where there is none
}

// rowKey returns the table key of an operation.
func rowKey(account, key string) string {
	sum := sha256.Sum256([]byte(key))
	return rowPrefix + url.PathEscape(account) + "/" + hex.EncodeToString(sum[:])
}

func (r *row) encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "operation row")
}

// decodeRow parses a row of the table; an absent row gives a zero row.
func decodeRow(t platform.Row) (row, error) {
	var r row
	if t.Version == 0 {
		return r, nil
	}
	if err := json.Unmarshal(t.Value, &r); err != nil {
		return row{}, errors.Wrapf(err, "operation row %s", t.Key)
	}
	r.version = t.Version
	return r, nil
}
