package escrow

import (
	"encoding/json"
	"math"
	"slices"

	"carawayrouter.example/router/internal/limit/bucket"
	"carawayrouter.example/router/internal/platform"
)

// whole is the sum of an account's shares, in parts per million.
const totalShare = 1_000_000

// rowPrefix starts the keys of the rows that hold shares.
const shareRowPrefix = "rate/"

// shareRow is the value of an account's row. The shares never add up to more than
// whole.
type shareRow struct {
	Shares     map[string]int64 `json:"shares"` // data centre to parts per million
	Opened     []string         `json:"opened"` // data centres that have had a home
	Generation uint64           `json:"generation"`
}

// newRow returns a row with equal shares.
func newShareRow(dataCentres []string) *shareRow {
	r := &shareRow{Shares: map[string]int64{}}
	n := int64(len(dataCentres))
	for i, dc := range dataCentres {
		r.Shares[dc] = totalShare / n
		if int64(i) < totalShare%n {
			r.Shares[dc]++
		}
	}
	return r
}

// decodeRow reads a row; ok is false where it does not exist.
func decodeShareRow(row platform.Row) (r *shareRow, ok bool, err error) {
	if row.Version == 0 {
		return nil, false, nil
	}
	r = &shareRow{}
	if err := json.Unmarshal(row.Value, r); err != nil {
		return nil, false, err
	}
	return r, true, nil
}

// encode returns the row's value.
func (r *shareRow) encode() []byte {
	data, _ := json.Marshal(r) // maps of strings and integers cannot fail
	return data
}

// next returns a deep copy of the next generation.
func (r *shareRow) nextGeneration() *shareRow {
	n := &shareRow{Shares: map[string]int64{}, Opened: slices.Clone(r.Opened), Generation: r.Generation + 1}
	for dc, ppm := range r.Shares {
		n.Shares[dc] = ppm
	}
	return n
}

// open notes that a data centre has a home; it reports whether that is news.
func (r *shareRow) markOpened(dc string) bool {
	if slices.Contains(r.Opened, dc) {
		return false
	}
	r.Opened = append(r.Opened, dc)
	slices.Sort(r.Opened)
	return true
}

// micro converts tokens of the configuration to micro-tokens, rounded down.
func toMicroTokens(tokens float64) int64 {
	const most = math.MaxInt64 / 2
	m := tokens * bucket.MicroPerToken
	if !(m > 0) {
		return 0
	}
	if m > most {
		return most
	}
	return int64(m)
}

// part returns ppm parts per million of an amount, rounded down. For a whole number
// of tokens it is exact, so that the parts add up to the amount.
func scaleByPPM(amount, ppm int64) int64 {
	return amount/totalShare*ppm + amount%totalShare*ppm/totalShare
}
