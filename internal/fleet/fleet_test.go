package fleet

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"carawayrouter.example/router/internal/caller"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/platform"
	"carawayrouter.example/router/internal/standin/engine"
	"carawayrouter.example/router/internal/standin/host"
)

const waitLimit = time.Minute

// smallDeployment returns a deployment with two data centres and fast engines.
func smallDeployment() Deployment {
	d := dohoku()
	d.Name = "small"
	d.DataCentres = []DataCentre{
		{Name: "east", Entries: 1, Prefills: 1, Decodes: 1, Services: 1},
		{Name: "west", Entries: 1, Prefills: 1, Decodes: 1, Services: 1},
	}
	d.Model.TokenInterval = 2 * time.Millisecond
	d.Model.StepCost = 50 * time.Microsecond
	d.Model.PrefillPerPiece = 10 * time.Millisecond
	d.Model.Deadline = 20 * time.Second
	return d
}

// startFleet starts and configures a deployment and closes it when the test ends.
func startFleet(t *testing.T, d Deployment) *Fleet {
	t.Helper()
	f, err := Start(d, Options{Seed: 7})
	assert.NilError(t, err)
	t.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	_, err = f.Bootstrap(ctx)
	assert.NilError(t, err)
	return f
}

func (f *Fleet) client(entry, account int) *caller.Client {
	return caller.New(f.Entries[entry].URL(), f.Key(f.Deployment.Accounts[account].Name))
}

func (f *Fleet) completion(prompt string, tokens int) caller.Completion {
	return caller.Completion{Model: f.Deployment.Model.Model, Prompt: prompt, MaxTokens: tokens}
}

func expectedText(model, prompt string, maxTokens int) string {
	var text strings.Builder
	for i := range engine.ExpectedLength(model, prompt, maxTokens) {
		text.WriteString(engine.ExpectedText(model, prompt, i))
	}
	return text.String()
}

// enginesIdle returns a poll check that no engine holds a request.
func enginesIdle(f *Fleet) poll.Check {
	return func(poll.LogT) poll.Result {
		for _, e := range f.Engines {
			if held := e.Server.Running(); len(held) > 0 {
				return poll.Continue("%s holds %v", e.Name, held)
			}
		}
		return poll.Success()
	}
}

func waitIdle(t *testing.T, f *Fleet) {
	t.Helper()
	poll.WaitOn(t, enginesIdle(f), poll.WithTimeout(waitLimit), poll.WithDelay(20*time.Millisecond))
}

func TestAnswersAreWholeAndOwn(t *testing.T) {
	f := startFleet(t, smallDeployment())
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	const callers = 24
	errs := make(chan error, callers)
	for i := range callers {
		go func() {
			prompt := fmt.Sprintf("caller %d asks", i)
			r, err := f.client(i%2, i%5).Complete(ctx, f.completion(prompt, 30))
			if err == nil && (r.DoneCount != 1 || r.Text != expectedText("caption-large", prompt, 30)) {
				err = errors.Newf("caller %d: got %q", i, r.Text)
			}
			errs <- err
		}()
	}
	for range callers {
		assert.NilError(t, <-errs)
	}
	waitIdle(t, f)
}

func TestKeysDecideAndNeverReachEndpoints(t *testing.T) {
	f := startFleet(t, smallDeployment())
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	url := f.Entries[0].URL()
	for _, c := range []struct {
		key  string
		want errkind.Kind
	}{{"", errkind.NoKey}, {"wrong", errkind.KeyRefused}} {
		_, err := caller.New(url, c.key).Complete(ctx, f.completion("x", 5))
		assertRefused(t, err, c.want, errkind.NotRun)
		_, err = caller.New(url, c.key).Call(ctx, caller.Call{Method: "GET", Path: ServicePath + "a"})
		assertRefused(t, err, c.want, errkind.NotRun)
	}
	for _, e := range f.Engines {
		assert.Equal(t, len(e.Server.Ledger().Calls), 0)
	}
	_, err := caller.New(url, "").Call(ctx, caller.Call{Method: "GET", Path: StatusPath + "a"})
	assert.NilError(t, err)
	key := f.Key(f.Deployment.Accounts[0].Name)
	_, err = f.client(0, 0).Call(ctx, caller.Call{Method: "POST", Path: ServicePath + "b", Header: http.Header{"X-Copy": {key}, "X-Api-Key": {key}}})
	assert.NilError(t, err)
	_, err = f.client(0, 0).Complete(ctx, f.completion("x", 5))
	assert.NilError(t, err)
	for _, s := range f.Services {
		assert.Equal(t, len(s.Server.Leaks()), 0)
	}
	for _, e := range f.Engines {
		assert.Equal(t, len(e.Server.Leaks()), 0)
	}
}

