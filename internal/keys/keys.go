// Package keys generates callers' keys and reads them from requests. Only the hashes
// of keys are stored.
package keys

import (
	"encoding/base64"
	"io"
	"strings"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/config"
)

const (
	prefix    = "cwy_" // lets secret scanners find leaked keys
	keyBytes  = 24     // random bytes; short enough for the key to fit on one line of a phone's screen
	scheme    = "bearer"
	maxBearer = 512 // longest credential that is accepted, in bytes
)

// Generate returns a new key and the hash to store.
func Generate(rand io.Reader) (string, config.KeyHash, error) {
	var secret [keyBytes]byte
	if _, err := io.ReadFull(rand, secret[:]); err != nil {
		return "", config.KeyHash{}, errors.Wrap(err, "read randomness")
	}
	key := prefix + base64.RawURLEncoding.EncodeToString(secret[:])
	return key, config.HashKey(key), nil
}

// Bearer returns the credential of an Authorization header of the bearer scheme.
func Bearer(header string) (string, bool) {
	name, credential, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(name, scheme) {
		return "", false
	}
	credential = strings.TrimLeft(credential, " ")
	if credential == "" || len(credential) > maxBearer || strings.ContainsAny(credential, " \t\r\n") {
		return "", false
	}
	return credential, true
}
