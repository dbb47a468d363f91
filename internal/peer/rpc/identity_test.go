package rpc

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/peer"
)

// authority is a CA that signs test certificates.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "fleet"},
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return &authority{cert: cert, key: key}
}

// issueFiles writes a certificate signed by a, its key and the CA certificate to dir.
func (a *authority) issueFiles(t *testing.T, dir string) CertFiles {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "instance"},
		NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	writePEM := func(name, kind string, b []byte) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}), 0o600))
		return path
	}
	return CertFiles{
		Cert: writePEM("cert.pem", "CERTIFICATE", der),
		Key:  writePEM("key.pem", "EC PRIVATE KEY", keyDER),
		CA:   writePEM("ca.pem", "CERTIFICATE", a.cert.Raw),
	}
}

func mustLoadIdentity(t *testing.T, f CertFiles) *Identity {
	t.Helper()
	id, err := LoadIdentity(f, logr.Discard())
	assert.NilError(t, err)
	return id
}

func TestOnlyCertificatesOfTheFleetCAAreAccepted(t *testing.T) {
	fleet, other := newAuthority(t), newAuthority(t)
	server := mustLoadIdentity(t, fleet.issueFiles(t, t.TempDir()))
	echo, _, c, addr := startServerAndClient(t, Options{Identity: server}, Options{Identity: mustLoadIdentity(t, fleet.issueFiles(t, t.TempDir()))})
	out, err := call(c, addr, "Echo.Say", "hello", false)
	assert.NilError(t, err)
	assert.Equal(t, out, "hello")
	runs := echo.runs.Load()

	foreign := NewClient(Options{Identity: mustLoadIdentity(t, other.issueFiles(t, t.TempDir()))})
	defer foreign.Close()
	_, err = call(foreign, addr, "Echo.Say", "hello", false)
	assert.ErrorIs(t, err, peer.ErrUnreachable)

	plain := NewClient(Options{})
	defer plain.Close()
	_, err = call(plain, addr, "Echo.Say", "hello", false)
	assert.Assert(t, err != nil)

	// A peer that accepts any server certificate but has no certificate of the fleet's CA.
	for _, certs := range [][]tls.Certificate{nil, {*mustLoadIdentity(t, other.issueFiles(t, t.TempDir())).cert}} {
		conn, err := tls.Dial("tcp", addr, &tls.Config{InsecureSkipVerify: true, Certificates: certs})
		if err == nil {
			_, err = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}
		assert.Assert(t, err != nil)
	}
	assert.Equal(t, echo.runs.Load(), runs)
}

func TestChangedFilesAreReloaded(t *testing.T) {
	before, after := newAuthority(t), newAuthority(t)
	dirs := []string{t.TempDir(), t.TempDir()}
	server, client := mustLoadIdentity(t, before.issueFiles(t, dirs[0])), mustLoadIdentity(t, before.issueFiles(t, dirs[1]))
	echo, _, c, addr := startServerAndClient(t, Options{Identity: server}, Options{Identity: client})
	_, err := call(c, addr, "Echo.Say", "a", false)
	assert.NilError(t, err)

	// After the server's CA was replaced, requests on a connection opened with a
	// certificate of the old CA are refused.
	after.issueFiles(t, dirs[0])
	forceCheck(server)
	_, err = call(c, addr, "Echo.Say", "b", false)
	assert.Assert(t, err != nil)
	assert.Equal(t, echo.runs.Load(), int64(1))

	// The previous certificate stays in use while a file is invalid. A valid file is loaded.
	assert.NilError(t, os.WriteFile(filepath.Join(dirs[1], "cert.pem"), []byte("broken"), 0o600))
	forceCheck(client)
	assert.Equal(t, client.Generation(), uint64(1))
	after.issueFiles(t, dirs[1])
	forceCheck(client)
	out, err := call(c, addr, "Echo.Say", "c", false)
	assert.NilError(t, err)
	assert.Equal(t, out, "c")
}

// forceCheck makes the next use of id check the files for changes.
func forceCheck(id *Identity) {
	id.mu.Lock()
	defer id.mu.Unlock()
	id.lastCheck = time.Time{}
}

func TestMissingCertificateIsAnError(t *testing.T) {
	_, err := LoadIdentity(CertFiles{Cert: "absent.pem", Key: "absent.pem", CA: "absent.pem"}, logr.Discard())
	assert.ErrorContains(t, err, "absent.pem")
}
