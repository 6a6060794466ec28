// Package access tells callers, operators and the system's own processes apart.
package access

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
)

const (
	// MaxKeys is the number of keys of one kind that may be valid at once, for rotation.
	MaxKeys      = 2
	bearerPrefix = "Bearer "
)

type (
	// Keys are those of the system's own processes, or of the operators. They are never printed.
	Keys struct {
		digests [][sha256.Size]byte
		first   string
	}

	transport struct {
		next http.RoundTripper
		key  string
	}
)

// NewKeys returns keys of which the first one is sent and each is accepted.
func NewKeys(keys ...string) Keys {
	k := Keys{}
	for _, key := range keys {
		k.digests = append(k.digests, sha256.Sum256([]byte(key)))
	}
	if len(keys) > 0 {
		k.first = keys[0]
	}
	return k
}

// String hides the keys.
func (Keys) String() string {
	return "(hidden)"
}

// Accepts compares a key in constant time.
func (k Keys) Accepts(key string) bool {
	digest := sha256.Sum256([]byte(key))
	accepted := 0
	for i := range k.digests {
		accepted |= subtle.ConstantTimeCompare(digest[:], k.digests[i][:])
	}
	return accepted == 1
}

// Require answers 401 to requests without a valid key.
func (k Keys) Require(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !k.Accepts(Bearer(r.Header)) {
			http.Error(w, "the key is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Transport adds the first key to each request.
func (k Keys) Transport(next http.RoundTripper) http.RoundTripper {
	return &transport{next: next, key: k.first}
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", bearerPrefix+t.key)
	return t.next.RoundTrip(r)
}

// Bearer returns the credential of an Authorization header, or "".
func Bearer(h http.Header) string {
	credential, found := strings.CutPrefix(h.Get("Authorization"), bearerPrefix)
	if !found {
		return ""
	}
	return credential
}

// Digest returns the SHA-256 of a credential in hexadecimal, as the configuration holds it.
func Digest(credential string) string {
	sum := sha256.Sum256([]byte(credential))
	return hex.EncodeToString(sum[:])
}
