package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"carawayrouter.example/router/platform/emulator"
)

// Names in the operator's configuration.
const (
	host         = "hric.example"
	modelService = "caption-models"
	plainService = "submission-app"
	draftPath    = "/draft/"
	screenPath   = "/screen/"
	recordPath   = "/record/"
	checkPath    = "/check/"
	tenant       = "member-paper"
	apiKey       = "key-of-member-paper"
)

// bench is a small deployment: the store, servers, and instances of the daemon.
type bench struct {
	repository string
	dir        string
	trouble    bool
	network    [2]int // instances listen on 127.network.N
	store      *emulator.Store
	instances  []*instance
	servers    []*server
	// descriptors is the limit of each process, 0 for that of the machine.
	descriptors int
	rate        int // the tenant's limit in tokens a second, 0 for none
	grace       int // grace period in the settings, s

	mu         sync.Mutex
	began      time.Time
	file       *os.File
	violations int
	runs       []run
	processes  []*os.Process
}

// run is one execution of a request at a server.
type run struct {
	attempt, server, path, body string
	at                          time.Time
}

func newBench(repository, record string, trouble bool) (*bench, error) {
	if _, err := os.Stat(filepath.Join(repository, "target", "caraway-entry")); err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	store, err := emulator.NewStore("127.0.0.1")
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	b := &bench{repository: repository, dir: dir, trouble: trouble, grace: 8, store: store, file: f, began: time.Now(), network: [2]int{10 + rand.IntN(200), rand.IntN(250)}}
	b.note("trouble=%v", trouble)
	b.configure(1)
	return b, nil
}

// note writes a line to the record.
func (b *bench) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.file, "%9.3f "+format+"\n", append([]any{time.Since(b.began).Seconds()}, args...)...)
}

// violation records that the rule was broken.
func (b *bench) violation(format string, args ...any) {
	b.note("BROKEN "+format, args...)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.violations++
}

// recordRun records that a server began to work on a request.
func (b *bench) recordRun(r run) {
	b.mu.Lock()
	b.runs = append(b.runs, r)
	b.mu.Unlock()
	b.note("run      attempt=%s server=%s path=%s body=%q", r.attempt, r.server, r.path, r.body)
}

// runsOf returns the runs that match.
func (b *bench) runsOf(match func(run) bool) (out []run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.runs {
		if match(r) {
			out = append(out, r)
		}
	}
	return out
}

// abort ends all processes at once. It is for a case that is interrupted or takes too long.
func (b *bench) abort() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.processes {
		_ = p.Kill() // does nothing for one that has ended and was waited for
	}
	_ = os.RemoveAll(b.dir)
}

// close ends all processes and returns how often the rule was broken.
func (b *bench) close() int {
	for _, x := range b.instances {
		x.stop()
	}
	for _, s := range b.servers {
		s.close()
	}
	b.store.Close()
	b.note("end      broken=%d", b.violations)
	_ = b.file.Close()
	_ = os.RemoveAll(b.dir)
	return b.violations
}