func assertRefused(t *testing.T, err error, kind errkind.Kind, x errkind.Execution) {
	t.Helper()
	var refused *caller.RefusedError
	assert.Assert(t, errors.As(err, &refused), "got %v", err)
	assert.Equal(t, refused.Kind, kind)
	assert.Equal(t, refused.Execution, x)
}

func TestBadRequestsAreRefusedBeforeAnyEndpoint(t *testing.T) {
	f := startFleet(t, smallDeployment())
	key := f.Key(f.Deployment.Accounts[0].Name)
	for _, c := range []struct {
		method, path, body string
		status             int
		kind               errkind.Kind
	}{
		{"POST", "/v1/completions", "{", 400, errkind.BadRequest},
		{"POST", "/v1/completions", `{"model":"caption-large"}`, 400, errkind.BadRequest},
		{"POST", "/v1/completions", `{"model":"caption-large","prompt":"x","max_tokens":-1}`, 400, errkind.BadRequest},
		{"POST", "/v1/chat/completions", `{"model":"caption-large","messages":[]}`, 400, errkind.BadRequest},
		{"POST", "/v1/completions", `{"model":"other","prompt":"x"}`, 404, errkind.UnknownModel},
		{"GET", "/nowhere", "", 404, errkind.UnknownRoute},
		{"POST", ServicePath, strings.Repeat("x", 5<<20), 413, errkind.BodyTooLarge},
	} {
		req, err := http.NewRequest(c.method, f.Entries[0].URL()+c.path, strings.NewReader(c.body))
		assert.NilError(t, err)
		req.Header.Set("Authorization", "Bearer "+key)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, c.status, "%s", body)
		assert.Assert(t, strings.Contains(string(body), string(c.kind)), "%s", body)
	}
	for _, e := range f.Engines {
		assert.Equal(t, len(e.Server.Ledger().Calls), 0)
	}
}

func TestSlowHeadersTimeOut(t *testing.T) {
	d := smallDeployment()
	f, err := Start(d, Options{Seed: 7})
	assert.NilError(t, err)
	t.Cleanup(f.Close)
	c, err := net.Dial("tcp", f.Entries[0].settings.Listen.Callers)
	assert.NilError(t, err)
	defer c.Close()
	_, err = c.Write([]byte("GET / HTTP/1.1\r\nX-Slow: "))
	assert.NilError(t, err)
	_ = c.SetReadDeadline(time.Now().Add(waitLimit))
	_, err = io.ReadAll(c)
	assert.NilError(t, err) // the daemon has closed the connection
}

func TestCallerThatLeavesFreesTheEngines(t *testing.T) {
	d := smallDeployment()
	d.Model.TokenInterval = 200 * time.Millisecond
	for _, stage := range []string{"prefill", "decode"} {
		t.Run(stage, func(t *testing.T) {
			if stage == "prefill" {
				d.Model.PrefillPerPiece = 20 * time.Second
			} else {
				d.Model.PrefillPerPiece = time.Millisecond
			}
			f := startFleet(t, d)
			ctx, leave := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() {
				_, err := f.client(0, 0).Complete(ctx, f.completion(strings.Repeat("long ", 2000), 500))
				done <- err
			}()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				for _, e := range f.Engines {
					for _, r := range e.Server.Running() {
						if r.Stage == stage {
							return poll.Success()
						}
					}
				}
				return poll.Continue("no request in stage %s", stage)
			}, poll.WithTimeout(waitLimit), poll.WithDelay(10*time.Millisecond))
			leave()
			assert.Assert(t, <-done != nil)
			waitIdle(t, f)
		})
	}
}

