package entry

import (
	"context"
	"time"

	"carawayrouter.example/router/internal/member"
	"carawayrouter.example/router/internal/operation/tablestore"
)

const (
	// fleetOperationWrites limits the writes of all instances together to the table of
	// operations, in commits per second.
	fleetOperationWrites = 200
	writeShareInterval   = 5 * time.Second
	minInstanceWrites    = 0.5 // commits per second
)

// updateWriteShare periodically sets the store's write limit to this instance's share of
// fleetOperationWrites. All instances in the member view have the same share, which is at
// least minInstanceWrites.
func (d *Daemon) updateWriteShare(ctx context.Context, store *tablestore.Store) error {
	for {
		n := 1 + len(d.components.members.View().Peers)
		store.SetWritesPerSecond(max(minInstanceWrites, fleetOperationWrites/float64(n)))
		select {
		case <-ctx.Done():
			return nil
		case <-d.deps.Clock.After(writeShareInterval):
		}
	}
}

// firstOfDataCentre reports whether this instance is the first one of its data centre in the
// view. That one runs the tasks that only one instance per data centre needs to run.
func firstOfDataCentre(v *member.View) bool {
	return v.InDataCentre(v.Self.DataCentre)[0].Name == v.Self.Name
}

// cutOffDetector finds the data centres without an instance in the member view.
type cutOffDetector struct {
	members     member.Source
	dataCentres []string
}

// CutOff implements operator.CutOffSource.
func (c cutOffDetector) CutOff() []string {
	var cutOff []string
	view := c.members.View()
	for _, dc := range c.dataCentres {
		if len(view.InDataCentre(dc)) == 0 {
			cutOff = append(cutOff, dc)
		}
	}
	return cutOff
}

// logFailure logs a non-nil error of a shutdown step. Shutdown goes on without a retry.
func (d *Daemon) logFailure(message string, err error) {
	if err != nil {
		d.deps.Log.Info(message, "error", err.Error())
	}
}
