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
	// MaxFleetKeys is the number of fleet keys that may be valid at once, for rotation.
	MaxFleetKeys = 2
	bearerPrefix = "Bearer "
)

type (
	// FleetKeys are the keys of the system's own processes. They are never printed.
	FleetKeys struct {
		digests [][sha256.Size]byte
		first   string
	}

	transport struct {
		next http.RoundTripper
		key  string
	}
)

// NewFleetKeys returns keys of which the first one is sent and each is accepted.
func NewFleetKeys(keys ...string) FleetKeys {
	f := FleetKeys{}
	for _, key := range keys {
		f.digests = append(f.digests, sha256.Sum256([]byte(key)))
	}
	if len(keys) > 0 {
		f.first = keys[0]
	}
	return f
}

// String hides the keys.
func (FleetKeys) String() string {
	return "(hidden)"
}

// Accepts compares a key in constant time.
func (f FleetKeys) Accepts(key string) bool {
	digest := sha256.Sum256([]byte(key))
	accepted := 0
	for i := range f.digests {
		accepted |= subtle.ConstantTimeCompare(digest[:], f.digests[i][:])
	}
	return accepted == 1
}

// Require answers 401 to requests without a fleet key.
func (f FleetKeys) Require(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !f.Accepts(Bearer(r.Header)) {
			http.Error(w, "the fleet key is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Transport adds the first fleet key to each request.
func (f FleetKeys) Transport(next http.RoundTripper) http.RoundTripper {
	return &transport{next: next, key: f.first}
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
