package rpc

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
)

// minCheckInterval is the minimum time between two checks of the files for changes.
const minCheckInterval = time.Second

// CertFiles holds the paths of an Identity's PEM files.
type CertFiles struct {
	Cert string // certificate of this instance, followed by intermediates
	Key  string // private key of the certificate
	CA   string // CA certificates of the fleet; several during a CA rotation
}

// Identity is this instance's certificate and the fleet's CA. It is reloaded when the files
// change. If the new files cannot be read or do not match, the previous ones stay in use.
type Identity struct {
	files  CertFiles
	logger logr.Logger

	mu         sync.Mutex
	lastCheck  time.Time
	stamp      fileStamp
	generation uint64
	cert       *tls.Certificate
	roots      *x509.CertPool
}

type fileStamp [3]struct {
	modified time.Time
	size     int64
}

// LoadIdentity loads an Identity from the files.
func LoadIdentity(f CertFiles, logger logr.Logger) (*Identity, error) {
	if logger.GetSink() == nil {
		logger = logr.Discard()
	}
	id := &Identity{files: f, logger: logger}
	stamp, err := f.stamp()
	if err != nil {
		return nil, err
	}
	if err := id.load(stamp); err != nil {
		return nil, err
	}
	return id, nil
}

func (f CertFiles) stamp() (fileStamp, error) {
	var s fileStamp
	for i, name := range []string{f.Cert, f.Key, f.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return s, errors.Wrap(err, "peer identity")
		}
		s[i].modified, s[i].size = info.ModTime(), info.Size()
	}
	return s, nil
}

// load reads the files. The caller must hold mu or have exclusive access to the Identity.
func (id *Identity) load(stamp fileStamp) error {
	cert, err := tls.LoadX509KeyPair(id.files.Cert, id.files.Key)
	if err != nil {
		return errors.Wrapf(err, "peer identity %s", id.files.Cert)
	}
	pem, err := os.ReadFile(id.files.CA)
	if err != nil {
		return errors.Wrap(err, "peer identity")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return errors.Newf("peer identity: %s holds no certificate", id.files.CA)
	}
	id.cert, id.roots, id.stamp = &cert, roots, stamp
	id.generation++
	return nil
}

// refresh reloads the files if they changed. The caller must hold mu.
func (id *Identity) refresh() {
	now := time.Now()
	if now.Sub(id.lastCheck) < minCheckInterval {
		return
	}
	id.lastCheck = now
	stamp, err := id.files.stamp()
	if err == nil && stamp == id.stamp {
		return
	}
	if err == nil {
		err = id.load(stamp)
	}
	if err != nil {
		id.logger.Error(err, "keeping the previous peer certificate")
		return
	}
	id.logger.Info("peer certificate reloaded", "generation", id.generation)
}

// current returns the certificate, the CA pool and their generation, reloading them first if
// the files changed.
func (id *Identity) current() (*tls.Certificate, *x509.CertPool, uint64) {
	id.mu.Lock()
	defer id.mu.Unlock()
	id.refresh()
	return id.cert, id.roots, id.generation
}

// Generation returns the number of times that the files were loaded. It returns 0 for a nil
// Identity.
func (id *Identity) Generation() uint64 {
	if id == nil {
		return 0
	}
	_, _, g := id.current()
	return g
}

// verify checks that the certificate chain was signed by the fleet's CA. Host names are not
// verified, because the addresses of instances change.
func (id *Identity) verify(chain []*x509.Certificate, usage x509.ExtKeyUsage) error {
	if len(chain) == 0 {
		return errors.New("peer presented no certificate")
	}
	_, roots, _ := id.current()
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return errors.Wrap(err, "peer certificate")
}

func (id *Identity) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert, // VerifyConnection checks the chain against the current CA
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _, _ := id.current()
			return cert, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			return id.verify(s.PeerCertificates, x509.ExtKeyUsageClientAuth)
		},
		SessionTicketsDisabled: true,
	}
}

func (id *Identity) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, // VerifyConnection checks the chain, but not the host name
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _, _ := id.current()
			return cert, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			return id.verify(s.PeerCertificates, x509.ExtKeyUsageServerAuth)
		},
	}
}

// peerCheck returns a function that is called before each request. It returns an error if
// the CA of the peer has been removed since the handshake.
func (id *Identity) peerCheck(c *tls.Conn) func() error {
	verified := id.Generation()
	return func() error {
		g := id.Generation()
		if g == verified {
			return nil
		}
		verified = g
		return id.verify(c.ConnectionState().PeerCertificates, x509.ExtKeyUsageClientAuth)
	}
}
