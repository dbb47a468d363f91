package ctl

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/operator"
	"carawayrouter.example/router/internal/rollout"
	"carawayrouter.example/router/internal/ticket"
)

const (
	instanceTimeout = 5 * time.Second
	maxStatusBody   = 4 << 20 // bytes
)

// status is what the command shows: the table's view and one instance's.
type status struct {
	Accepted      uint64            `json:"accepted"`
	Progress      *rollout.Progress `json:"progress,omitempty"`
	CutOff        []string          `json:"cut_off,omitempty"` // data centres
	StoreError    string            `json:"store_error,omitempty"`
	Instance      *operator.Status  `json:"instance,omitempty"`
	InstanceError string            `json:"instance_error,omitempty"`
}

func (c *command) status(ctx context.Context) error {
	ctx, cancel := c.bounded(ctx)
	defer cancel()
	var s status
	storeErr := c.readStore(ctx, &s)
	if storeErr != nil {
		s.StoreError = storeErr.Error()
	}
	instanceErr := c.readInstance(ctx, &s)
	if instanceErr != nil {
		s.InstanceError = instanceErr.Error()
	}
	if err := c.print(s, s.text); err != nil {
		return err
	}
	return errors.CombineErrors(storeErr, instanceErr)
}

func (c *command) readStore(ctx context.Context, s *status) error {
	head, err := ticket.Head(ctx, c.platform.Table)
	if err != nil {
		return err
	}
	sessions, err := rollout.Sessions(ctx, c.platform.Table)
	if err != nil {
		return err
	}
	p := rollout.ProgressOf(head, sessions)
	s.Accepted, s.Progress = head, &p
	s.CutOff = rollout.CutOff(sessions, c.clock.Now())
	return nil
}

// readInstance asks the configured instance's operator port, if there is one.
func (c *command) readInstance(ctx context.Context, s *status) error {
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

// text writes the status for a phone.
func (s *status) text(l *lines) {
	if s.StoreError != "" {
		l.add("store cannot be read")
	} else {
		l.add("ticket %d accepted", s.Accepted)
		showProgress(l, *s.Progress)
		for _, dc := range s.CutOff {
			l.add("cut off: %s", dc)
		}
	}
	if s.InstanceError != "" {
		l.add("instance cannot be read")
	}
	if s.Instance == nil {
		return
	}
	i := s.Instance
	l.add("%s in %s:", i.Instance, i.DataCentre)
	l.add("  at ticket %d", i.Applied)
	if i.AgeSeconds < 0 {
		l.add("  never known to be current")
	} else {
		l.add("  known to be current %s ago", time.Duration(i.AgeSeconds*float64(time.Second)).Round(time.Second))
	}
	for _, dc := range i.CutOff {
		l.add("  cut off: %s", dc)
	}
	for n, r := range i.Refusals {
		if n == maxLaggards {
			l.add("  and %d more refused", len(i.Refusals)-n)
			break
		}
		l.add("  refused: %s, %d %s", r.Account, r.Count, r.Kind)
	}
}
