// Package access authenticates callers, operators and the system's own processes by bearer keys.
package access

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
)

const (
	// MaxKeys is the number of keys of one kind that may be valid at the same time, so that keys can be rotated.
	MaxKeys      = 2
	bearerPrefix = "Bearer "
)

type (
	// Digest is the SHA-256 digest of a credential. Credentials are stored and compared in this form.
	Digest [sha256.Size]byte

	// Keys are the keys of the system's own processes, or of the operators. They are never printed.
	Keys struct {
		// digests are the SHA-256 digests of the accepted keys.
		digests []Digest
		// outgoing is the key that is sent, or the empty string.
		outgoing string
	}

	transport struct {
		next http.RoundTripper
		key  string
	}
)

// NewKeys returns a set of keys. Each of them is accepted, and the first one is sent.
func NewKeys(keys ...string) Keys {
	k := Keys{}
	for _, key := range keys {
		k.digests = append(k.digests, NewDigest(key))
	}
	if len(keys) > 0 {
		k.outgoing = keys[0]
	}
	return k
}

// String returns a placeholder, so that formatted output does not contain the keys.
func (Keys) String() string {
	return "(hidden)"
}

// Accepts reports whether key is one of the keys. It compares in constant time.
func (k Keys) Accepts(key string) bool {
	digest := NewDigest(key)
	accepted := 0
	for i := range k.digests {
		accepted |= subtle.ConstantTimeCompare(digest[:], k.digests[i][:])
	}
	return accepted == 1
}

// Require returns a handler that passes requests with an accepted bearer key to next, and answers others with
// status 401.
func (k Keys) Require(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !k.Accepts(Bearer(r.Header)) {
			http.Error(w, "the key is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Transport returns a round tripper that adds the first key to each request and sends it by next.
func (k Keys) Transport(next http.RoundTripper) http.RoundTripper {
	return &transport{next: next, key: k.outgoing}
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", bearerPrefix+t.key)
	return t.next.RoundTrip(r)
}

// Bearer returns the bearer credential of the Authorization header, or the empty string if there is none.
func Bearer(h http.Header) string {
	credential, found := strings.CutPrefix(h.Get("Authorization"), bearerPrefix)
	if !found {
		return ""
	}
	return credential
}

// NewDigest returns the digest of a credential.
func NewDigest(credential string) Digest {
	return sha256.Sum256([]byte(credential))
}

// String returns the digest in hexadecimal, the form that the configuration of partners contains.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}
