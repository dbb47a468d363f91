// Package process creates a stand-in server (a simulated platform, engine or plain
// service) from a settings file, to run as a process of its own.
package process

import (
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"carawayrouter.example/router/internal/platform"
	"carawayrouter.example/router/internal/platform/httpplatform"
	"carawayrouter.example/router/internal/platform/memplatform"
	"carawayrouter.example/router/internal/settings"
	"carawayrouter.example/router/internal/standin/engine"
	"carawayrouter.example/router/internal/standin/service"
)

const maxPlatformBody = 64 << 20 // bytes

// listen is the [listen] section, which all stand-ins have.
type listen struct {
	Addr string `ini:"addr" doc:"address to listen on, a loopback IP:port"`
}

// PlatformSettings are the settings of a simulated platform.
type PlatformSettings struct {
	Listen   listen `ini:"listen"`
	Platform struct {
		ListLag   time.Duration `ini:"list_lag" default:"2s" min:"0s" doc:"delay before changes appear in the instance list"`
		Instances []string      `ini:"instances" default:"" doc:"instances in the instance list, each as NAME@IP:port@DATA_CENTRE@GROUP"`
		Seed      int           `ini:"seed" default:"1" min:"1" doc:"seed of the random number generator"`
	} `ini:"platform"`
}

// EngineSettings are the settings of a simulated engine.
type EngineSettings struct {
	Listen listen          `ini:"listen"`
	Engine engine.Settings `ini:"engine"`
}

// ServiceSettings are the settings of a simulated plain service.
type ServiceSettings struct {
	Listen  listen           `ini:"listen"`
	Service service.Settings `ini:"service"`
}

// Standin is a configured stand-in server.
type Standin struct {
	addr   string
	server server
}

// server is implemented by all stand-ins.
type server interface {
	Serve(ln net.Listener) error
	Close() error
}

// platformServer adapts the simulated platform to server.
type platformServer struct{ *fasthttp.Server }

// Close implements server.
func (s platformServer) Close() error { return s.Shutdown() }

// Platform creates a simulated platform from a settings file.
func Platform(file string) (*Standin, error) {
	var s PlatformSettings
	if err := settings.Load(file, &s); err != nil {
		return nil, err
	}
	store := memplatform.New(memplatform.Options{Seed: uint64(s.Platform.Seed)})
	for _, text := range s.Platform.Instances {
		i, err := parseInstance(text)
		if err != nil {
			return nil, &settings.FileError{File: file, Name: "platform.instances", Problem: err.Error()}
		}
		store.SetInstance(i)
	}
	store.ListLag(s.Platform.ListLag)
	server := &fasthttp.Server{Handler: httpplatform.Handler(store), MaxRequestBodySize: maxPlatformBody}
	return newStandin(file, s.Listen.Addr, platformServer{server})
}

// Engine creates a simulated engine from a settings file.
func Engine(file string) (*Standin, error) {
	var s EngineSettings
	if err := settings.Load(file, &s); err != nil {
		return nil, err
	}
	return newStandin(file, s.Listen.Addr, engine.New(engine.Options{Settings: s.Engine}))
}

// Service creates a simulated plain service from a settings file.
func Service(file string) (*Standin, error) {
	var s ServiceSettings
	if err := settings.Load(file, &s); err != nil {
		return nil, err
	}
	return newStandin(file, s.Listen.Addr, service.New(service.Options{Settings: s.Service}))
}

func newStandin(file, addr string, s server) (*Standin, error) {
	host, _, err := net.SplitHostPort(addr)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return nil, &settings.FileError{File: file, Name: "listen.addr", Problem: "must be a loopback IP:port, for example 127.0.0.1:7100"}
	}
	return &Standin{addr: addr, server: s}, nil
}

// Listen listens on the configured address.
func (s *Standin) Listen() (net.Listener, error) {
	ln, err := net.Listen("tcp", s.addr)
	return ln, errors.Wrap(err, "listen.addr")
}

// Serve serves requests on ln until Close is called.
func (s *Standin) Serve(ln net.Listener) error { return s.server.Serve(ln) }

// Close ends Serve and all connections.
func (s *Standin) Close() error { return s.server.Close() }

// parseInstance parses NAME@IP:port@DATA_CENTRE@GROUP.
func parseInstance(text string) (platform.Instance, error) {
	parts := strings.Split(text, "@")
	if len(parts) != 4 {
		return platform.Instance{}, errors.Newf("%q must be NAME@IP:port@DATA_CENTRE@GROUP", text)
	}
	return platform.Instance{Name: parts[0], Addr: parts[1], DataCentre: parts[2], Group: parts[3], State: platform.Live}, nil
}
