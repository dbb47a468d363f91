// Package member maintains this instance's session in the platform's store and its
// view of the other instances.
package member

// Session identifies one process incarnation of an instance.
type Session struct {
	Name       string // instance name from settings
	Addr       string // peer RPC address, IP:port
	Callers    string // callers' address, IP:port
	Operator   string // operator address, IP:port
	DataCentre string
	Epoch      uint64 // fencing epoch: higher for every later incarnation; 0 until registered
	Process    uint64 // start of the process in Unix nanoseconds; request ids carry it
}

// View is an immutable snapshot of the instances considered alive, this one included,
// sorted by name.
type View struct {
	Self  Session
	Peers []Session // without Self
}

// InDataCentre returns the members of a data centre, including Self if it belongs to
// it, sorted by name.
func (v *View) InDataCentre(dc string) []Session {
	var in []Session
	selfDone := v.Self.DataCentre != dc
	for _, p := range v.Peers {
		if !selfDone && v.Self.Name < p.Name {
			in = append(in, v.Self)
			selfDone = true
		}
		if p.DataCentre == dc {
			in = append(in, p)
		}
	}
	if !selfDone {
		in = append(in, v.Self)
	}
	return in
}

// Source provides the current view.
type Source interface{ View() *View }
