package gateway

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// unreachableStore is a store that cannot be reached.
type unreachableStore struct{}

var errNoStore = errors.New("no store")

func (unreachableStore) Rows(context.Context, Table) ([]Row, Position, error) {
	return nil, Position{}, errNoStore
}

func (unreachableStore) Changes(context.Context, Table, uint64, time.Duration) ([]Row, Position, error) {
	return nil, Position{}, errNoStore
}

func (unreachableStore) Put(context.Context, Table, string, []byte) error { return errNoStore }

func (unreachableStore) Create(context.Context, Table, string, []byte) ([]byte, error) {
	return nil, errNoStore
}

func (unreachableStore) Delete(context.Context, Table, string) error { return errNoStore }

func newUnstartedServer() *Server {
	return New(Settings{Instance: "i0", DataCentre: "a", CallerAddr: "127.0.0.1:0", ReadinessAddr: "127.0.0.1:0", PeerAddr: "127.0.0.1:0", UpdatePort: "0",
		QuotaWindow: time.Second, GracePeriod: time.Second}, Deps{Log: logr.Discard(), Wire: nameOnlyWire{}, Store: unreachableStore{}})
}

// A listener ends. The process ends with it instead of living on without being able to serve.
func TestInstanceEndsWithAnyOfItsListeners(t *testing.T) {
	for i, name := range []string{"callers", "readiness probes", "other instances"} {
		t.Run(name, func(t *testing.T) {
			s := newUnstartedServer()
			drain, stop := context.WithCancel(context.Background())
			defer stop()
			ended := make(chan error, 1)
			go func() { ended <- s.Run(drain) }()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				s.listenMu.Lock()
				defer s.listenMu.Unlock()
				if len(s.listeners) < 3 {
					return poll.Continue("the instance listens")
				}
				assert.NilError(t, s.listeners[i].Close())
				return poll.Success()
			})
			select {
			case err := <-ended:
				assert.ErrorContains(t, err, "the listener for "+name+" has ended")
			case <-time.After(10 * time.Second):
				t.Fatal("the instance did not end")
			}
		})
	}
}

// failingListener fails some times before it accepts.
type failingListener struct {
	net.Listener
	failures []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.failures) > 0 {
		err := l.failures[0]
		l.failures = l.failures[1:]
		return nil, &net.OpError{Op: "accept", Err: err}
	}
	return nil, nil
}

// Errors of Accept are counted, and end no listener.
func TestListenerOutlivesErrorsOfAccept(t *testing.T) {
	s := newUnstartedServer()
	l := &steadyListener{s: s, name: "tests", Listener: &failingListener{failures: []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM}}}
	_, err := l.Accept()
	assert.NilError(t, err)
	assert.Equal(t, s.stats.acceptFailures.Get(), uint64(6))
}
