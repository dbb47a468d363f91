package shard

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/member"
	"carawayrouter.example/router/internal/platform"
)

// RowPrefix is the key prefix of shard rows.
const RowPrefix = "shard/"

// RowKey returns the key of a shard's row.
func RowKey(k Key) string { return RowPrefix + k.String() }

// row is the JSON value of a shard row. A released shard has no home and keeps its
// epoch.
type row struct {
	Home  home   `json:"home"`
	Epoch uint64 `json:"epoch"`
}

// home is the complete session recorded in a row, so that other data centres can call
// it without reading its session row.
type home struct {
	Name         string `json:"name"`
	Addr         string `json:"addr"`
	Callers      string `json:"callers,omitempty"`
	Operator     string `json:"operator,omitempty"`
	SessionEpoch uint64 `json:"session_epoch"`
}

// Record is a shard's row as last read, or as this process wrote it.
type Record struct {
	Assignment
	Version uint64 // 0 if there is no row
}

func (r Record) released() bool { return r.Home.Name == "" }

func parseRow(k Key, r platform.Row) (Record, error) {
	if r.Version == 0 {
		return Record{Assignment: Assignment{Key: k}}, nil
	}
	var v row
	if err := json.Unmarshal(r.Value, &v); err != nil {
		return Record{}, errors.Wrapf(err, "row %s", r.Key)
	}
	s := member.Session{
		Name: v.Home.Name, Addr: v.Home.Addr, Callers: v.Home.Callers, Operator: v.Home.Operator,
		DataCentre: k.DataCentre, Epoch: v.Home.SessionEpoch,
	}
	if s.Name == "" {
		s = member.Session{}
	}
	return Record{Assignment: Assignment{Key: k, Home: s, Epoch: v.Epoch}, Version: r.Version}, nil
}

func (a Assignment) write() platform.Write {
	s := a.Home
	b, err := json.Marshal(row{
		Home:  home{Name: s.Name, Addr: s.Addr, Callers: s.Callers, Operator: s.Operator, SessionEpoch: s.Epoch},
		Epoch: a.Epoch,
	})
	if err != nil {
		panic(err) // every row can be encoded
	}
	return platform.Write{Key: RowKey(a.Key), Value: b}
}

// parseKey parses a key made by RowKey.
func parseKey(s string) (Key, error) {
	i := len(s) - len("/00")
	var k Key
	if i <= len(RowPrefix) {
		return k, errors.Newf("row key %q", s)
	}
	k.DataCentre = s[len(RowPrefix):i]
	if _, err := fmt.Sscanf(s[i:], "/%02d", &k.Index); err != nil || k.Index < 0 || k.Index >= Count {
		return k, errors.Newf("row key %q", s)
	}
	return k, nil
}
