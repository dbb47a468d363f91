package member

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/platform"
)

// RowPrefix is the key prefix of session rows.
const RowPrefix = "session/"

// RowKey returns the key of the named instance's session row.
func RowKey(name string) string { return RowPrefix + name }

// Row is the JSON value of a session row.
type Row struct {
	Name       string    `json:"name"`
	Addr       string    `json:"addr"`
	Callers    string    `json:"callers"`
	Operator   string    `json:"operator"`
	DataCentre string    `json:"data_centre"`
	Epoch      uint64    `json:"epoch"` // 0 in a row whose registration is not complete
	Process    uint64    `json:"process"`
	Applied    uint64    `json:"applied"` // newest ticket in force on the instance
	Renewed    time.Time `json:"renewed"` // by the instance's own clock; informational only
	Released   bool      `json:"released,omitempty"`
}

// Session returns the row's session.
func (r Row) Session() Session {
	return Session{
		Name: r.Name, Addr: r.Addr, Callers: r.Callers, Operator: r.Operator,
		DataCentre: r.DataCentre, Epoch: r.Epoch, Process: r.Process,
	}
}

// ParseRow decodes the value of a session row.
func ParseRow(r platform.Row) (Row, error) {
	var v Row
	err := json.Unmarshal(r.Value, &v)
	return v, errors.Wrapf(err, "row %s", r.Key)
}

func (r Row) write() platform.Write {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // every Row can be encoded
	}
	return platform.Write{Key: RowKey(r.Name), Value: b}
}
