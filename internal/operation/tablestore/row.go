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

// rowPrefix is the key prefix of all operation rows.
const rowPrefix = "op/"

// released is the state of a row whose claim was released without a dispatch. The row is
// kept until the sweep: if it were deleted at once, a delayed commit of the claim could
// insert it again, and the claim would have no owner.
const released operation.State = "released"

// row is the stored form of an operation.
type row struct {
	operation.Record
	Nonce string `json:"nonce"` // unique per claim

	version uint64 // of the table row; 0 if there is none
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

// decodeRow decodes a table row. If the row does not exist, it returns a zero row.
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
