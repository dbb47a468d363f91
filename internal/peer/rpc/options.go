// Package rpc implements peer.Caller and peer.Registrar over net/rpc with gob,
// mutual TLS, and bounds on connections, message sizes, calls and time.
package rpc

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
)

// Defaults of Options.
const (
	DefaultMaxMessageBytes = 16 << 20         // bytes
	DefaultMaxConns        = 1024             // connections
	DefaultMaxCallsPerConn = 256              // calls in progress on one connection
	DefaultDialTimeout     = time.Second      // connection set-up, TLS included
	DefaultIdleTimeout     = 90 * time.Second // life of an unused connection
	DefaultTCPUserTimeout  = 5 * time.Second  // unacknowledged bytes before the kernel gives up
)

// LinkState is the state of the path to an address, set by tests and load tools.
type LinkState int

// The link states.
const (
	LinkOK      LinkState = iota
	LinkRefused           // connections fail at once
	LinkSilent            // nothing arrives and nothing is reported
)

// Options configures a Server or a Client. Zero fields take the defaults.
type Options struct {
	// Identity holds the certificate and the fleet's CA. Without one the
	// connections are plain, which is allowed on loopback addresses only.
	Identity *Identity

	MaxMessageBytes int // largest request or reply in bytes
	MaxConns        int
	MaxCallsPerConn int // server: calls in progress on one connection
	DialTimeout     time.Duration
	IdleTimeout     time.Duration
	TCPUserTimeout  time.Duration

	// Dial makes the client's connections; net.Dialer's if nil.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	// LinkStateOf, if set, gives the state of the link to an address. Client only.
	LinkStateOf func(addr string) LinkState

	Logger logr.Logger
}

func (o Options) withDefaults() Options {
	setDefault(&o.MaxMessageBytes, DefaultMaxMessageBytes)
	setDefault(&o.MaxConns, DefaultMaxConns)
	setDefault(&o.MaxCallsPerConn, DefaultMaxCallsPerConn)
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.TCPUserTimeout, DefaultTCPUserTimeout)
	if o.Dial == nil {
		o.Dial = new(net.Dialer).DialContext
	}
	if o.Logger.GetSink() == nil {
		o.Logger = logr.Discard()
	}
	return o
}

func setDefault[T int | time.Duration](v *T, def T) {
	if *v == 0 {
		*v = def
	}
}

// ErrPlaintextRefused reports an attempt to use plain connections beyond loopback.
var ErrPlaintextRefused = errors.New("plain peer connections are allowed on loopback addresses only")

// checkPlain returns ErrPlaintextRefused unless addr is a loopback address.
func checkPlain(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return errors.Wrapf(err, "peer address %q", addr)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return errors.Wrapf(ErrPlaintextRefused, "address %s", addr)
	}
	return nil
}
