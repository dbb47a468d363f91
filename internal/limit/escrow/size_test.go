package escrow

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/limit/bucket"
	"carawayrouter.example/router/internal/shard"
)

// TestSizes measures the sizes given in docs/design/rates.md: the encoded size of each
// message after the first on a connection, and the memory of an account at its home.
func TestSizes(t *testing.T) {
	id := bucket.LoanID{Borrower: 1 << 63, N: 1 << 20}
	part := Part{Addr: "10.100.100.100:7300", Epoch: 40, Loan: id, Amount: 8e9}
	item := ReturnItem{Account: "account-12345", Epoch: 40, Loan: id, Spent: 8e9}
	for _, m := range []any{
		&TakeArgs{Account: "account-12345", Loan: id, Need: 8e9, Wait: time.Second},
		&TakeReply{Status: Granted, Parts: []Part{part}, Life: 2 * time.Second},
		&ReturnArgs{Items: []ReturnItem{item}},
		&ReturnArgs{Items: []ReturnItem{item, item}},
		&LendArgs{Account: "account-12345", DataCentre: "dohoku-a", Loan: id, Amount: 8e9, Waited: time.Second, Demand: 8e9, Rate: 8e9},
		&LendReply{Status: Granted, Epoch: 40, Amount: 8e9, Life: time.Second, Capacity: 8e9, SpareRate: 8e9},
	} {
		var b bytes.Buffer
		e := gob.NewEncoder(&b)
		assert.NilError(t, e.Encode(m))
		first := b.Len()
		assert.NilError(t, e.Encode(m))
		t.Logf("%T: %d bytes", m, b.Len()-first)
		assert.Assert(t, b.Len()-first < 300)
	}
	const n = 20_000
	before := heapAlloc()
	now := time.Now()
	all := make([]*account, n)
	for i := range all {
		c := &config.Account{Name: fmt.Sprint("account-", i), Rate: 100, Burst: 1000}
		a := newAccount(c.Name, shard.Key{DataCentre: "dohoku-a"}, 1, c, now)
		a.open(now, newShareRow(threeDCs), 1, true, 0)
		a.bucket.Charge(now.Add(time.Second), 5)
		all[i] = a
	}
	each := (heapAlloc() - before) / n
	t.Logf("account at home: %d bytes", each)
	assert.Assert(t, each < 4096)
	runtime.KeepAlive(all)
}

func heapAlloc() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
