package callqueue

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkServe looks for a place for 200 calls of 16 accounts while there is none.
func BenchmarkServe(b *testing.B) {
	q := New(Limits{512, 1 << 20})
	for i := range 200 {
		c := call(fmt.Sprint(i%16), i%3)
		c.LastStart = start.Add(time.Hour)
		q.add(c)
	}
	b.ReportAllocs()
	for range b.N {
		q.Serve(start, func(*Call) bool { return false })
	}
}

// BenchmarkEnter lets a call come and leave beside 200 others.
func BenchmarkEnter(b *testing.B) {
	q := New(Limits{512, 1 << 20})
	for i := range 200 {
		q.add(call(fmt.Sprint(i%16), i%3))
	}
	c := call("a", 1)
	b.ReportAllocs()
	for range b.N {
		q.Enter(start, c)
		q.Remove(c)
	}
}
