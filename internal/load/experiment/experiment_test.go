package experiment

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/fleet"
	"carawayrouter.example/router/internal/load/fault"
	"carawayrouter.example/router/internal/load/workload"
)

const testTimeout = 2 * time.Minute

// smallDeployment returns a deployment with fast engines and one data centre.
func smallDeployment(t *testing.T) fleet.Deployment {
	d, err := fleet.FindDeployment("dohoku")
	assert.NilError(t, err)
	d.DataCentres = []fleet.DataCentre{{Name: "east", Entries: 2, Prefills: 1, Decodes: 1, Services: 1}}
	d.Model.TokenInterval = 2 * time.Millisecond
	d.Model.StepCost = 50 * time.Microsecond
	return d
}

func testOptions(t *testing.T) Options {
	return Options{
		Deployment: smallDeployment(t), Load: 0.2, Duration: 2 * time.Second, Warmup: 200 * time.Millisecond, Drain: 20 * time.Second,
		Seed: 1, Policies: []string{"caraway"}, Mix: workload.DefaultMix(), Log: logr.Discard(),
	}
}

func TestExperimentWithFaults(t *testing.T) {
	ctx, stop := context.WithTimeout(context.Background(), testTimeout)
	defer stop()
	o := testOptions(t)
	var err error
	o.Faults, err = fault.Parse("f.ini", []byte("[leaves]\nat=500ms\nwhat=drain\nwhich=east-1\n[cancel]\nat=0s\nfor=1s\nwhat=callers-cancel\nwhich=0.5\n"))
	assert.NilError(t, err)
	report, err := Run(ctx, o)
	assert.NilError(t, err)
	r := report.Policies["caraway"]
	assert.Assert(t, r.Requests > 0 && r.Answered > 0)
	assert.Equal(t, r.CutRequests, 0, "%v", r.Violations)
	assert.Equal(t, len(r.Accounts), 5)
}

func TestUnknownNamesAreRejected(t *testing.T) {
	o := testOptions(t)
	o.Policies = []string{"guess"}
	_, err := Run(context.Background(), o)
	assert.ErrorContains(t, err, `policy "guess" is unknown; known: caraway, `)
	o = testOptions(t)
	o.Floods = map[string]float64{"nobody": 5}
	assert.ErrorContains(t, o.Check(), `account "nobody" is unknown`)
}
