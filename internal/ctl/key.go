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

// idBytes is the randomness in a key's ID that the program makes up.
const idBytes = 4

func (c *command) key(ctx context.Context, cmd *KeyCmd) error {
	switch {
	case cmd.Issue != nil:
		return c.issue(ctx, cmd.Issue)
	case cmd.Withdraw != nil:
		return c.withdraw(ctx, cmd.Withdraw)
	}
	return usage(errors.New("a command is required: key issue or withdraw"))
}

type issued struct {
	Ticket  uint64 `json:"ticket"`
	ID      string `json:"id"`
	Account string `json:"account"`
	Key     string `json:"key"`
}

// issue makes a key and shows it once its ticket has been accepted.
func (c *command) issue(ctx context.Context, cmd *IssueCmd) error {
	key, hash, err := keys.Generate(c.rand)
	if err != nil {
		return err
	}
	id := cmd.ID
	if id == "" {
		var b [idBytes]byte
		if _, err := io.ReadFull(c.rand, b[:]); err != nil {
			return errors.Wrap(err, "read randomness")
		}
		id = cmd.Account + "-" + hex.EncodeToString(b[:])
	}
	d := ticket.NewDraft("issue key "+id, ticket.PutKey(&config.Key{ID: id, Account: cmd.Account, Hash: hash}))
	d.File = "key issue"
	// A key is new: base 0 refuses an ID that any ticket has used before.
	d.HasBase = true
	t, err := c.send(ctx, d)
	if err != nil {
		return c.unshown(err, id)
	}
	return c.print(issued{t.Number, id, cmd.Account, key}, func(l *lines) {
		l.add("ticket %d accepted", t.Number)
		l.add("key %s of account %s", id, cmd.Account)
		l.add("shown this once:")
		l.line(key)
	})
}

// unshown explains a key that was not shown because its ticket's fate is not known.
func (c *command) unshown(err error, id string) error {
	var u *ticket.UnknownOutcomeError
	if errors.As(err, &u) {
		return errors.Wrapf(err, "key %s is not shown and may exist; withdraw it and issue another", id)
	}
	return err
}

type withdrawn struct {
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
	t, err := c.send(ctx, d)
	if err != nil {
		return err
	}
	if err := c.print(withdrawn{t.Number, k.ID}, func(l *lines) {
		l.add("ticket %d accepted", t.Number)
		l.add("key %s withdrawn", k.ID)
	}); err != nil || !cmd.Wait {
		return err
	}
	return c.wait(ctx, t.Number, cmd.Timeout)
}

// findKey returns a key by its ID and the ticket at which it was read.
func (c *command) findKey(ctx context.Context, id string) (*config.Key, uint64, error) {
	ctx, cancel := c.bounded(ctx)
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