func TestBrokenStreamIsResumedWithEachTokenOnce(t *testing.T) {
	for _, kind := range []host.Kind{host.Drop, host.Silent, host.Crossed, host.Die} {
		t.Run(string(kind), func(t *testing.T) {
			d := smallDeployment()
			d.Model.TokenInterval = 20 * time.Millisecond
			f := startFleet(t, d)
			ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
			defer cancel()
			type answer struct {
				r   *caller.Result
				err error
			}
			answers := make(chan answer, 2)
			prompts := []string{"the first of two", "the second of two"}
			started := make(chan struct{}, 200)
			for _, p := range prompts {
				go func() {
					q := f.completion(p, 60)
					q.OnToken = func(string) { started <- struct{}{} }
					r, err := f.client(0, 0).Complete(ctx, q)
					if err == nil && r.Text != expectedText("caption-large", p, 60) {
						err = errors.Newf("%q got %q", p, r.Text)
					}
					answers <- answer{r, err}
				}()
			}
			for range 6 {
				<-started
			}
			for _, e := range f.Engines {
				if len(e.Server.Running()) > 0 {
					e.Server.Inject(host.Fault{Kind: kind, For: 500 * time.Millisecond})
				}
			}
			for range prompts {
				a := <-answers
				assert.NilError(t, a.err)
				assert.Equal(t, a.r.DoneCount, 1)
			}
			waitIdle(t, f)
		})
	}
}

func TestDrainCutsNoRequest(t *testing.T) {
	d := smallDeployment()
	d.Model.TokenInterval = 30 * time.Millisecond
	f := startFleet(t, d)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	started := make(chan struct{}, 100)
	done := make(chan error, 1)
	go func() {
		q := f.completion("finish me", 40)
		q.OnToken = func(string) { started <- struct{}{} }
		r, err := f.client(0, 0).Complete(ctx, q)
		if err == nil && r.Text != expectedText("caption-large", "finish me", 40) {
			err = errors.Newf("got %q", r.Text)
		}
		done <- err
	}()
	<-started
	f.Entries[0].Drain()
	assert.NilError(t, <-done)
	assert.Assert(t, !f.Entries[0].Running())
}

func TestDrainServesCallersThatTheLaggingListSends(t *testing.T) {
	f := startFleet(t, smallDeployment())
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	c := f.client(0, 0)
	_, err := c.Complete(ctx, f.completion("before", 5))
	assert.NilError(t, err)
	drained := make(chan struct{})
	go func() {
		f.Entries[0].Drain()
		close(drained)
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		list, err := f.Platform().Instances.List(ctx)
		if err != nil {
			return poll.Error(err)
		}
		for _, i := range list {
			if i.Name == f.Entries[0].Name() && i.State == platform.Leaving {
				return poll.Success()
			}
		}
		return poll.Continue("not leaving yet")
	}, poll.WithTimeout(waitLimit), poll.WithDelay(5*time.Millisecond))
	_, err = c.Complete(ctx, f.completion("sent by the lagging list", 5))
	assert.NilError(t, err)
	<-drained
}

func TestChatAndPlainAnswers(t *testing.T) {
	f := startFleet(t, smallDeployment())
	key := f.Key(f.Deployment.Accounts[0].Name)
	post := func(path, body string) string {
		req, err := http.NewRequest("POST", f.Entries[1].URL()+path, strings.NewReader(body))
		assert.NilError(t, err)
		req.Header.Set("Authorization", "Bearer "+key)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		defer resp.Body.Close()
		text, err := io.ReadAll(bufio.NewReader(resp.Body))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, 200, "%s", text)
		return string(text)
	}
	whole := post("/v1/chat/completions", `{"model":"caption-large","messages":[{"role":"user","content":"hello"}],"max_tokens":6}`)
	assert.Assert(t, strings.Contains(whole, expectedText("caption-large", "user: hello\n", 6)), "%s", whole)
	assert.Assert(t, strings.Contains(whole, `"usage"`))
	streamed := post("/v1/chat/completions", `{"model":"caption-large","messages":[{"role":"user","content":"hello"}],"max_tokens":6,"stream":true}`)
	assert.Assert(t, strings.HasSuffix(streamed, "data: [DONE]\n\n"))
	assert.Assert(t, strings.Contains(streamed, `"role":"assistant"`))
}
