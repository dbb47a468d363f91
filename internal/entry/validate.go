package entry

import (
	"net"
	"slices"
	"strings"

	"carawayrouter.example/router/internal/settings"
)

// Validate checks formats and the rules that involve several settings. Errors are of type
// *settings.FileError.
func (s *Settings) Validate(file string) error {
	invalid := func(name, allowed string) error {
		return &settings.FileError{File: file, Name: name, Problem: allowed}
	}
	if s.Instance.Name == "" || strings.ContainsAny(s.Instance.Name, "./ ") {
		return invalid("instance.name", "must be a name without dots, slashes and spaces")
	}
	if !slices.Contains(s.Instance.DataCentres, s.Instance.DataCentre) {
		return invalid("instance.data_centre", "must be one of instance.data_centres")
	}
	for name, addr := range map[string]string{
		"listen.callers":  s.Listen.Callers,
		"listen.peers":    s.Listen.Peers,
		"listen.operator": s.Listen.Operator,
		"platform.addr":   s.Platform.Addr,
	} {
		if !isIPPort(addr) {
			return invalid(name, "must be IP:port, for example 127.0.0.1:7000")
		}
	}
	for _, addr := range s.Peers.Seeds {
		if !isIPPort(addr) {
			return invalid("peers.seeds", "must be IP:port, comma separated")
		}
	}
	if s.Peers.Plain {
		if !isLoopback(s.Listen.Peers) {
			return invalid("peers.plain", "is allowed only if listen.peers is a loopback address")
		}
		return nil
	}
	if s.Peers.Cert == "" || s.Peers.Key == "" || s.Peers.CA == "" {
		return invalid("peers.cert", "peers.cert, peers.key and peers.ca are required unless peers.plain = true")
	}
	return nil
}

func isIPPort(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	return err == nil && net.ParseIP(host) != nil && port != ""
}

func isLoopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
