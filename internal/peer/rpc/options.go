// Package rpc implements peer.Caller and peer.Registrar with net/rpc, gob encoding and
// mutual TLS. It limits the number of connections, the message size, the number of calls
// in progress and the duration of each operation.
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
	DefaultDialTimeout     = time.Second      // connection establishment including TLS handshake
	DefaultIdleTimeout     = 90 * time.Second // lifetime of an unused connection
	DefaultTCPUserTimeout  = 5 * time.Second  // time without an ACK after which the kernel closes the connection
)

// LinkState is the simulated state of the network path to an address. It is used for fault
// injection in tests and load tools.
type LinkState int

// The link states.
const (
	LinkOK      LinkState = iota
	LinkRefused           // connections fail immediately
	LinkSilent            // all traffic is dropped without an error
)

// Options configures a Server or a Client. Defaults apply to zero fields.
type Options struct {
	// Identity holds the certificate and the fleet's CA. If it is nil, connections are
	// not encrypted, which is allowed on loopback addresses only.
	Identity *Identity

	MaxMessageBytes int // largest request or reply in bytes
	MaxConns        int
	MaxCallsPerConn int // calls in progress on one connection
	DialTimeout     time.Duration
	IdleTimeout     time.Duration
	TCPUserTimeout  time.Duration

	// Dial establishes the client's connections. If it is nil, a net.Dialer is used.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	// LinkStateOf, if set, returns the simulated state of the link to an address. Client
	// only.
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

// ErrPlaintextRefused is returned for unencrypted connections to non-loopback addresses.
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