// configure writes the operator's configuration: the routes, limits and times of the site hric-submit.
func (b *bench) configure(version int) {
	route := func(name, path, kind, service string, more map[string]any) map[string]any {
		r := map[string]any{"name": name, "host": host, "path-prefix": path, "type": kind, "service": service,
			"timeout-ms": 800, "target-latency-ms": 150, "priority": 2, "max-attempts": 1, "public": false}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	b.store.Put("op", "config", map[string]any{
		"version": version,
		"routes": []any{
			route("caption-draft", draftPath, "streaming", modelService, map[string]any{"session-affinity": true, "resumable": true,
				"target-gap-ms": 300, "timeout-ms": 14000, "target-latency-ms": 900, "priority": 1, "max-attempts": 2}),
			route("guideline-screen", screenPath, "streaming", modelService, map[string]any{"session-affinity": true,
				"target-gap-ms": 300, "timeout-ms": 14000, "target-latency-ms": 900, "priority": 1}),
			route("consent-record", recordPath, "non_idempotent", plainService, nil),
			route("status-check", checkPath, "idempotent", plainService, map[string]any{"max-attempts": 2}),
		},
		"services": []any{
			map[string]any{"name": modelService, "health-path": "/health", "connection-limit": 310, "engine": map[string]any{
				"slots": 48, "kv-capacity-tokens": 95711, "kv-token-bytes": 262144, "stride": 72, "handle-ttl-s": 5}},
			map[string]any{"name": plainService, "health-path": "/health", "connection-limit": 110},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api-keys": []string{apiKey}, "priority": 1, "unit": "tokens", "uncached-tokens": 200, "rate-per-s": b.rate, "burst": 0}},
	})
}

// instance is one process of the daemon.
type instance struct {
	b          *bench
	name, zone string
	host       string
	base       int
	seeds      []string

	cmd    *exec.Cmd
	exited chan struct{}
}

// startInstances starts n instances in zones of their own and waits until they are ready.
func (b *bench) startInstances(n int) error {
	var seeds []string
	for i := range n {
		x := &instance{b: b, name: fmt.Sprintf("frontend-%d", i+1), zone: zoneName(i), host: fmt.Sprintf("127.%d.%d.%d", b.network[0], b.network[1], i+1)}
		base, err := emulator.FreePorts(x.host, 24)
		if err != nil {
			return err
		}
		x.base = base
		if len(seeds) < 3 {
			seeds = append(seeds, x.addr(7))
		}
		b.instances = append(b.instances, x)
	}
	for _, x := range b.instances {
		x.seeds = seeds
		if err := x.start(true); err != nil {
			return err
		}
	}
	for _, x := range b.instances {
		if err := x.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second) // all have heard each other
	return nil
}

func zoneName(i int) string { return "dohoku-" + string(rune('a'+i%3)) }

// Offsets of the ports of an instance.
const (
	frontendPort  = 0
	readinessPort = 5
	controlPort   = 7
	internalPort  = 8
)

func (x *instance) addr(port int) string { return fmt.Sprintf("%s:%d", x.host, x.base+port) }

func (x *instance) settings(bootstrap bool) string {
	quoted := make([]string, len(x.seeds))
	for i, s := range x.seeds {
		quoted[i] = fmt.Sprintf("%q", s)
	}
	return fmt.Sprintf(`node-name = %q
role = "entry"
machine-class = "frontend"
serves = ["frontend","control_plane"]
ip-address = %q
zone = %q
region = "dohoku"
internal-ports = [%d,%d]
seed-nodes = [%s]
bootstrap = %t
failure-counted = false
discovery = "platform"
entry = "virtual_ip"
heartbeat-interval-ms = 1200
[zones]
dohoku-a = "dohoku"
dohoku-b = "dohoku"
dohoku-c = "dohoku"
[listen]
frontend = %q
readiness = %q
control-plane = %q
[limits]
cpu-fraction = 0.4
cpu-cores = 1
memory-mb = 134
file-descriptors = 4100
link-bandwidth-mbps = 1000.0
disk-mb = 0
[bounds]
contact-ms = 3000
drain-ms = 2000
grace-period-s = %d
loss-slack-ms = 200
config-apply-ms = 2000
retry-budget-ratio = 0.2
budget-window-s = 10
retry-budget-extra = 58
quota-window-s = 8
quota-overage = 0.1
quota-tolerance = 72000
retry-after-s = 3
[platform]
address = %q
form = "table"
writes-per-s = 400
reads-per-s = 2000
`, x.name, x.host, x.zone, x.base+internalPort, x.base+internalPort+15, strings.Join(quoted, ","), bootstrap,
		x.addr(frontendPort), x.addr(readinessPort), x.addr(controlPort), x.b.grace, x.b.store.Addr())
}

// start starts the process with the command of the deploy file.
func (x *instance) start(bootstrap bool) error {
	file := filepath.Join(x.b.dir, x.name+".toml")
	if err := os.WriteFile(file, []byte(x.settings(bootstrap)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(x.b.dir, x.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/caraway-entry", "--metrics", "9464")
	if n := x.b.descriptors; n > 0 {
		cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec target/caraway-entry --metrics 9464", n))
	}
	cmd.Dir = x.b.repository
	cmd.Env = []string{"CARAWAYROUTER_SETTINGS=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	x.b.mu.Lock()
	x.b.processes = append(x.b.processes, cmd.Process)
	x.b.mu.Unlock()
	x.cmd, x.exited = cmd, make(chan struct{})
	go func(ended chan struct{}) {
		_ = cmd.Wait()
		x.b.note("exit     instance=%s", x.name)
		close(ended)
	}(x.exited)
	x.b.note("start    instance=%s", x.name)
	return nil
}

// awaitReady waits until the instance says that it is ready.
func (x *instance) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for range 100 {
		resp, err := client.Get("http://" + x.addr(readinessPort) + "/v1/readiness")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", x.name)
}

// signal sends a signal to the process.
func (x *instance) signal(sig syscall.Signal) {
	x.b.note("signal   instance=%s signal=%v", x.name, sig)
	_ = x.cmd.Process.Signal(sig)
}

// alive reports whether the process runs.
func (x *instance) alive() bool {
	select {
	case <-x.exited:
		return false
	default:
		return true
	}
}

// stop ends the process.
func (x *instance) stop() {
	if x.cmd == nil || !x.alive() {
		return
	}
	_ = x.cmd.Process.Kill()
	<-x.exited
}

// listenNarrow listens with a queue of one connection.
func listenNarrow() (net.Listener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	return net.FileListener(f)
}

// promises reports whether a status promises that a request has not run and never will.
func promises(status int) bool {
	return slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, status)
}
