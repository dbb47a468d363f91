package escrow

import (
	"encoding/json"
	"math"
	"slices"

	"carawayrouter.example/router/internal/limit/bucket"
	"carawayrouter.example/router/internal/platform"
)

// totalShare is the sum of an account's shares, in parts per million.
const totalShare = 1_000_000

// shareRowPrefix is the key prefix of the rows that hold shares.
const shareRowPrefix = "rate/"

// shareRow is the value of an account's row. The shares never add up to more than
// totalShare.
type shareRow struct {
	Shares     map[string]int64 `json:"shares"` // data centre to parts per million
	Opened     []string         `json:"opened"` // data centres that have had a home
	Generation uint64           `json:"generation"`
}

// newShareRow returns a row with equal shares.
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

// decodeShareRow decodes a row; ok is false if the row does not exist.
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

// encode returns the JSON encoding of the row.
func (r *shareRow) encode() []byte {
	data, _ := json.Marshal(r) // strings, integers and maps of them always marshal
	return data
}

// nextGeneration returns a deep copy with the generation incremented.
func (r *shareRow) nextGeneration() *shareRow {
	n := &shareRow{Shares: map[string]int64{}, Opened: slices.Clone(r.Opened), Generation: r.Generation + 1}
	for dc, ppm := range r.Shares {
		n.Shares[dc] = ppm
	}
	return n
}

// markOpened records that a data centre has had a home and reports whether that was
// not recorded before.
func (r *shareRow) markOpened(dc string) bool {
	if slices.Contains(r.Opened, dc) {
		return false
	}
	r.Opened = append(r.Opened, dc)
	slices.Sort(r.Opened)
	return true
}

// toMicroTokens converts configured tokens to micro-tokens, rounded down.
func toMicroTokens(tokens float64) int64 {
	const maxMicro = math.MaxInt64 / 2
	m := tokens * bucket.MicroPerToken
	if !(m > 0) {
		return 0
	}
	if m > maxMicro {
		return maxMicro
	}
	return int64(m)
}

// scaleByPPM returns ppm parts per million of an amount, rounded down. It is exact
// for a whole number of tokens, so the shares of an amount add up to the amount.
func scaleByPPM(amount, ppm int64) int64 {
	return amount/totalShare*ppm + amount%totalShare*ppm/totalShare
}
