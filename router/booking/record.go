package booking

import (
	"time"
)

const (
	// Intent records are running, or were when their process lost them.
	Intent State = 1
	// Done records have the result of the one run.
	Done State = 2
	// Tombstone records never run.
	Tombstone State = 3
	// Unknown records may have run.
	Unknown State = 4
)

type (
	// State is how far a key got.
	State int

	// Result is the answer of a service.
	Result struct {
		Status int
		Body   []byte
	}

	// Call is one try of a key.
	Call struct {
		// Key is the digest of the partner and the idempotency key.
		Key string
		// Created is the creation time in the key, by the partner's clock.
		Created time.Time
		// ContentDigest is the digest of the request, to detect a key used for other content.
		ContentDigest string
		Pool          string
		// Revision is the newest revision that the entry knows.
		Revision int64
	}

	// Record is what a home knows about a key.
	Record struct {
		Key           string
		Created       time.Time
		ContentDigest string
		Pool          string
		State         State
		Result        Result
	}

	// entry is a record with its waiters. Its shard's lock guards it.
	entry struct {
		Record
		// done is closed when the run ends; it is nil when nothing runs.
		done chan struct{}
	}
)
