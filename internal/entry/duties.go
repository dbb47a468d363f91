package entry

import (
	"context"
	"time"

	"carawayrouter.example/router/internal/member"
	"carawayrouter.example/router/internal/operation/tablestore"
)

const (
	// operationWrites is what all instances together may write to the table for
	// operations, in commits per second.
	operationWrites   = 200
	shareWritesEvery  = 5 * time.Second
	minWritesInstance = 0.5 // commits per second
)

// shareWrites divides the fleet's budget of writes over the instances in the view.
func (d *Daemon) shareWrites(ctx context.Context, store *tablestore.Store) error {
	for {
		n := 1 + len(d.parts.members.View().Peers)
		store.SetWritesPerSecond(max(minWritesInstance, operationWrites/float64(n)))
		select {
		case <-ctx.Done():
			return nil
		case <-d.deps.Clock.After(shareWritesEvery):
		}
	}
}

// firstOfDataCentre reports whether this instance does what one instance of each data
// centre is enough for.
func firstOfDataCentre(v *member.View) bool {
	return v.InDataCentre(v.Self.DataCentre)[0].Name == v.Self.Name
}

// cuts lists the data centres of which no instance is in the view.
type cuts struct {
	members     member.Source
	dataCentres []string
}

// CutOff implements operator.CutOffSource.
func (c cuts) CutOff() []string {
	var cut []string
	view := c.members.View()
	for _, dc := range c.dataCentres {
		if len(view.InDataCentre(dc)) == 0 {
			cut = append(cut, dc)
		}
	}
	return cut
}

// note logs what went wrong at shutdown, where nobody is left to retry.
func (d *Daemon) note(message string, err error) {
	if err != nil {
		d.deps.Log.Info(message, "error", err.Error())
	}
}
