package ctl

import (
	"context"
	"encoding/hex"
	"io"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/keys"
	"carawayrouter.example/router/internal/ticket"
)

// keyIDBytes is the number of random bytes in a generated key ID.
const keyIDBytes = 4

func (c *command) key(ctx context.Context, cmd *KeyCmd) error {
	switch {
	case cmd.Issue != nil:
		return c.issue(ctx, cmd.Issue)
	case cmd.Withdraw != nil:
		return c.withdraw(ctx, cmd.Withdraw)
	}
	return newUsageError(errors.New("a command is required: key issue or withdraw"))
}

type issueResult struct {
	Ticket  uint64 `json:"ticket"`
	ID      string `json:"id"`
	Account string `json:"account"`
	Key     string `json:"key"`
}

// issue generates a key and prints it once its ticket has been accepted.
func (c *command) issue(ctx context.Context, cmd *IssueCmd) error {
	key, hash, err := keys.Generate(c.rand)
	if err != nil {
		return err
	}
	id := cmd.ID
	if id == "" {
		var b [keyIDBytes]byte
		if _, err := io.ReadFull(c.rand, b[:]); err != nil {
			return errors.Wrap(err, "read random bytes")
		}
		id = cmd.Account + "-" + hex.EncodeToString(b[:])
	}
	d := ticket.NewDraft("issue key "+id, ticket.PutKey(&config.Key{ID: id, Account: cmd.Account, Hash: hash}))
	d.File = "key issue"
	// Base 0 makes the submission fail if any earlier ticket has used the key's ID.
	d.HasBase = true
	t, err := c.submitDraft(ctx, d)
	if err != nil {
		return c.explainHiddenKey(err, id)
	}
	return c.print(issueResult{t.Number, id, cmd.Account, key}, func(l *lineWriter) {
		l.addf("ticket %d accepted", t.Number)
		l.addf("key %s of account %s", id, cmd.Account)
		l.addf("shown this once:")
		l.writeLine(key)
	})
}

// explainHiddenKey adds advice to the error if the outcome of the key's ticket is
// unknown: the key was not printed but may exist.
func (c *command) explainHiddenKey(err error, id string) error {
	var u *ticket.UnknownOutcomeError
	if errors.As(err, &u) {
		return errors.Wrapf(err, "key %s is not shown and may exist; withdraw it and issue another", id)
	}
	return err
}

type withdrawResult struct {
	Ticket uint64 `json:"ticket"`
	ID     string `json:"id"`
}

func (c *command) withdraw(ctx context.Context, cmd *WithdrawCmd) error {
	key, head, err := c.findKey(ctx, cmd.ID)
	if err != nil {
		return err
	}
	k := *key
	k.Withdrawn = true
	d := ticket.NewDraft("withdraw key "+k.ID, ticket.PutKey(&k))
	d.File = "key withdraw"
	d.Base, d.HasBase = head, true
	t, err := c.submitDraft(ctx, d)
	if err != nil {
		return err
	}
	if err := c.print(withdrawResult{t.Number, k.ID}, func(l *lineWriter) {
		l.addf("ticket %d accepted", t.Number)
		l.addf("key %s withdrawn", k.ID)
	}); err != nil || !cmd.Wait {
		return err
	}
	return c.wait(ctx, t.Number, cmd.Timeout)
}

// findKey returns the key with the given ID and the ticket number of the configuration
// that it was read from.
func (c *command) findKey(ctx context.Context, id string) (*config.Key, uint64, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	head, err := ticket.Head(ctx, c.platform.Table)
	if err != nil {
		return nil, 0, err
	}
	state, err := ticket.Load(ctx, c.platform, head)
	if err != nil {
		return nil, 0, err
	}
	for _, k := range state.Keys {
		if k.ID == id {
			return k, head, nil
		}
	}
	return nil, 0, errors.Newf("there is no key %q at ticket %d", id, head)
}
