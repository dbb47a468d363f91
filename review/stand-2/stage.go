package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"carawayrouter.example/router/platform/emulator"
)

const (
	startTimeout = 15 * time.Second
	beatInterval = 1200 * time.Millisecond
	settleTime   = time.Second // after the instances are ready
	ports        = 10          // of an instance
)

// stage is one deployment: the stand-ins, which this process serves, and the daemons, each a process of its own.
type stage struct {
	trouble bool
	began   time.Time
	dir     string
	store   *emulator.Store
	daemons []*daemon
	seeds   []string
	stop    chan struct{}
	beats   sync.WaitGroup

	mu       sync.Mutex
	out      io.Writer
	live     []*server
	byAddr   map[string]*server
	arrivals []arrival
}

// daemon is one instance.
type daemon struct {
	name, zone, host string
	base             int
	program          string
	settings         string // file
	log              string // file
	cmd              *exec.Cmd
	store            *link // to the store
}

func newStage(program string, instances int, out io.Writer, trouble bool) (*stage, error) {
	store, err := emulator.NewStore("127.0.0.1")
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-stand-2-")
	if err != nil {
		return nil, err
	}
	st := &stage{trouble: trouble, began: time.Now(), dir: dir, store: store, stop: make(chan struct{}), out: out, byAddr: map[string]*server{}}
	var seeds []string
	for i := range instances {
		host := fmt.Sprintf("127.0.7.%d", i+1)
		base, err := emulator.FreePorts(host, ports)
		if err != nil {
			return nil, err
		}
		zone := fmt.Sprintf("zone-%c", 'a'+i%3)
		d := &daemon{name: fmt.Sprintf("frontend-%s-%d", zone, i/3+1), zone: zone, host: host, base: base, program: program}
		d.settings, d.log = filepath.Join(dir, d.name+".toml"), filepath.Join(dir, d.name+".log")
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", d.addr(2)))
		}
		st.daemons = append(st.daemons, d)
	}
	st.seeds = seeds
	for _, d := range st.daemons {
		if d.store, err = newLink(store.Addr()); err != nil {
			return nil, err
		}
		if err := d.writeSettings(seeds, true); err != nil {
			return nil, err
		}
	}
	return st, nil
}

// printf writes a line of the record, with the seconds since the start.
func (st *stage) printf(format string, args ...any) {
	st.mu.Lock()
	defer st.mu.Unlock()
	fmt.Fprintf(st.out, "%8.3f ", time.Since(st.began).Seconds())
	fmt.Fprintf(st.out, format, args...)
}

// addr returns one of an instance's addresses: 0 for clients, 1 for readiness, 2 for the other instances.
func (d *daemon) addr(n int) string { return net.JoinHostPort(d.host, fmt.Sprint(d.base+n)) }

// settingsOf returns an instance's settings file, with the figures of the sheet of hric-submit.
func settingsOf(d *daemon, seeds []string, bootstrap bool) string {
	return fmt.Sprintf(`node-name = %q
role = "entry"
machine-class = "frontend"
serves = ["frontend","control_plane"]
ip-address = %q
zone = %q
region = "region-a"
internal-ports = [%d,%d]
seed-nodes = [%s]
bootstrap = %t
failure-counted = false
discovery = "platform"
entry = "virtual_ip"
heartbeat-interval-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","tenants","quota","platform"]
[zones]
zone-a = "region-a"
zone-b = "region-a"
zone-c = "region-a"
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
[fault-tolerance]
machine-failures = 2
zones = 1
[bounds]
contact-ms = 3000
drain-ms = 2000
grace-period-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
retry-budget-ratio = 0.2
budget-window-s = 10
retry-budget-extra = 58
quota-window-s = 8
quota-overage = 0.1
quota-tolerance = 72000
recovery-s = 12
retry-after-s = 3
[platform]
address = %q
form = "table"
`, d.name, d.host, d.zone, d.base+3, d.base+9, strings.Join(seeds, ","), bootstrap, d.addr(0), d.addr(1), d.addr(2), d.store.addr())
}

// configuration is the emulator's configuration with engines of the size of the sheet.
func configuration() map[string]any {
	c := emulator.Configuration(1, emulator.ConfigurationOptions{Slots: engineSlots})
	for _, s := range c["services"].([]any) {
		if e, ok := s.(map[string]any)["engine"].(map[string]any); ok {
			e["kv-capacity-tokens"] = 95711
		}
	}
	return c
}

// zoneOf returns a zone for the nth server.
func zoneOf(n int) string { return fmt.Sprintf("zone-%c", 'a'+n%3) }

// begin starts the instances and the servers' beats.
func (st *stage) begin() error {
	st.beats.Add(1)
	go st.beat()
	if err := st.startDaemons(); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

// writeSettings writes the settings file. Bootstrap says that the whole system starts for the first time.
func (d *daemon) writeSettings(seeds []string, bootstrap bool) error {
	return os.WriteFile(d.settings, []byte(settingsOf(d, seeds, bootstrap)), 0o600)
}

// kill ends an instance's process.
func (d *daemon) kill() {
	_ = d.cmd.Process.Signal(syscall.SIGKILL)
	_ = d.cmd.Wait()
}

// startDaemons starts all instances and waits until they are ready.
func (st *stage) startDaemons() error {
	for _, d := range st.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	end := time.Now().Add(startTimeout)
	for _, d := range st.daemons {
		for !d.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", d.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// start starts the process with the command of the deploy file.
func (d *daemon) start() error {
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	d.cmd = exec.Command(d.program, "--metrics", "9464")
	d.cmd.Env = []string{"CARAWAYROUTER_SETTINGS=" + d.settings}
	d.cmd.Stdout, d.cmd.Stderr = log, log
	return d.cmd.Start()
}

func (d *daemon) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + d.addr(1) + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// beat writes the entries of the servers that live, until the end.
func (st *stage) beat() {
	defer st.beats.Done()
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-st.stop:
			return
		case <-ticker.C:
		}
		st.mu.Lock()
		for _, e := range st.live {
			e.register()
		}
		st.mu.Unlock()
	}
}

// close ends all processes and stand-ins.
func (st *stage) close() {
	for _, d := range st.daemons {
		if d.cmd != nil && d.cmd.Process != nil {
			d.kill()
		}
		d.store.close()
	}
	close(st.stop)
	st.beats.Wait()
	st.mu.Lock()
	live := st.live
	st.mu.Unlock()
	for _, e := range live {
		_ = e.http.Close()
	}
	st.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(st.dir)
	}
}
