package gossip

import (
	"testing"

	"gotest.tools/v3/assert"
)

func sample() *Update {
	return &Update{
		Instance: "north-1", Incarnation: 7, Sequence: 3, Up: 100, Address: "10.0.0.1:1",
		Holds:   []Hold{{Endpoint: "i-1", Reading: 5000, Runs: []Run{{Prompt: 5000, Output: 4000, Done: 72, Age: -20}}}},
		Spent:   []Spending{{Account: "paper", Tokens: 9}},
		Waiting: []Waiting{{Pool: "writers", Prompt: 1, Output: 2, Age: 3, Due: -4, Urgency: 5}},
		Ejected: []Ejection{{Endpoint: "i-2", Left: 400}},
	}
}

func TestNewsSurviveTheirDatagram(t *testing.T) {
	secret := []byte("secret")
	b, err := Encode(sample(), secret)
	assert.NilError(t, err)
	got, batch, err := Open(b, secret)
	assert.NilError(t, err)
	assert.Assert(t, batch == nil)
	assert.DeepEqual(t, got, sample())

	whole, err := EncodeBatch(&Batch{Relay: "north-2", Onward: true, Datagrams: [][]byte{b}}, secret)
	assert.NilError(t, err)
	_, batch, err = Open(whole, secret)
	assert.NilError(t, err)
	got, _, err = Open(batch.Datagrams[0], secret)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, sample())
}

func TestForgedDatagramIsRefused(t *testing.T) {
	b, err := Encode(sample(), []byte("secret"))
	assert.NilError(t, err)
	_, _, err = Open(b, []byte("another"))
	assert.ErrorIs(t, err, ErrForged)
	b[3] ^= 1
	_, _, err = Open(b, []byte("secret"))
	assert.ErrorIs(t, err, ErrForged)
	_, _, err = Open(nil, nil)
	assert.ErrorIs(t, err, ErrForged)
}

func TestNewsOfAnEarlierIncarnationAreOlder(t *testing.T) {
	old, fresh := sample(), sample()
	fresh.Incarnation, fresh.Sequence = 8, 1
	assert.Assert(t, old.Before(fresh) && !fresh.Before(old))
}

// Signed by the fleet or not, no datagram may end the process.
func FuzzOpen(f *testing.F) {
	b, err := Encode(sample(), nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b[:len(b)-macBytes])
	f.Fuzz(func(_ *testing.T, payload []byte) {
		_, _, _ = Open(append(payload, Sign(payload, nil)...), nil)
		_, _, _ = Open(payload, nil)
	})
}
