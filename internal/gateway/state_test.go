package gateway

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/config"
)

// jsonRows decodes rows that hold endpoints as JSON.
type jsonRows struct{}

func (jsonRows) DecodeConfiguration([]byte) (*config.Objects, uint64, error) {
	return nil, 0, errors.New("no configuration")
}

func (jsonRows) DecodeEndpoint(name string, value []byte) (*config.Endpoint, error) {
	ep := &config.Endpoint{}
	return ep, json.Unmarshal(value, ep)
}

func (jsonRows) DecodeEvacuation(value []byte) error {
	if !json.Valid(value) {
		return errors.New("not JSON")
	}
	return nil
}

// endpointRow returns the row of an endpoint at an address of its own, written at a version.
func endpointRow(t *testing.T, name string, version uint64) Row {
	t.Helper()
	value, err := json.Marshal(&config.Endpoint{Name: name, Pool: "desk", Addr: name + ":1", Incarnation: 1, Revision: version})
	assert.NilError(t, err)
	return Row{Key: name, Version: version, Value: value}
}

func newTableState() *state {
	return newState(jsonRows{}, newTestServer("127.0.0.1:1", time.Now()).admission, logr.Discard())
}

func endpointNames(s *state) (names []string) {
	for _, ep := range s.Current().Endpoints {
		if !ep.Leaving {
			names = append(names, ep.Name)
		}
	}
	slices.Sort(names)
	return names
}

// An instance learns from another one that the store was restored, before it reads the store itself. The copy
// brings no endpoint back that has left, and endpoints that it lacks have time to register again, as if the
// instance had noticed by itself. Instances of former builds do not tell where the era began.
func TestRestoredStoreIsLearntFromAnotherInstance(t *testing.T) {
	for _, former := range []bool{false, true} {
		now := time.Unix(1000, 0)
		s := newTableState()
		s.applyEndpoints(now, []Row{endpointRow(t, "drained", 5), endpointRow(t, "kept", 6), endpointRow(t, "new", 12)}, Position{Version: 12}, true)
		s.applyEndpoints(now, []Row{{Key: "drained", Version: 13, Deleted: true}}, Position{Version: 13}, false)
		assert.DeepEqual(t, endpointNames(s), []string{"kept", "new"})

		other := newTableState()
		other.applyEndpoints(now, []Row{endpointRow(t, "kept", 6)}, Position{Version: 7}, true)
		theCopy := []Row{endpointRow(t, "drained", 5), endpointRow(t, "kept", 6)}
		other.applyEndpoints(now, theCopy, Position{Era: 1, Version: 10}, true)
		exported := other.export(now)
		if former {
			exported.EraStart = 0
		}
		exported.Endpoints = nil // what it knows of endpoints is not the matter here
		s.merge(now, exported, "other")

		now = now.Add(time.Second)
		s.applyEndpoints(now, theCopy, Position{Era: 1, Version: 11}, true)
		s.expire(now)
		assert.DeepEqual(t, endpointNames(s), []string{"kept", "new"})

		s.applyEndpoints(now, []Row{endpointRow(t, "drained", 12)}, Position{Era: 1, Version: 12}, false)
		assert.DeepEqual(t, endpointNames(s), []string{"drained", "kept", "new"}) // it has registered again
		now = now.Add(reregistrationGrace)
		s.expire(now)
		assert.DeepEqual(t, endpointNames(s), []string{"drained", "kept"})
	}
}

// An answer of another instance that is not one of HTTP, or that breaks off, brings no state.
func TestStateInABrokenAnswerIsNotTaken(t *testing.T) {
	const state = `{"secret":"c2VjcmV0","directory":9,"endpoints":[{"name":"e","pool":"desk","addr":"127.0.0.1:1"}]}`
	for head, sound := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(state)) + "\r\n\r\n":                     true,
		"HTTP/1.1 000 Trouble\r\nContent-Length: " + strconv.Itoa(len(state)) + "\r\n\r\n":                false,
		"HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}": false,
		"HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n":                                                 false,
		"HTTP/1.1 200 OK\r\n\r\n": false, // and the connection is reset
	} {
		s := fleetServer()
		err := s.peers.fetchState(answeringWith(t, head+state, !strings.Contains(head, "Length")))
		assert.Equal(t, err == nil, sound, "%q: %v", head, err)
		assert.Equal(t, len(s.state.Current().Endpoints) > 0, sound, "%q", head)
	}
}

// answeringWith returns the address of a listener that answers the first request on each connection with raw bytes and
// closes the connection, with a reset if that is set.
func answeringWith(t *testing.T, answer string, reset bool) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
				_, _ = io.WriteString(nc, answer)
			}
			if reset {
				_ = nc.(*net.TCPConn).SetLinger(0)
			}
			_ = nc.Close()
		}
	}()
	return ln.Addr().String()
}
