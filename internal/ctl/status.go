package ctl

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/evacuation"
	"carawayrouter.example/router/internal/operator"
	"carawayrouter.example/router/internal/rollout"
	"carawayrouter.example/router/internal/ticket"
)

const (
	instanceTimeout = 5 * time.Second
	maxStatusBody   = 4 << 20 // bytes
)

// fleetStatus is the output of the status command: the state recorded in the platform's
// table and the status reported by the configured instance.
type fleetStatus struct {
	Accepted      uint64            `json:"accepted"`
	Progress      *rollout.Progress `json:"progress,omitempty"`
	CutOff        []string          `json:"cut_off,omitempty"`   // data centres
	Evacuated     []string          `json:"evacuated,omitempty"` // data centres
	StoreError    string            `json:"store_error,omitempty"`
	Instance      *operator.Status  `json:"instance,omitempty"`
	InstanceError string            `json:"instance_error,omitempty"`
}

func (c *command) status(ctx context.Context) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	var s fleetStatus
	storeErr := c.readStore(ctx, &s)
	if storeErr != nil {
		s.StoreError = storeErr.Error()
	}
	instanceErr := c.readInstance(ctx, &s)
	if instanceErr != nil {
		s.InstanceError = instanceErr.Error()
	}
	if err := c.print(s, s.writeText); err != nil {
		return err
	}
	return errors.CombineErrors(storeErr, instanceErr)
}

func (c *command) readStore(ctx context.Context, s *fleetStatus) error {
	head, err := ticket.Head(ctx, c.platform.Table)
	if err != nil {
		return err
	}
	sessions, err := rollout.Sessions(ctx, c.platform.Table)
	if err != nil {
		return err
	}
	p := rollout.ProgressOf(head, sessions)
	if s.Evacuated, err = (evacuation.Rows{Table: c.platform.Table}).List(ctx); err != nil {
		return err
	}
	s.Accepted, s.Progress = head, &p
	s.CutOff = rollout.CutOff(sessions, c.clock.Now())
	return nil
}

// readInstance fetches the status from the configured instance's operator port, if any.
func (c *command) readInstance(ctx context.Context, s *fleetStatus) error {
	addr := c.settings.Operator.Instance
	if addr == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, instanceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/status", nil)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	req.Header.Set("Authorization", "Bearer "+c.settings.Operator.Token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrapf(err, "instance at %s", addr)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("instance at %s answered %s", addr, resp.Status)
	}
	var got operator.Status
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxStatusBody)).Decode(&got); err != nil {
		return errors.Wrapf(err, "status of instance at %s", addr)
	}
	s.Instance = &got
	return nil
}

// writeText writes the status as text.
func (s *fleetStatus) writeText(l *lineWriter) {
	if s.StoreError != "" {
		l.addf("store cannot be read")
	} else {
		l.addf("ticket %d accepted", s.Accepted)
		writeProgress(l, *s.Progress)
		for _, dc := range s.CutOff {
			l.addf("cut off: %s", dc)
		}
		writeEvacuated(l, s.Evacuated)
	}
	if s.InstanceError != "" {
		l.addf("instance cannot be read")
	}
	if s.Instance == nil {
		return
	}
	i := s.Instance
	l.addf("%s in %s:", i.Instance, i.DataCentre)
	l.addf("  at ticket %d", i.Applied)
	if i.AgeSeconds < 0 {
		l.addf("  never known to be current")
	} else {
		l.addf("  known to be current %s ago", time.Duration(i.AgeSeconds*float64(time.Second)).Round(time.Second))
	}
	for _, dc := range i.CutOff {
		l.addf("  cut off: %s", dc)
	}
	for _, e := range i.Evacuated {
		l.addf("  in %s: %d running", e.DataCentre, e.Running)
	}
	for n, r := range i.Refusals {
		if n == maxLaggards {
			l.addf("  and %d more refused", len(i.Refusals)-n)
			break
		}
		l.addf("  refused: %s, %d %s", r.Account, r.Count, r.Kind)
	}
}
