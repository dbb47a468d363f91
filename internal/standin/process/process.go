// Package process runs one stand-in as a plain process from a settings file.
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

// listen is the [listen] section of every stand-in.
type listen struct {
	Addr string `ini:"addr" doc:"address to serve on, IP:port of loopback"`
}

// PlatformSettings are the settings of a platform stand-in.
type PlatformSettings struct {
	Listen   listen `ini:"listen"`
	Platform struct {
		ListLag   time.Duration `ini:"list_lag" default:"2s" min:"0s" doc:"lag of the instance list"`
		Instances []string      `ini:"instances" default:"" doc:"instances on the list, each NAME@IP:port@DATA_CENTRE@GROUP"`
		Seed      int           `ini:"seed" default:"1" min:"1" doc:"seed of random choices"`
	} `ini:"platform"`
}

// EngineSettings are the settings of an engine stand-in.
type EngineSettings struct {
	Listen listen          `ini:"listen"`
	Engine engine.Settings `ini:"engine"`
}

// ServiceSettings are the settings of a plain service stand-in.
type ServiceSettings struct {
	Listen  listen           `ini:"listen"`
	Service service.Settings `ini:"service"`
}

// Standin is a stand-in ready to serve.
type Standin struct {
	addr   string
	server server
}

// server is what all stand-ins have.
type server interface {
	Serve(ln net.Listener) error
	Close() error
}

// platformServer is the platform stand-in as a server.
type platformServer struct{ *fasthttp.Server }

// Close implements server.
func (s platformServer) Close() error { return s.Shutdown() }

// Platform prepares a platform stand-in.
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

// Engine prepares an engine stand-in.
func Engine(file string) (*Standin, error) {
	var s EngineSettings
	if err := settings.Load(file, &s); err != nil {
		return nil, err
	}
	return newStandin(file, s.Listen.Addr, engine.New(engine.Options{Settings: s.Engine}))
}

// Service prepares a plain service stand-in.
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
		return nil, &settings.FileError{File: file, Name: "listen.addr", Problem: "must be IP:port of loopback, for example 127.0.0.1:7100"}
	}
	return &Standin{addr: addr, server: s}, nil
}

// Listen opens the stand-in's address.
func (s *Standin) Listen() (net.Listener, error) {
	ln, err := net.Listen("tcp", s.addr)
	return ln, errors.Wrap(err, "listen.addr")
}

// Serve answers on ln until Close.
func (s *Standin) Serve(ln net.Listener) error { return s.server.Serve(ln) }

// Close ends Serve and all connections.
func (s *Standin) Close() error { return s.server.Close() }

// parseInstance reads NAME@IP:port@DATA_CENTRE@GROUP.
func parseInstance(text string) (platform.Instance, error) {
	parts := strings.Split(text, "@")
	if len(parts) != 4 {
		return platform.Instance{}, errors.Newf("%q must be NAME@IP:port@DATA_CENTRE@GROUP", text)
	}
	return platform.Instance{Name: parts[0], Addr: parts[1], DataCentre: parts[2], Group: parts[3], State: platform.Live}, nil
}
