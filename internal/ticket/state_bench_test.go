package ticket

import (
	"fmt"
	"testing"

	"carawayrouter.example/router/internal/config"
)

// BenchmarkApply measures the application of one ticket, depending on the number of
// configured objects.
//
//	go test ./internal/ticket -run '^$' -bench Apply -benchmem
func BenchmarkApply(b *testing.B) {
	for _, accounts := range []int{1000, 5000, 10000, 19000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) { benchApply(b, accounts) })
	}
}

func benchApply(b *testing.B, accounts int) {
	o := &config.Objects{Pools: []*config.Pool{{Name: "p", Kind: config.ModelPool, Model: "m"}}}
	for i := range accounts {
		name := fmt.Sprintf("account-%05d", i)
		o.Accounts = append(o.Accounts, putTestAccount(name, 1).Account)
		o.Keys = append(o.Keys, &config.Key{ID: name + "-1", Account: name, Hash: config.HashKey(name)})
	}
	for i := range accounts * 11 / 19 { // ratio of endpoints to accounts of the planned deployment
		o.Endpoints = append(o.Endpoints, &config.Endpoint{Name: fmt.Sprintf("e-%05d", i), Pool: "p", Addr: "10.0.0.1:1", Role: config.Decode, Slots: 20, Pieces: 400})
	}
	a := NewApplier(Options{})
	a.apply(update{set: newObjectSet(1, o)})
	for n := uint64(2); b.Loop(); n++ {
		w, err := encodeRow("", &Ticket{Number: n, Changes: []Change{putTestAccount("account-00007", float64(n))}})
		if err != nil {
			b.Fatal(err)
		}
		a.apply(update{tail: Tail{Head: n, Tickets: [][]byte{w.Value}}})
		if a.Applied() != n {
			b.Fatalf("applied %d, not %d", a.Applied(), n)
		}
	}
	b.StopTimer()
	data, err := a.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(data))/1e6, "snapshot-MB")
}
