package gossip

import (
	"testing"

	"gotest.tools/v3/assert"
)

func sampleUpdate() *Update {
	return &Update{
		Instance: "north-1", Incarnation: 7, Sequence: 3, KnownFor: 100, StateAddr: "10.0.0.1:1",
		Loads:   []EndpointLoad{{Endpoint: "i-1", PrefillTokens: 5000, Runs: []Run{{Prompt: 5000, Output: 4000, Generated: 72, Age: -20}}}},
		Usage:   []AccountUsage{{Account: "paper", Tokens: 9}},
		Queued:  []QueuedRequest{{Pool: "writers", Prompt: 1, Output: 2, Age: 3, StartBy: -4, Priority: 5}},
		Ejected: []Ejection{{Endpoint: "i-2", Remaining: 400}},
	}
}

func TestUpdateSurvivesEncoding(t *testing.T) {
	secret := []byte("secret")
	b, err := Encode(sampleUpdate(), secret)
	assert.NilError(t, err)
	got, batch, err := Decode(b, secret)
	assert.NilError(t, err)
	assert.Assert(t, batch == nil)
	want := sampleUpdate()
	want.Form, want.SentForm = CurrentForm, CurrentForm
	assert.DeepEqual(t, got, want)

	batchDatagrams, err := EncodeBatches(&Batch{Relay: "north-2", Forward: true, Datagrams: [][]byte{b}}, secret)
	assert.NilError(t, err)
	_, batch, err = Decode(batchDatagrams[0], secret)
	assert.NilError(t, err)
	got, _, err = Decode(batch.Datagrams[0], secret)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
}

func TestBadSignatureIsRejected(t *testing.T) {
	b, err := Encode(sampleUpdate(), []byte("secret"))
	assert.NilError(t, err)
	_, _, err = Decode(b, []byte("another"))
	assert.ErrorIs(t, err, ErrBadSignature)
	b[3] ^= 1
	_, _, err = Decode(b, []byte("secret"))
	assert.ErrorIs(t, err, ErrBadSignature)
	_, _, err = Decode(nil, nil)
	assert.ErrorIs(t, err, ErrBadSignature)
}

func TestUpdateOfEarlierIncarnationIsOlder(t *testing.T) {
	old, fresh := sampleUpdate(), sampleUpdate()
	fresh.Incarnation, fresh.Sequence = 8, 1
	assert.Assert(t, old.Before(fresh) && !fresh.Before(old))
}

// No datagram may crash the process, whether or not it is signed by the fleet.
func FuzzDecode(f *testing.F) {
	b, err := Encode(sampleUpdate(), nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b[:len(b)-macBytes])
	f.Fuzz(func(_ *testing.T, payload []byte) {
		_, _, _ = Decode(append(payload, Sign(payload, nil)...), nil)
		_, _, _ = Decode(payload, nil)
	})
}
