package evacuation

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/platform"
)

// rowPrefix begins the keys of the rows of evacuated data centres in the platform's table.
const rowPrefix = "evacuate/"

// Rows are the evacuated data centres in the platform's table of the product's own deployment. They have a row each, which operators
// write.
type Rows struct{ Table platform.Table }

// List returns the evacuated data centres, sorted.
func (r Rows) List(ctx context.Context) ([]string, error) {
	rows, err := r.Table.Scan(ctx, rowPrefix, "", MaxDataCentres)
	if err != nil {
		return nil, errors.Wrap(err, "read evacuations")
	}
	var out []string
	for _, row := range rows {
		if name := strings.TrimPrefix(row.Key, rowPrefix); CheckName(name) == nil {
			out = append(out, name)
		}
	}
	return out, nil
}

// Write evacuates a data centre.
func (r Rows) Write(ctx context.Context, dataCentre string) error {
	return r.commit(ctx, platform.Write{Key: rowPrefix + dataCentre, Value: []byte("{}")})
}

// Remove takes an evacuation back.
func (r Rows) Remove(ctx context.Context, dataCentre string) error {
	return r.commit(ctx, platform.Write{Key: rowPrefix + dataCentre, Delete: true})
}

func (r Rows) commit(ctx context.Context, w platform.Write) error {
	_, err := r.Table.Commit(ctx, platform.Txn{Writes: []platform.Write{w}})
	return errors.Wrap(err, "write evacuation")
}
