package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"carawayrouter.example/router/internal/caller"
	"carawayrouter.example/router/internal/fleet"
	"carawayrouter.example/router/internal/standin/engine"
)

const demoTokens = 24

// demoCompletion sends a streamed completion and checks that the response text is the
// one that the stand-in engine generates for this prompt.
func demoCompletion(ctx context.Context, f *fleet.Fleet) error {
	account := f.Deployment.Accounts[0].Name
	entry := f.Entries[0]
	model := f.Deployment.Model.Model
	prompt := "Describe the photograph of the harbour in one sentence. " + strings.Repeat("Keep to the guidelines. ", 40)
	fmt.Printf("\n%s asks %s for a completion:\n", account, entry.Name())
	fmt.Printf("  curl -N %s/v1/completions -H 'Authorization: Bearer %s' \\\n    -d '{\"model\":%q,\"prompt\":\"Hello\",\"max_tokens\":%d,\"stream\":true}'\n", entry.URL(), f.Key(account), model, demoTokens)
	fmt.Print("  answer: ")
	c := caller.New(entry.URL(), f.Key(account))
	result, err := c.Complete(ctx, caller.Completion{Model: model, Prompt: prompt, MaxTokens: demoTokens, OnToken: func(text string) {
		fmt.Print(text)
	}})
	fmt.Println()
	if err != nil {
		return errors.Wrap(err, "completion")
	}
	var want strings.Builder
	for i := range engine.ExpectedLength(model, prompt, demoTokens) {
		want.WriteString(engine.ExpectedText(model, prompt, i))
	}
	if !result.Done || result.Text != want.String() {
		return errors.Newf("completion: got %q, want %q", result.Text, want.String())
	}
	fmt.Printf("  request %s: %d tokens, complete\n", result.RequestID, result.Tokens)
	return nil
}

// demoOperation sends a non-idempotent call twice with one idempotency key and checks
// that it runs once and the second response is a replay.
func demoOperation(ctx context.Context, f *fleet.Fleet) error {
	account := f.Deployment.Accounts[0].Name
	entry := f.Entries[len(f.Entries)-1]
	path := f.Deployment.OperationsPath + "/42"
	key := uuid.NewString()
	body := []byte(`{"subject":"42","granted":true}`)
	fmt.Printf("\n%s sends %s a record that must be written once:\n", account, entry.Name())
	fmt.Printf("  curl %s%s -H 'Authorization: Bearer %s' -H 'Idempotency-Key: %s' \\\n    -d '%s'\n", entry.URL(), path, f.Key(account), key, body)
	c := caller.New(entry.URL(), f.Key(account))
	first, err := c.Call(ctx, caller.Call{Method: "POST", Path: path, IdempotencyKey: key, Body: body})
	if err != nil {
		return errors.Wrap(err, "operation")
	}
	fmt.Printf("  answer: %s\n", strings.TrimSpace(string(first.Body)))
	again, err := c.Call(ctx, caller.Call{Method: "POST", Path: path, IdempotencyKey: key, Body: body})
	if err != nil {
		return errors.Wrap(err, "operation repeated")
	}
	if string(again.Body) != string(first.Body) || !again.Replayed {
		return errors.Newf("operation repeated: got %q, want the recorded response %q", again.Body, first.Body)
	}
	fmt.Println("  sent again: the recorded response was replayed")
	return nil
}
