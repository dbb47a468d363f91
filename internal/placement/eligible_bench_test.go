package placement

import "testing"

// BenchmarkRecheck is what is asked once more before each request is written.
func BenchmarkRecheck(b *testing.B) {
	s := newScheduler(1, placesState())
	r := Send{Endpoint: "north-decode", Incarnation: 7, Homes: Homes{Route: []string{"north-region"}}}
	b.ReportAllocs()
	for b.Loop() {
		s.Recheck(start, r)
	}
}

// BenchmarkAcquireService is the choice of an endpoint for a call.
func BenchmarkAcquireService(b *testing.B) {
	s := newScheduler(1, placesState())
	d := Demand{Pool: servicePool}
	b.ReportAllocs()
	for b.Loop() {
		l := s.AcquireService(start, d)
		s.Release(start, l, 0)
	}
}
