// Package fleet runs a complete deployment on loopback in one process: stand-ins for
// the platform and the endpoints, and entry instances that run the daemon's code.
package fleet

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Deployment describes a set of entry instances and endpoints.
type Deployment struct {
	Name        string
	DataCentres []DataCentre
	Model       ModelPool
	Service     ServicePool
	Accounts    []AccountSpec
	// OperationsPath is the path of the service's non-idempotent calls.
	OperationsPath string
}

// DataCentre holds the number of instances and endpoints of each kind in a data centre.
type DataCentre struct {
	Name     string
	Entries  int
	Prefills int
	Decodes  int
	Services int
}

// ModelPool describes the model engines, which differ only in their role.
type ModelPool struct {
	Name            string
	Model           string
	Slots           int
	Pieces          int
	TokenInterval   time.Duration // duration of a decode step with batch size 1
	StepCost        time.Duration // added to a decode step by each further request of the batch
	PrefillPerPiece time.Duration // prefill of one KV piece
	ResultTTL       time.Duration
	LinkRate        float64 // bytes per second
	CachePieces     int
	Class           string // class of the routes to the model
	MaxWait         time.Duration
	FirstToken      time.Duration
	Deadline        time.Duration
}

// ServicePool describes the plain services.
type ServicePool struct {
	Name  string
	Slots int
}

// AccountSpec describes a client account.
type AccountSpec struct {
	Name  string
	Rate  float64 // tokens per second over the fleet
	Burst float64 // tokens
}

// Deployments lists the built-in deployments at their current sizes.
var Deployments = []Deployment{dohoku(), sierraNorte()}

// FindDeployment returns the built-in deployment of the given name.
func FindDeployment(name string) (Deployment, error) {
	var known []string
	for _, d := range Deployments {
		if d.Name == name {
			return d, nil
		}
		known = append(known, d.Name)
	}
	return Deployment{}, errors.Newf("deployment %q is unknown; known: %v", name, known)
}

// dohoku returns a deployment with interactive latency targets; it screens and captions
// reader photographs for newspapers.
func dohoku() Deployment {
	return Deployment{
		Name: "dohoku",
		DataCentres: []DataCentre{
			{Name: "dohoku-a", Entries: 3, Prefills: 1, Decodes: 3, Services: 1},
			{Name: "dohoku-b", Entries: 3, Prefills: 1, Decodes: 3, Services: 1},
			{Name: "dohoku-c", Entries: 3, Prefills: 1, Decodes: 3, Services: 1},
		},
		Model: ModelPool{
			Name: "caption-models", Model: "caption-large", Slots: 20, Pieces: 160,
			TokenInterval: 20 * time.Millisecond, StepCost: 500 * time.Microsecond,
			PrefillPerPiece: 60 * time.Millisecond, ResultTTL: 800 * time.Millisecond,
			LinkRate: 20e9, CachePieces: 128,
			Class: "interactive", MaxWait: 5 * time.Second, FirstToken: 1900 * time.Millisecond, Deadline: 2 * time.Minute,
		},
		Service:        ServicePool{Name: "submission-app", Slots: 64},
		Accounts:       accountSpecs(60_000, "kita-shimbun", "doto-press", "okhotsk-daily", "sorachi-news", "tokachi-times"),
		OperationsPath: "/consents",
	}
}

// sierraNorte returns a deployment whose requests may wait up to an hour; it drafts
// estimates and books deposits for restorers.
func sierraNorte() Deployment {
	return Deployment{
		Name: "sierra-norte",
		DataCentres: []DataCentre{
			{Name: "quito-centro", Entries: 2, Prefills: 1, Decodes: 2, Services: 1},
			{Name: "cumbaya", Entries: 2, Prefills: 1, Decodes: 2, Services: 1},
			{Name: "tumbaco", Entries: 2, Prefills: 1, Decodes: 1, Services: 1},
			{Name: "conocoto", Entries: 2, Prefills: 0, Decodes: 1, Services: 1},
		},
		Model: ModelPool{
			Name: "quote-writer", Model: "quote-large", Slots: 20, Pieces: 160,
			TokenInterval: 20 * time.Millisecond, StepCost: 500 * time.Microsecond,
			PrefillPerPiece: 60 * time.Millisecond, ResultTTL: 800 * time.Millisecond,
			LinkRate: 20e9, CachePieces: 128,
			Class: "patient", MaxWait: time.Hour, FirstToken: time.Hour, Deadline: 90 * time.Minute,
		},
		Service:        ServicePool{Name: "workshop-desk", Slots: 64},
		Accounts:       accountSpecs(40_000, "iglesias-cuenca", "hoteles-azuay", "muebles-tomebamba", "talleres-gualaceo", "anticuarios-loja"),
		OperationsPath: "/deposits",
	}
}

// accountShares are the fractions of a deployment's token rate for each account. They
// are skewed so that a few accounts are large.
var accountShares = []float64{0.4, 0.3, 0.15, 0.1, 0.05}

// burstSeconds is the size of an account's burst in seconds of its rate.
const burstSeconds = 10

// accountSpecs divides a total rate in tokens per second among the named accounts by
// accountShares.
func accountSpecs(total float64, names ...string) []AccountSpec {
	specs := make([]AccountSpec, len(names))
	for i, name := range names {
		rate := total * accountShares[i]
		specs[i] = AccountSpec{Name: name, Rate: rate, Burst: rate * burstSeconds}
	}
	return specs
}

// Entries returns the total number of entry instances.
func (d *Deployment) Entries() int {
	n := 0
	for _, dc := range d.DataCentres {
		n += dc.Entries
	}
	return n
}

func (d *Deployment) dataCentreNames() []string {
	list := make([]string, len(d.DataCentres))
	for i, dc := range d.DataCentres {
		list[i] = dc.Name
	}
	return list
}

// numberedName returns "base-n" for the zero-based index n, counted from 1.
func numberedName(base string, n int) string { return fmt.Sprintf("%s-%d", base, n+1) }
