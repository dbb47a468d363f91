package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

const (
	fingerprintBytes = 12 // no caller can find a request with the fingerprint of another caller's
	// fingerprintPrefix keeps fingerprints apart from the parts of prompts, which are hexadecimal.
	fingerprintPrefix = "r:"
)

// fingerprint identifies what the request asks for: attempts of the same account with the same
// method, host, path, query and body have the same fingerprint at all instances.
func (x *exchange) fingerprint() string {
	if x.fingerprintCache == "" {
		c := x.call
		h := sha256.New()
		for _, field := range []string{x.account(), c.Method, hostName(c.Host), c.URI} {
			h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(field))))
			_, _ = io.WriteString(h, field)
		}
		h.Write(c.Body)
		x.fingerprintCache = fingerprintPrefix + hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
	}
	return x.fingerprintCache
}
